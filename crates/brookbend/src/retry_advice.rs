//! Retry advice for queries that are refused for lack of capacity, before the decisions see them.

use crate::api::{Millis, Settings};
use crate::choice::RETRY_SHARE;

/// Time after which the client should retry, as if refused on arrival; `None` if clients heed no such advice.
pub fn retry_after_when_full(settings: &Settings, class: usize) -> Option<Millis> {
    let aim = settings.classes.get(class).map_or(f64::INFINITY, |c| c.aim);
    settings.max_retry_after.map(|max| max.min(RETRY_SHARE * aim))
}
