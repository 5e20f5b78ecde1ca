//! The configuration that requests are decoded with, and its history while clients switch to a new one.
//!
//! Clients are notified of new settings when the broker is, but apply them some time later. Until then,
//! requests are decoded with the previous configuration. Around the time of the switch, when it is unknown
//! which configuration a client used, the stricter of both applies; after that, the new one. A request that
//! cannot be decoded with the configuration chosen in this way is decoded with the other one, since it may
//! name a class that was just added, or one that was removed or changed.

use crate::decode;
use brookbend::api::{Semantics, Settings};
use http::Request;
use plover_model::query::{Names, QueryRequest, Reply};
use plover_model::time::{MILLI, Micros};
use plover_routes::CompiledRoutes;
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::sync::Arc;

/// Time from the announcement of new settings until clients apply them, as the platform defines it.
pub const SETTINGS_EFFECTIVE_AFTER: Micros = 1_200 * MILLI;
/// Time before and after the switch in which a request may be based on either configuration: the broker may
/// be notified later than the clients, and requests take time to arrive.
const SWITCH_UNCERTAINTY: Micros = 300 * MILLI;
/// Time from the announcement of new settings until no client uses the previous ones any more.
const PREVIOUS_CONFIG_LIFETIME: Micros = 2_000 * MILLI;

/// Strictness of the semantics of a class: 0 for safe, 1 for keyed and 2 for unsafe classes, then the time in
/// milliseconds for which repeats are dropped. A shorter time is stricter.
type Strictness = (u8, Reverse<u64>);

/// The configuration that requests are decoded with. A class or tenant has the same index in all
/// configurations of a process.
#[derive(Clone, Debug, Default)]
pub struct RequestConfig {
    /// Names of classes and tenants that requests may use.
    pub names: Names,
    /// Settings of the platform; `None` until they are known. Until then all requests are refused.
    pub settings: Option<Settings>,
    /// Routes of the operator, which set limits for queries.
    pub routes: Arc<CompiledRoutes>,
}

impl RequestConfig {
    fn decode(&self, request: &Request<Vec<u8>>) -> Result<QueryRequest, Reply> {
        match &self.settings {
            Some(settings) => decode(request, &self.names, settings, &self.routes),
            None => Err(Reply::Refused { retry_after: None }),
        }
    }

    /// Returns how strictly the class of a query limits repeats of the query and of its attempts.
    fn strictness(&self, query: &QueryRequest) -> Strictness {
        let class = self.settings.as_ref().and_then(|s| s.classes.get(query.class));
        match class.map(|c| c.semantics) {
            None | Some(Semantics::Safe) => (0, Reverse(u64::MAX)),
            Some(Semantics::Keyed { window }) => (1, Reverse(window.max(0.0) as u64)),
            Some(Semantics::Unsafe) => (2, Reverse(0)),
        }
    }
}

/// Maximum number of previous configurations that are kept while clients may still use them.
const MAX_PREVIOUS: usize = 4;

/// The current configuration, and previous ones while clients may still use them.
#[derive(Clone, Debug, Default)]
pub struct RequestConfigHistory {
    current: RequestConfig,
    /// Previous configurations, oldest first, each with the time at which its successor was announced. A
    /// second change shortly after a first one must not discard the oldest configuration, since clients have
    /// applied neither change yet.
    previous: VecDeque<(Micros, RequestConfig)>,
}

impl RequestConfigHistory {
    /// Creates a history with only this configuration.
    pub fn new(config: RequestConfig) -> Self {
        RequestConfigHistory { current: config, previous: VecDeque::new() }
    }

    /// Adds a configuration that was announced at time `at`.
    pub fn update(&mut self, at: Micros, config: RequestConfig) {
        let replaced = std::mem::replace(&mut self.current, config);
        while self
            .previous
            .front()
            .is_some_and(|(announced_at, _)| at.saturating_sub(*announced_at) >= PREVIOUS_CONFIG_LIFETIME)
        {
            self.previous.pop_front();
        }
        // When too many changes come at once, the dropped configurations were in force only for a moment, so
        // no client has used them.
        if self.previous.len() < MAX_PREVIOUS {
            self.previous.push_back((at, replaced));
        }
        // Changes of the operator's routes take effect at once.
        self.previous.iter_mut().for_each(|(_, config)| config.routes = self.current.routes.clone());
    }

    /// Returns the configuration that was announced last.
    pub fn latest(&self) -> &RequestConfig {
        &self.current
    }

    /// Returns the number of previous configurations that clients may still use at time `at`.
    pub fn previous_count(&self, at: Micros) -> usize {
        let in_use = |announced_at: Micros| at.saturating_sub(announced_at) < PREVIOUS_CONFIG_LIFETIME;
        self.previous.iter().filter(|(announced_at, _)| in_use(*announced_at)).count()
    }

    /// Decodes a request that was received at time `at` with the configuration in force at that time. Around
    /// a switch the strictest of the possible configurations applies. If none of them can decode the request,
    /// the one that is closest in time and can decode it applies.
    pub fn decode(&self, at: Micros, request: &Request<Vec<u8>>) -> Result<QueryRequest, Reply> {
        let current = self.current.decode(request);
        let recent = self
            .previous
            .iter()
            .filter(|(announced_at, _)| at.saturating_sub(*announced_at) < PREVIOUS_CONFIG_LIFETIME);
        let mut from = 0;
        let mut best: Option<(QueryRequest, (Micros, Reverse<Strictness>))> = None;
        let mut consider =
            |config: &RequestConfig, decoded: Result<QueryRequest, Reply>, from: Micros, until: Micros| {
                let Ok(query) = decoded else { return };
                let early = (from + 1).saturating_sub(SWITCH_UNCERTAINTY).saturating_sub(at);
                let late = (at + 1).saturating_sub(until.saturating_add(SWITCH_UNCERTAINTY));
                let rank = (early.max(late), Reverse(config.strictness(&query)));
                // Of two equal ranks the older configuration applies, since its index is the one that clients
                // used.
                if best.as_ref().is_none_or(|(_, best_rank)| rank < *best_rank) {
                    best = Some((query, rank));
                }
            };
        for (announced_at, previous) in recent {
            let until = announced_at + SETTINGS_EFFECTIVE_AFTER;
            consider(previous, previous.decode(request), from, until);
            from = until;
        }
        let error = current.as_ref().err().cloned();
        consider(&self.current, current, from, Micros::MAX);
        match (best, error) {
            (Some((query, _)), _) => Ok(query),
            (None, error) => Err(error.unwrap_or(Reply::Failed)),
        }
    }
}

#[cfg(test)]
mod tests;
