//! Messages that processes of one broker send to each other, and their encoding.
//!
//! A frame is the length of its body (four bytes, most significant first, at most [`MAX_FRAME_LENGTH`]) and
//! the body. The first frame of each side is its greeting: [`MAGIC`], the version (two bytes, most
//! significant first), the [`Greeting`] and the [`Features`] of the sender. Each later frame holds one
//! [`Message`]. Greetings, features and messages are in postcard encoding (postcard.jamesmunns.com, wire
//! format 1.0).
//!
//! Processes of earlier releases end their greeting before the features and ignore what follows it. They have
//! none of the features, and are sent no message that needs one.

use plover_model::configuration::ConfigurationReport;
use plover_model::query::Proof;
use plover_model::snapshot::Snapshot;
use plover_model::time::Micros;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// First bytes of the body of a greeting.
pub const MAGIC: [u8; 4] = *b"PLVH";
/// Protocol version of this process.
pub const VERSION: u16 = 1;
/// Maximum length of the body of a frame, in bytes. A snapshot of 10,000 servers fits, even if all of them
/// are cold and each was sent 64 calls.
pub const MAX_FRAME_LENGTH: usize = 16 << 20;

/// Identity of a process, sent as the first frame of a link.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Greeting {
    /// Name of the broker. Only processes with the same name are siblings.
    pub name: String,
    /// Start time of the process on the machine's monotonic clock.
    pub started: Micros,
    /// Process id.
    pub pid: u32,
}

/// Extensions of the protocol that a process has, as a sum of bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Features(u32);

impl Features {
    /// No extension, as processes of earlier releases.
    pub const NONE: Features = Features(0);
    /// The process sends [`Message::Configurations`] and [`Message::TokensLeft`], and reports each attempt at a
    /// part on its own.
    pub const CONFIGURATIONS: Features = Features(1);

    /// Whether all of these extensions are there.
    pub fn contains(self, other: Features) -> bool {
        self.0 & other.0 == other.0
    }
}

/// Extensions that this process has.
pub const FEATURES: Features = Features::CONFIGURATIONS;

/// Owner of an idempotency key. It is the last field of its messages, and processes of earlier releases do
/// not have it: they ignore it when they receive it, and their own messages are read with a default owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyOwner {
    /// Tenant and class of the key. Empty if it was not sent; the key may then belong to any tenant and
    /// class.
    pub owner: String,
    /// Time in microseconds for which data servers drop repeats of the key; `None` if it is unknown.
    pub window: Option<Micros>,
}

/// Encoded default [`KeyOwner`], which is missing from the messages of a process that does not send the owner
/// of a key.
const DEFAULT_KEY_OWNER: [u8; 2] = [0, 0];

/// A message that follows the greetings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// State that the sender has learned about servers and classes.
    #[serde(rename = "Recall")]
    Snapshot(Box<Snapshot>),
    /// The sender has sent all state that it had at the time of the greeting.
    #[serde(rename = "Told")]
    StateSent,
    /// The sender has accepted a query.
    Opened {
        /// Request id of the query.
        id: String,
        /// Number of units (queries and parts counted together) that the query uses.
        units: u32,
        /// Section of the operator's file that counts the query; `None` if no section does.
        owner: Option<String>,
    },
    /// A query of the sender has ended.
    Closed {
        /// Request id of the query.
        id: String,
    },
    /// The sender has accepted a query with an idempotency key.
    KeyOpened {
        /// Idempotency key.
        key: String,
        /// Latest time at which the query ends, because its client stops waiting.
        until: Micros,
        /// Owner of the key.
        #[serde(rename = "whose")]
        key_owner: KeyOwner,
    },
    /// The sender is about to send a part under a key.
    KeySent {
        /// Idempotency key.
        key: String,
        /// Number of the shard that the part is for.
        shard: u32,
        /// Time at which the part is sent.
        at: Micros,
        /// Time until which the sender waits for the answer.
        until: Micros,
        /// Owner of the key.
        #[serde(rename = "whose")]
        key_owner: KeyOwner,
    },
    /// The attempt that a [`Message::KeySent`] reported has ended.
    KeyEnded {
        /// Idempotency key.
        key: String,
        /// Number of the shard that the part is for.
        shard: u32,
        /// Time at which the attempt ended.
        at: Micros,
        /// What the end proves about whether the part ran.
        proof: Proof,
        /// Owner of the key.
        #[serde(rename = "whose")]
        key_owner: KeyOwner,
    },
    /// The query with the key has ended.
    KeyClosed {
        /// Idempotency key.
        key: String,
        /// Time at which the query ended.
        at: Micros,
        /// Whether the client received an answer.
        answered: bool,
        /// Owner of the key.
        #[serde(rename = "whose")]
        key_owner: KeyOwner,
    },
    /// The configurations that clients may apply. It replaces an earlier one of the sender, and needs
    /// [`Features::CONFIGURATIONS`].
    Configurations(Box<ConfigurationReport>),
    /// The level of a token bucket of the sender, below its burst. It needs [`Features::CONFIGURATIONS`].
    TokensLeft {
        /// Section of the operator's file that sets the rate.
        section: String,
        /// Name of the tenant.
        tenant: String,
        /// Queries per second.
        per_second: u32,
        /// Burst after an idle time.
        burst: u32,
        /// Level in millionths of a token.
        level: u64,
    },
}

