//! The watch of the list of data servers: when discovery is asked, for how long an answer is waited for, and what an older
//! list may not undo.
//!
//! [`Watch`] is the one watch, as states with a bound in time each; [`Times`] are its figures, and `docs/design/watch.md`
//! derives them. [`Ledger`] keeps a server that drains or is gone from being revived by a list that is older than the word
//! of that.
//!
//! Nothing here reads a clock or does I/O: times are handed in, chance comes from a seed.

mod connections;
mod ledger;
mod state;
mod times;

pub use connections::{ConnectionId, MOST_CONNECTIONS};
pub use ledger::{HOLD, Ledger};
pub use state::{Call, Fault, Heard, Order, State, Watch};
pub use times::{ANSWER_DELAY, Times};
