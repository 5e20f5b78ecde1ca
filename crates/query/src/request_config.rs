//! The terms that requests are read by, and how they change while clients go on.
//!
//! Clients hear of other settings when the broker does, but change over a while later. For that time a request is read by
//! the terms before; near the moment of the change, when nobody can tell by which a request was made, by the stricter of
//! both; then by the new ones. What the first cannot use is read by the other: a class that has just joined, or one that is
//! still asked for as it was.

use crate::decode;
use brookbend::api::{Semantics, Settings};
use http::Request;
use plover_model::query::{Names, QueryRequest, Reply};
use plover_model::time::{MILLI, Micros};
use plover_routes::CompiledRoutes;
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::sync::Arc;

/// New settings bind this long after the word, as the platform says.
pub const SETTINGS_EFFECTIVE_AFTER: Micros = 1_200 * MILLI;
/// About that moment a request may be of either terms: our word came later than the clients', and requests travel.
const UNSURE: Micros = 300 * MILLI;
/// After this nobody goes by the terms before.
const OVER: Micros = 2_000 * MILLI;

/// The effect of a repeat, and for how long it is dropped.
type Strictness = (u8, Reverse<u64>);

/// What a request is read by. Classes and tenants have the same index in all terms of one program.
#[derive(Clone, Debug, Default)]
pub struct RequestConfig {
    /// What requests may name.
    pub names: Names,
    /// What holds for it; `None`: nothing can be asked yet.
    pub settings: Option<Settings>,
    /// What the operator sets.
    pub routes: Arc<CompiledRoutes>,
}

impl RequestConfig {
    fn read(&self, request: &Request<Vec<u8>>) -> Result<QueryRequest, Reply> {
        match &self.settings {
            Some(settings) => decode(request, &self.names, settings, &self.routes),
            None => Err(Reply::Refused { retry_after: None }),
        }
    }

    /// How little of a query may be repeated, and how often its attempts.
    fn strictness(&self, ask: &QueryRequest) -> Strictness {
        let class = self.settings.as_ref().and_then(|s| s.classes.get(ask.class));
        match class.map(|c| c.semantics) {
            None | Some(Semantics::Safe) => (0, Reverse(u64::MAX)),
            Some(Semantics::Keyed { window }) => (1, Reverse(window.max(0.0) as u64)),
            Some(Semantics::Unsafe) => (2, Reverse(0)),
        }
    }
}

/// Most changes that are remembered while clients may go by the terms before them.
const MOST_BEFORE: usize = 4;

/// The terms now, and those before while they still count.
#[derive(Clone, Debug, Default)]
pub struct RequestConfigHistory {
    now: RequestConfig,
    /// Those before, the oldest first, each with the moment at which other terms were told. A second change within the
    /// time of the first must not end that: clients have yet to hear of either.
    before: VecDeque<(Micros, RequestConfig)>,
}

impl RequestConfigHistory {
    /// With these terms from the start.
    pub fn new(terms: RequestConfig) -> Self {
        RequestConfigHistory { now: terms, before: VecDeque::new() }
    }

    /// Other terms, told at this moment.
    pub fn change(&mut self, at: Micros, terms: RequestConfig) {
        let before = std::mem::replace(&mut self.now, terms);
        while self.before.front().is_some_and(|(told, _)| at.saturating_sub(*told) >= OVER) {
            self.before.pop_front();
        }
        // Where too many come at once, those are left out that held for a moment alone: nobody has asked by them.
        if self.before.len() < MOST_BEFORE {
            self.before.push_back((at, before));
        }
        // What an operator sets holds at once.
        self.before.iter_mut().for_each(|(_, before)| before.routes = self.now.routes.clone());
    }

    /// The terms that were told last.
    pub fn latest(&self) -> &RequestConfig {
        &self.now
    }

    /// Reads a request that came at this moment: by the terms that hold then, about the moment of a change by the
    /// strictest of those that may, and where these cannot use it by those that hold soonest before or after.
    pub fn read(&self, at: Micros, request: &Request<Vec<u8>>) -> Result<QueryRequest, Reply> {
        let new = self.now.read(request);
        let recent = self.before.iter().filter(|(told, _)| at.saturating_sub(*told) < OVER);
        let mut from = 0;
        let mut found: Option<(QueryRequest, (Micros, Reverse<Strictness>))> = None;
        let mut consider =
            |terms: &RequestConfig, read: Result<QueryRequest, Reply>, from: Micros, until: Micros| {
                let Ok(ask) = read else { return };
                let early = (from + 1).saturating_sub(UNSURE).saturating_sub(at);
                let late = (at + 1).saturating_sub(until.saturating_add(UNSURE));
                let rank = (early.max(late), Reverse(terms.strictness(&ask)));
                // Of two that are alike the older one counts: its place is the one that clients asked by.
                if found.as_ref().is_none_or(|(_, best)| rank < *best) {
                    found = Some((ask, rank));
                }
            };
        for (told, before) in recent {
            let until = told + SETTINGS_EFFECTIVE_AFTER;
            consider(before, before.read(request), from, until);
            from = until;
        }
        let refused = new.as_ref().err().cloned();
        consider(&self.now, new, from, Micros::MAX);
        match (found, refused) {
            (Some((ask, _)), _) => Ok(ask),
            (None, refused) => Err(refused.unwrap_or(Reply::Failed)),
        }
    }
}

#[cfg(test)]
mod tests;