/// Error in the bytes that a sibling sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The first bytes are not those of a greeting.
    #[error("the first bytes are not those of a handover greeting")]
    NotAGreeting,
    /// The sibling uses this other protocol version.
    #[error("the sibling uses version {0} of the handover protocol, expected {VERSION}")]
    UnsupportedVersion(u16),
    /// A frame announces a body of this many bytes, more than [`MAX_FRAME_LENGTH`].
    #[error("frame of {0} bytes exceeds the maximum of {MAX_FRAME_LENGTH} bytes")]
    FrameTooLong(usize),
    /// The body of a frame cannot be decoded, or the greeting is that of another broker.
    #[error("frame does not hold a valid message")]
    InvalidMessage,
}

/// Encodes a greeting and the features of this process as a complete frame.
pub fn encode_greeting(greeting: &Greeting) -> Vec<u8> {
    let mut body = MAGIC.to_vec();
    body.extend(VERSION.to_be_bytes());
    body.extend(postcard::to_allocvec(greeting).unwrap_or_default());
    body.extend(postcard::to_allocvec(&FEATURES).unwrap_or_default());
    frame(&body)
}

/// Decodes what follows the version in a greeting.
fn decode_greeting(body: &[u8]) -> postcard::Result<(Greeting, Features)> {
    let (greeting, rest) = postcard::take_from_bytes(body)?;
    let features = if rest.is_empty() { Features::NONE } else { postcard::from_bytes(rest)? };
    Ok((greeting, features))
}

/// Encodes a message as a complete frame. Returns `None` if its body is longer than [`MAX_FRAME_LENGTH`].
pub fn encode_message(message: &Message) -> Option<Vec<u8>> {
    postcard::to_allocvec(message).ok().filter(|body| body.len() <= MAX_FRAME_LENGTH).map(|body| frame(&body))
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(4 + body.len());
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(body);
    out
}

/// Splits received bytes into frames, independently of how the bytes were divided when they arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FrameReader {
    input: Vec<u8>,
    features: Features,
}

impl FrameReader {
    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.extend(bytes);
    }

    fn next_frame(&mut self) -> Result<Option<Vec<u8>>, ProtocolError> {
        let Some((length, rest)) = self.input.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_LENGTH {
            return Err(ProtocolError::FrameTooLong(length));
        }
        let Some(frame) = rest.get(..length).map(<[u8]>::to_vec) else { return Ok(None) };
        self.input.drain(..4 + length);
        Ok(Some(frame))
    }

    /// Returns the greeting, or `None` while it is incomplete.
    pub fn read_greeting(&mut self) -> Result<Option<Greeting>, ProtocolError> {
        // The magic bytes are checked before the length is trusted, so that noise is rejected at once.
        let magic = self.input.get(4..).unwrap_or_default();
        if !magic.iter().zip(MAGIC).all(|(a, b)| *a == b) {
            return Err(ProtocolError::NotAGreeting);
        }
        let Some(frame) = self.next_frame()? else { return Ok(None) };
        let Some(body) = frame.strip_prefix(&MAGIC) else { return Err(ProtocolError::NotAGreeting) };
        let Some((version, body)) = body.split_first_chunk::<2>() else {
            return Err(ProtocolError::InvalidMessage);
        };
        match u16::from_be_bytes(*version) {
            VERSION => {
                let decoded = decode_greeting(body).map_err(|_| ProtocolError::InvalidMessage);
                let (greeting, features) = decoded?;
                self.features = features;
                Ok(Some(greeting))
            }
            other => Err(ProtocolError::UnsupportedVersion(other)),
        }
    }

    /// Returns the features of the sender; none before its greeting was read.
    pub fn features(&self) -> Features {
        self.features
    }

    /// Returns the next message, or `None` while it is incomplete.
    pub fn read_message(&mut self) -> Result<Option<Message>, ProtocolError> {
        let Some(mut frame) = self.next_frame()? else { return Ok(None) };
        let message = postcard::from_bytes(&frame).or_else(|_| {
            frame.extend(DEFAULT_KEY_OWNER);
            postcard::from_bytes(&frame)
        });
        message.map(Some).map_err(|_| ProtocolError::InvalidMessage)
    }
}

#[cfg(test)]
mod tests;
