//! What becomes of a query that its aggregator has no room for.

use crate::api::{Ms, Settings};
use crate::choice::RETURN_AIM;

/// Advice to its client, which is refused before the decisions see the query: as to one refused on arrival.
pub fn retry_after_when_full(set: &Settings, class: usize) -> Option<Ms> {
    let aim = set.classes.get(class).map_or(f64::INFINITY, |c| c.aim);
    set.max_retry_after.map(|most| most.min(RETURN_AIM * aim))
}
