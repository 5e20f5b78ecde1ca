//! The frames that wait to be written to a connection.

use crate::inbox::Presence;
use plover_frames::{self as frame, PartId, PartLine};
use plover_model::query::AttemptId;
use plover_model::time::Micros;
use std::rc::Rc;

/// One part with everything that its frame needs.
pub(super) struct QueuedPart {
    pub(super) attempt: AttemptId,
    pub(super) id: PartId,
    /// Time in milliseconds for which the answer is awaited, as the server is told.
    pub(super) wait_ms: u64,
    /// The frame's last byte is written before this time, or the part is not sent.
    pub(super) write_deadline: Micros,
    /// The frame's first byte is written before this time too: after it the answer is no longer awaited.
    pub(super) deadline: Micros,
    /// The idempotency key; `None` outside a keyed class.
    pub(super) key: Option<Rc<str>>,
    pub(super) text: Rc<str>,
    pub(super) client: Rc<Presence>,
}

/// One frame to write to a connection.
pub(super) enum WriteItem {
    /// A call with its parts.
    Call(Vec<QueuedPart>),
    /// The cancellation of a part.
    Cancel(PartId),
}

impl WriteItem {
    /// The parts of a call; empty for a cancellation.
    pub(super) fn parts(&self) -> &[QueuedPart] {
        match self {
            WriteItem::Call(parts) => parts,
            WriteItem::Cancel(_) => &[],
        }
    }

    pub(super) fn attempts(&self) -> Vec<AttemptId> {
        self.parts().iter().map(|p| p.attempt).collect()
    }

    /// The earliest write deadline of the parts; `Micros::MAX` for a cancellation.
    pub(super) fn write_deadline(&self) -> Micros {
        self.parts().iter().map(|p| p.write_deadline).min().unwrap_or(Micros::MAX)
    }

    /// Appends the encoded frame to `out`.
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        match self {
            WriteItem::Cancel(part) => frame::give_up_into(out, part),
            WriteItem::Call(parts) => {
                let lines = parts.iter().map(|p| PartLine {
                    id: &p.id,
                    shard: p.id.shard,
                    wait_ms: p.wait_ms,
                    key: p.key.as_deref(),
                    text: &p.text,
                });
                frame::call_into(out, lines);
            }
        }
    }
}
