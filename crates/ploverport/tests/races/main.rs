//! Rare moments: orders of events that are seldom, each forced on real connections to the real program. What a scenario can
//! say stands in `tests/scenarios`; see `docs/design/races.md` for the whole table.

#[path = "../operation/rig.rs"]
#[allow(dead_code, reason = "shared with the tests of daily operation, which need more of it")]
mod rig;

mod answers;
mod clients;
mod closing;
mod cold;
mod crowds;
mod descriptors;
mod growth;
mod ready;
mod room;
mod settings;
mod watch;
