//! What becomes of a query that its aggregator has no room for.

use crate::api::{Millis, Settings};
use crate::choice::RETRY_SHARE;

/// Advice to its client, which is refused before the decisions see the query: as to one refused on arrival.
pub fn retry_after_when_full(settings: &Settings, class: usize) -> Option<Millis> {
    let aim = settings.classes.get(class).map_or(f64::INFINITY, |c| c.aim);
    settings.max_retry_after.map(|most| most.min(RETRY_SHARE * aim))
}
