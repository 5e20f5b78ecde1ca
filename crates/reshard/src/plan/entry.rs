//! The entries of a plan's log, the states of a step, and why an entry is refused.

use super::graph::Graph;
use super::room::Short;
use super::step::{StepId, Unmet};
use plover_model::time::Micros;
use plover_ranges::NodeName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// Fencing token: grows with every beginning. Whoever carries out a step refuses one under an older token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);

/// Why a step failed. It is known that it had no effect that stays, but for part of a copy; where that is not known,
/// the step is run again under its token and no failure told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The node that is read did not answer.
    Source,
    /// The node that is written did not answer.
    Target,
    /// What is written did not fit.
    NoRoom,
    /// It took too long.
    Late,
    /// What must hold before did not.
    Unready,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The plan begins; the first entry, and no other.
    Opened {
        /// When.
        at: Micros,
        /// Its steps.
        graph: Box<Graph>,
    },
    /// A step begins.
    Begun {
        /// Which.
        step: StepId,
        /// Its token.
        token: Token,
        /// Of a copy: the node that is read, and bytes a second.
        copy: Option<(NodeName, u64)>,
    },
    /// A step ended well.
    Ended {
        /// Which.
        step: StepId,
        /// The token under which it began.
        token: Token,
    },
    /// A step, or its way back, failed.
    Failed {
        /// Which.
        step: StepId,
        /// The token under which it began.
        token: Token,
        /// When.
        at: Micros,
        /// Why.
        cause: Cause,
    },
    /// The way back of a step begins.
    BackBegun {
        /// Which.
        step: StepId,
        /// Its token.
        token: Token,
    },
    /// A step was taken back.
    Undone {
        /// Which.
        step: StepId,
        /// The token under which its way back began.
        token: Token,
    },
    /// Nothing begins, and copies stand still, until it is resumed.
    Paused,
    /// No move begins; those that did come to their end. Ends with `Resumed` or `Amended`.
    Held,
    /// Goes on after `Paused`, `Held`, or a step that failed for good.
    Resumed,
    /// No move begins; those that did go back, or to their end where that is past.
    Aborted,
    /// What is to come is replaced.
    Amended {
        /// When.
        at: Micros,
        /// The steps from now on; its map is the map by now.
        graph: Box<Graph>,
    },
}

/// Where a step is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepState {
    /// It has not begun. Leaves with `Begun`, or is left out.
    Waiting,
    /// It runs, under its last token. Leaves with `Ended` or `Failed`.
    Running,
    /// A try failed. Leaves with `Begun` not before the time, or with `BackBegun`.
    Failed(Micros),
    /// It ended well. Leaves with `BackBegun`, if it goes back.
    Ended,
    /// Its way back runs. Leaves with `Undone` or `Failed`.
    GoingBack,
    /// A try of its way back failed. Leaves with `BackBegun` not before the time.
    BackFailed(Micros),
    /// It was left out or taken back. Never left.
    Left,
}

/// What is known of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Where it is.
    pub state: StepState,
    /// Whether it is to be taken back.
    pub back: bool,
    /// Tries that failed, since the last that counts anew.
    pub tries: u32,
    /// The last token.
    pub token: Token,
    /// Of a copy: the node that is or was read, and bytes a second.
    pub copy: Option<(NodeName, u64)>,
    /// Nodes that are read no more, since all tries failed there.
    pub tried: BTreeSet<NodeName>,
    /// Whether room at the node that is written is taken.
    pub holds: bool,
    /// The last failure.
    pub cause: Option<Cause>,
}

impl Slot {
    pub(super) fn new() -> Slot {
        Slot {
            state: StepState::Waiting,
            back: false,
            tries: 0,
            token: Token(0),
            copy: None,
            tried: BTreeSet::new(),
            holds: false,
            cause: None,
        }
    }

    /// Whether nothing more comes of it.
    pub fn settled(&self) -> bool {
        !self.back && matches!(self.state, StepState::Ended | StepState::Left)
    }
}

/// What the operator last said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// Go on.
    Go,
    /// Stand still.
    Pause,
    /// Begin no move.
    Hold,
    /// Give up.
    Abort,
}

/// Why an entry is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    /// The graph is none that a plan compiles to.
    #[error("the graph of steps is not sound")]
    Unsound,
    /// A plan is open already.
    #[error("a plan is open already")]
    Open,
    /// The first entry is another one.
    #[error("the log begins with no plan")]
    NotOpen,
    /// No such step.
    #[error("there is no step {0:?}")]
    NoStep(StepId),
    /// The step is not where the entry has it.
    #[error("step {0:?} is {1:?}")]
    State(StepId, StepState),
    /// The token does not grow, or is not the step's.
    #[error("token {0:?}; the last is {1:?}")]
    Token(Token, Token),
    /// A step that ends before it did not.
    #[error("step {0:?} comes before")]
    Needs(StepId),
    /// A group that ends before it did not.
    #[error("group {0} ends before")]
    Group(u16),
    /// The operator said so, or the plan stands because of a step.
    #[error("nothing begins: {0:?}")]
    Said(Said),
    /// A step failed for good.
    #[error("nothing begins: step {0:?} failed")]
    Stopped(StepId),
    /// The map is not as it must be.
    #[error(transparent)]
    Unmet(#[from] Unmet),
    /// A bound would be broken.
    #[error("a bound: {0}")]
    Bound(#[from] Short),
    /// Fewer replicas than may be would serve.
    #[error("{0} would serve with {1} replicas")]
    Service(String, usize),
    /// A copy that says not what it reads, reads what it may not, or another step that does.
    #[error("step {0:?} reads what it may not")]
    Source(StepId),
    /// An amendment while this step is under way.
    #[error("step {0:?} is under way: hold the plan, and amend it when it stands")]
    UnderWay(StepId),
    /// An amendment for another map than there is by now.
    #[error("the amendment begins with another map: version {0}, there is {1}")]
    OtherMap(u64, u64),
}
