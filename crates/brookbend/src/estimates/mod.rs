//! What forecasts rest on: the unit of work of each class, the pace of each server, and what others have out there.
//!
//! A forecast is a pace times work, and only their product is ever seen. [`rescale`] keeps the two consistent while a unit of
//! work is still a guess. Nothing here chooses a server or refuses a query.

mod load;
mod pace;
mod work;

pub(crate) use load::OthersLoad;
pub(crate) use pace::Pace;
pub(crate) use work::Work;

use crate::state::{Learned, Server};

/// Carries changed guesses of units of work over to the paces that were measured against them.
///
/// Without this one time counts twice: hundreds of answers of one query step the unit up to the time that they took, while
/// each server's pace has been told that same time against the guess. Units that are known move without it.
pub(crate) fn rescale(learned: &mut [Learned], servers: &mut [Server]) {
    for (class, learned) in learned.iter_mut().enumerate() {
        let Some(change) = learned.work.take_change() else { continue };
        for server in servers.iter_mut() {
            server.pace.rescale(class, change.ratio);
            if change.settled {
                server.pace.settle(class);
            }
        }
    }
}

/// The median of these paces, as told and rescaled; `None`: there are none.
pub(crate) fn median<'a>(paces: impl Iterator<Item = &'a Pace> + Clone) -> Option<(f64, f64)> {
    let middle = |of: fn(&Pace) -> f64| {
        let mut values: Vec<f64> = paces.clone().map(of).collect();
        let place = values.len() / 2;
        (!values.is_empty()).then(|| *values.select_nth_unstable_by(place, f64::total_cmp).1)
    };
    Some((middle(Pace::told)?, middle(Pace::rescaled)?))
}
