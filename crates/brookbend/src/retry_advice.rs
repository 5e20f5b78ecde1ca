//! Retry advice for queries that are refused for lack of capacity, before the decisions see them.

use crate::api::{Ms, Settings};
use crate::choice::RETURN_AIM;

/// Time after which the client should retry, as if refused on arrival; `None` if clients heed no such advice.
pub fn retry_after_when_full(settings: &Settings, class: usize) -> Option<Ms> {
    let aim = settings.classes.get(class).map_or(f64::INFINITY, |c| c.aim);
    settings.max_retry_after.map(|max| max.min(RETURN_AIM * aim))
}
