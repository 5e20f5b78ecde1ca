//! The history of the configurations that requests are decoded with, while clients switch to a new one.
//!
//! Clients are notified of new settings when the broker is, but apply them some time later. Until then,
//! requests are decoded with the previous configuration. Around the time of the switch, when it is unknown
//! which configuration a client used, the stricter of both applies; after that, the new one. A request that
//! cannot be decoded with the configuration chosen in this way is decoded with the other one, since it may
//! name a class that was just added, or one that was removed or changed.
//!
//! Every configuration is applied by clients, however soon its successor was announced, only later. The
//! number of configurations in the history is limited: beyond the limit two neighbours are merged. While
//! merged ones are in use, the strictest of all configurations in use applies.

use crate::RequestConfig;
use crate::request_config::Strictness;
use http::Request;
use plover_model::query::{QueryRequest, Reply};
use plover_model::time::{MILLI, Micros};
use std::collections::VecDeque;

/// Time from the announcement of new settings until clients apply them, as the platform defines it.
pub const SETTINGS_EFFECTIVE_AFTER: Micros = 1_200 * MILLI;
/// Time before and after the switch in which a request may be based on either configuration: the broker may
/// be notified later than the clients, and requests take time to arrive.
const SWITCH_UNCERTAINTY: Micros = 300 * MILLI;
/// Time from the announcement of new settings until no client uses the previous ones any more.
const PREVIOUS_CONFIG_LIFETIME: Micros = 2_000 * MILLI;
/// Maximum number of previous configurations that are kept while clients may still use them.
const MAX_PREVIOUS: usize = 16;

/// A configuration, and the time in which clients apply it.
#[derive(Clone, Debug, Default)]
struct Period {
    from: Micros,
    /// The end of that time; `Micros::MAX` if no successor was announced.
    until: Micros,
    config: RequestConfig,
    /// Whether several configurations were merged here.
    is_merged: bool,
}

impl Period {
    /// Whether requests of clients that apply this configuration may still arrive.
    fn is_in_use(&self, at: Micros) -> bool {
        at < self.until.saturating_add(PREVIOUS_CONFIG_LIFETIME - SETTINGS_EFFECTIVE_AFTER)
    }

    /// How far outside this period a request was received; 0 if its client may apply this configuration.
    fn distance(&self, at: Micros) -> Micros {
        let early = (self.from + 1).saturating_sub(SWITCH_UNCERTAINTY).saturating_sub(at);
        let late = (at + 1).saturating_sub(self.until.saturating_add(SWITCH_UNCERTAINTY));
        early.max(late)
    }

    fn merged_with(self, next: Period) -> Period {
        let config = RequestConfig::union(self.config, next.config);
        Period { from: self.from, until: next.until, config, is_merged: true }
    }
}

/// The current configuration, and previous ones while clients may still use them.
#[derive(Clone, Debug, Default)]
pub struct RequestConfigHistory {
    current: Period,
    /// Previous configurations, oldest first. Each period ends where the next one begins.
    previous: VecDeque<Period>,
}

impl RequestConfigHistory {
    /// Creates a history with only this configuration.
    pub fn new(config: RequestConfig) -> Self {
        let current = Period { from: 0, until: Micros::MAX, config, is_merged: false };
        RequestConfigHistory { current, previous: VecDeque::new() }
    }

    /// Adds a configuration that was announced at time `at`.
    pub fn update(&mut self, at: Micros, config: RequestConfig) {
        self.previous.retain(|period| period.is_in_use(at));
        if config.decodes_like(&self.current.config) {
            self.current.config = config;
        } else {
            let from = at + SETTINGS_EFFECTIVE_AFTER;
            let current = Period { from, until: Micros::MAX, config, is_merged: false };
            let replaced = std::mem::replace(&mut self.current, current);
            self.previous.push_back(Period { until: from, ..replaced });
            self.limit_previous();
        }
        // Changes of the operator's routes take effect at once.
        let routes = &self.current.config.routes;
        self.previous.iter_mut().for_each(|period| period.config.routes.clone_from(routes));
    }

    /// Merges the two neighbours that together last for the shortest time, if there are too many.
    fn limit_previous(&mut self) {
        if self.previous.len() <= MAX_PREVIOUS {
            return;
        }
        let length = |i: &usize| self.previous[i + 1].until - self.previous[*i].from;
        let Some(shortest) = (0..self.previous.len() - 1).min_by_key(length) else { return };
        let Some(next) = self.previous.remove(shortest + 1) else { return };
        let first = std::mem::take(&mut self.previous[shortest]);
        self.previous[shortest] = first.merged_with(next);
    }

    /// Returns the configuration that was announced last.
    pub fn latest(&self) -> &RequestConfig {
        &self.current.config
    }

    /// Returns the number of previous configurations that clients may still use at time `at`.
    pub fn previous_count(&self, at: Micros) -> usize {
        self.previous.iter().filter(|period| period.is_in_use(at)).count()
    }

    /// Decodes a request that was received at time `at` with the configuration in force at that time. Around
    /// a switch the strictest of the possible configurations applies. If none of them can decode the request,
    /// the one that is closest in time and can decode it applies.
    pub fn decode(&self, at: Micros, request: &Request<Vec<u8>>) -> Result<QueryRequest, Reply> {
        let previous = self.previous.iter().filter(|period| period.is_in_use(at));
        let any_merged = previous.clone().any(|period| period.is_merged);
        let distance = |period: &Period| if any_merged { 0 } else { period.distance(at) };
        let in_use = previous.chain([&self.current]);
        // The sort is stable, so that of two equally strict configurations the older one applies. Its index
        // is the one that clients used.
        let mut periods: Vec<(Micros, &Period)> = in_use.map(|p| (distance(p), p)).collect();
        periods.sort_by_key(|(distance, _)| *distance);
        let mut best: Option<(Micros, Strictness, QueryRequest)> = None;
        let mut error = Reply::Failed;
        for (distance, period) in periods {
            if best.as_ref().is_some_and(|(closest, ..)| *closest < distance) {
                break;
            }
            match period.config.decode(request) {
                Ok((query, strictness)) => {
                    if best.as_ref().is_none_or(|(_, strictest, _)| *strictest < strictness) {
                        best = Some((distance, strictness, query));
                    }
                }
                Err(reply) if std::ptr::eq(period, &self.current) => error = reply,
                Err(_) => {}
            }
        }
        best.map(|(.., query)| query).ok_or(error)
    }
}

#[cfg(test)]
mod tests;
