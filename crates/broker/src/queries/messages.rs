//! What is told to other processes of this broker of queries and keys.

use super::units;
use plover_handover::wire::{KeyOwner, Message};
use plover_limits::Permit;
use plover_model::query::QueryRequest;
use plover_model::time::Micros;
use plover_repeats::{IdempotencyKey, KeyEvent};

pub(super) fn query_opened(request: &QueryRequest, permit: &Permit) -> Message {
    let owner = permit.owner().map(|owner| owner.as_ref().to_owned());
    Message::Opened { id: request.id.as_ref().to_owned(), units: units(request) as u32, owner }
}

/// The id of an ended request is told as that of a query that uses nothing.
pub(super) fn id_kept(id: &str) -> Message {
    Message::Opened { id: id.to_owned(), units: 0, owner: None }
}

fn key_owner(key: &IdempotencyKey, window: Option<Micros>) -> KeyOwner {
    KeyOwner { owner: key.owner.as_ref().to_owned(), window }
}

/// Converts an event of a key to a message for other processes of this broker. `origin` is the machine's
/// clock at zero of the broker's clock.
pub(super) fn key_message(
    of: &IdempotencyKey,
    window: Option<Micros>,
    event: KeyEvent,
    origin: Micros,
) -> Message {
    let (key, key_owner) = (of.text.as_ref().to_owned(), key_owner(of, window));
    match event {
        KeyEvent::Opened { until } => Message::KeyOpened { key, until: origin + until, key_owner },
        KeyEvent::Sent { shard, at, until } => {
            let (shard, at, until) = (shard as u32, origin + at, origin + until);
            Message::KeySent { key, shard, at, until, key_owner }
        }
        KeyEvent::Ended { shard, at, proof } => {
            Message::KeyEnded { key, shard: shard as u32, at: origin + at, proof, key_owner }
        }
        KeyEvent::Closed { answered } => Message::KeyClosed { key, at: origin, answered, key_owner },
    }
}
