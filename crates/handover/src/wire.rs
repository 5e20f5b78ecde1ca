//! What neighbours say to each other.
//!
//! A frame is the length of the rest (four bytes, most significant first, [`MAX_FRAME_LENGTH`] at the most) and the rest. The first
//! frame of each side is its greeting: [`MAGIC`], the version (two bytes, most significant first), and the rest as that
//! version has it. All later frames hold one [`Message`] as postcard encodes it (postcard.jamesmunns.com, wire format 1.0).

use plover_model::query::Proof;
use plover_model::snapshot::Snapshot;
use plover_model::time::Micros;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The first bytes of a greeting.
pub const MAGIC: [u8; 4] = *b"PLVH";
/// The version that is spoken here.
pub const VERSION: u16 = 1;
/// Longest rest of a frame, in bytes: what is known of 10,000 servers of which all are cold and each was sent 64 calls.
pub const MAX_FRAME_LENGTH: usize = 16 << 20;

/// Who says hello.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Greeting {
    /// The broker's name: only processes of one broker are one broker.
    pub name: String,
    /// When the process started, on the machine's monotonic clock.
    pub started: Micros,
    /// The process, by the system's number.
    pub pid: u32,
}

/// KeyOwner a key is. It stands last in its words, where processes before this one had nothing: they pass it over, and what
/// they say is read as nobody's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyOwner {
    /// The tenant and the class; empty: not told, it may be anybody's.
    pub owner: String,
    /// For how long data servers drop its repeats, if that is known.
    pub window: Option<Micros>,
}

/// What a word lacks of a process that does not tell whose a key is.
const NOBODYS: [u8; 2] = [0, 0];

/// What is told after the greetings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What is known of servers and classes.
    #[serde(rename = "Recall")]
    Snapshot(Box<Snapshot>),
    /// All that was known at the greeting has been told.
    #[serde(rename = "Told")]
    StateSent,
    /// A query is in hand.
    Opened {
        /// Its request's id.
        id: String,
        /// The room that it takes.
        units: u32,
        /// The section of the operator's file that counts it, if one does.
        owner: Option<String>,
    },
    /// It has ended.
    Closed {
        /// Its request's id.
        id: String,
    },
    /// A query of a key is in hand, until then at the latest.
    KeyOpened {
        /// The key.
        key: String,
        /// When its client gives up.
        until: Micros,
        /// KeyOwner it is.
        #[serde(rename = "whose")]
        key_owner: KeyOwner,
    },
    /// A part is about to be sent under a key.
    KeySent {
        /// The key.
        key: String,
        /// The part's shard.
        shard: u32,
        /// When.
        at: Micros,
        /// Until when it is waited for.
        until: Micros,
        /// KeyOwner the key is.
        #[serde(rename = "whose")]
        key_owner: KeyOwner,
    },
    /// That attempt has ended.
    KeyEnded {
        /// The key.
        key: String,
        /// The part's shard.
        shard: u32,
        /// When.
        at: Micros,
        /// What that proves.
        proof: Proof,
        /// KeyOwner the key is.
        #[serde(rename = "whose")]
        key_owner: KeyOwner,
    },
    /// The query of the key has ended.
    KeyClosed {
        /// The key.
        key: String,
        /// When.
        at: Micros,
        /// Whether its client was answered.
        answered: bool,
        /// KeyOwner the key is.
        #[serde(rename = "whose")]
        key_owner: KeyOwner,
    },
}

/// What cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The first bytes are not those of a greeting.
    #[error("it is no neighbour: the first bytes are not a greeting's")]
    NotAGreeting,
    /// Another version is spoken.
    #[error("it speaks version {0} of the hand-over, not {VERSION}")]
    UnsupportedVersion(u16),
    /// A frame is longer than any.
    #[error("a frame of {0} bytes, {MAX_FRAME_LENGTH} at the most")]
    FrameTooLong(usize),
    /// A frame holds what is no word.
    #[error("a frame that holds no word")]
    InvalidMessage,
}

/// Encodes a greeting as a whole frame.
pub fn encode_greeting(greeting: &Greeting) -> Vec<u8> {
    let mut rest = MAGIC.to_vec();
    rest.extend(VERSION.to_be_bytes());
    rest.extend(postcard::to_allocvec(greeting).unwrap_or_default());
    frame(&rest)
}

/// Encodes a word as a whole frame; `None`: it is longer than any may be.
pub fn encode_message(word: &Message) -> Option<Vec<u8>> {
    postcard::to_allocvec(word).ok().filter(|rest| rest.len() <= MAX_FRAME_LENGTH).map(|rest| frame(&rest))
}

fn frame(rest: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(4 + rest.len());
    out.extend((rest.len() as u32).to_be_bytes());
    out.extend(rest);
    out
}

/// Takes frames out of what has come, in whatever pieces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FrameReader {
    input: Vec<u8>,
}

impl FrameReader {
    /// Takes what has come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.extend(bytes);
    }

    fn next(&mut self) -> Result<Option<Vec<u8>>, ProtocolError> {
        let Some((length, rest)) = self.input.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_LENGTH {
            return Err(ProtocolError::FrameTooLong(length));
        }
        let Some(frame) = rest.get(..length).map(<[u8]>::to_vec) else { return Ok(None) };
        self.input.drain(..4 + length);
        Ok(Some(frame))
    }

    /// The greeting, once it is there.
    pub fn read_greeting(&mut self) -> Result<Option<Greeting>, ProtocolError> {
        // Noise is told from a greeting before its length is believed.
        let magic = self.input.get(4..).unwrap_or_default();
        if !magic.iter().zip(MAGIC).all(|(a, b)| *a == b) {
            return Err(ProtocolError::NotAGreeting);
        }
        let Some(frame) = self.next()? else { return Ok(None) };
        let Some(rest) = frame.strip_prefix(&MAGIC) else { return Err(ProtocolError::NotAGreeting) };
        let Some((version, rest)) = rest.split_first_chunk::<2>() else {
            return Err(ProtocolError::InvalidMessage);
        };
        match u16::from_be_bytes(*version) {
            VERSION => postcard::from_bytes(rest).map(Some).map_err(|_| ProtocolError::InvalidMessage),
            other => Err(ProtocolError::UnsupportedVersion(other)),
        }
    }

    /// The next word, once it is there.
    pub fn read_message(&mut self) -> Result<Option<Message>, ProtocolError> {
        let Some(mut frame) = self.next()? else { return Ok(None) };
        let word = postcard::from_bytes(&frame).or_else(|_| {
            frame.extend(NOBODYS);
            postcard::from_bytes(&frame)
        });
        word.map(Some).map_err(|_| ProtocolError::InvalidMessage)
    }
}

#[cfg(test)]
mod tests;
