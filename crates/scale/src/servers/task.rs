//! What a process of hollow data servers is asked, and what it answers.

use super::times::Times;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Each part takes so many microseconds longer.
    Slow(u64),
    /// It takes parts and answers none.
    Hang,
    /// It resets the connection in place of every so many'th answer; 0: of none.
    Resets(u32),
    /// Every so many'th part ends in an error; 0: none.
    Errors(u32),
    /// New connections come up, but nothing on them is read for so many microseconds.
    Late(u64),
    /// Nothing listens, and its connections are reset.
    Dead,
}

/// A task.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Task {
    /// Starts servers of these numbers; the answer is [`Done::Listening`].
    Start {
        /// Their numbers: their names and addresses follow.
        numbers: Vec<u32>,
        /// How long parts take.
        times: Times,
        /// Whether answers tell how much is held.
        reports: bool,
        /// After a start a server is warm after so many microseconds; 0: at once.
        warm_after_us: u64,
        /// Seed of the times.
        seed: u64,
    },
    /// Makes servers faulty, or sound again; one that was dead starts anew, and cold.
    Fault {
        /// Their numbers; those of other processes are passed over.
        numbers: Vec<u32>,
        /// The fault.
        fault: Fault,
    },
    /// Asks for the account since the start or the last such task that emptied it; the answer is [`Done::Account`].
    Account {
        /// Whether the account begins anew.
        empty: bool,
    },
}

/// An answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Done {
    /// The servers' addresses, in the order of their numbers in the task.
    Listening(Vec<SocketAddr>),
    /// Done.
    Done,
    /// The account.
    Account(Account),
}

/// The one account of what came to hollow data servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that are open now.
    pub open: u64,
    /// Calls: frames with parts.
    pub calls: u64,
    /// Parts, with those that came before.
    pub parts: u64,
    /// Parts whose id came for the first time: the others are retries and second copies. Exact as long as all holders of
    /// a shard are in one process.
    pub first: u64,
    /// Parts that came to a server before it was warm.
    pub cold: u64,
    /// Parts that were answered, also with an error.
    pub answered: u64,
    /// Parts that were given up by the broker.
    pub given_up: u64,
    /// Probes.
    pub probes: u64,
    /// Frames that could not be used.
    pub bad: u64,
    /// Bytes that came.
    pub bytes_in: u64,
    /// Bytes that went.
    pub bytes_out: u64,
    /// Reads from connections that brought something.
    pub reads: u64,
    /// Writes to connections.
    pub writes: u64,
    /// Most parts of one server.
    pub most_of_one: u64,
    /// Answers that went out a millisecond or more after they were due: the process, or the machine, was the bound.
    pub late: u64,
}

impl Account {
    /// Both together; of the most, the larger.
    pub fn and(&self, other: &Account) -> Account {
        Account {
            accepted: self.accepted + other.accepted,
            open: self.open + other.open,
            calls: self.calls + other.calls,
            parts: self.parts + other.parts,
            first: self.first + other.first,
            cold: self.cold + other.cold,
            answered: self.answered + other.answered,
            given_up: self.given_up + other.given_up,
            probes: self.probes + other.probes,
            bad: self.bad + other.bad,
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
            reads: self.reads + other.reads,
            writes: self.writes + other.writes,
            most_of_one: self.most_of_one.max(other.most_of_one),
            late: self.late + other.late,
        }
    }
}
