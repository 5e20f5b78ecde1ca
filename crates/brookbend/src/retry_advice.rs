//! Retry advice for queries that are refused for lack of capacity, before the decisions see them.

use crate::api::{Ms, Settings};
use crate::choice::RETURN_AIM;

/// Time after which the client of such a query should retry: the same as for a query that is refused on
/// arrival. `None` if clients do not heed retry advice.
pub fn retry_after_when_full(settings: &Settings, class: usize) -> Option<Ms> {
    let aim = settings.classes.get(class).map_or(f64::INFINITY, |c| c.aim);
    settings.max_retry_after.map(|max| max.min(RETURN_AIM * aim))
}
