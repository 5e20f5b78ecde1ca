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
//!
//! Another process of this broker may know of configurations that this one was not told of, and reports them:
//! see [`RequestConfigHistory::adopt`]. While a process is there that does not, a configuration stands in for
//! what is unknown: see [`RequestConfigHistory::set_unknown`].

use crate::RequestConfig;
use crate::request_config::Strictness;
use http::Request;
use plover_model::configuration::ConfigurationPeriod;
use plover_model::query::{QueryRequest, Reply};
use plover_model::time::{MILLI, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Time from the announcement of new settings until clients apply them, as the platform defines it.
pub const SETTINGS_EFFECTIVE_AFTER: Micros = 1_200 * MILLI;
/// Time before and after the switch in which a request may be based on either configuration: the broker may
/// be notified later than the clients, and requests take time to arrive.
const SWITCH_UNCERTAINTY: Micros = 300 * MILLI;
/// Time from the announcement of new settings until no client uses the previous ones any more.
const PREVIOUS_CONFIG_LIFETIME: Micros = 2_000 * MILLI;
/// Maximum number of previous configurations that are kept while clients may still use them, and of
/// configurations that each other process reported.
const MAX_PREVIOUS: usize = 16;

/// Identifies another process of this broker among all that ever reported configurations.
pub type ReporterId = u64;

/// A configuration, and the time in which clients apply it.
#[derive(Clone, Debug, Default)]
pub struct Period {
    /// Time from which clients apply the configuration; 0 if that was before anything that is known.
    pub from: Micros,
    /// The end of that time; `Micros::MAX` if no successor was announced.
    pub until: Micros,
    /// The configuration.
    pub config: RequestConfig,
    /// Whether several configurations were merged here.
    pub is_merged: bool,
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
        let (from, until) = (self.from.min(next.from), self.until.max(next.until));
        Period { from, until, config: RequestConfig::union(self.config, next.config), is_merged: true }
    }

    /// Ends the period if its end is not known yet.
    fn end_by(&mut self, until: Micros) {
        self.until = self.until.min(until);
    }

    fn report(&self) -> ConfigurationPeriod {
        ConfigurationPeriod {
            from: self.from,
            until: self.until,
            classes: self.config.classes(),
            tenants: self.config.tenants().cloned().collect(),
            shards: self.config.settings.as_ref().map_or(0, |settings| settings.shards),
            is_merged: self.is_merged,
        }
    }
}

/// Periods that another process reported.
#[derive(Clone, Debug, Default)]
struct Reported {
    periods: Vec<Period>,
    /// Whether the process started after this one.
    by_newer: bool,
}

/// The current configuration, and others while clients may use them.
#[derive(Clone, Debug, Default)]
pub struct RequestConfigHistory {
    current: Period,
    /// Previous configurations, oldest first. Each period ends where the next one begins.
    previous: VecDeque<Period>,
    /// Configurations of other processes of this broker, where they are not those of this process.
    reported: BTreeMap<ReporterId, Reported>,
    /// Stands in for configurations of other processes that are unknown.
    unknown: Option<Period>,
}

impl RequestConfigHistory {
    /// Creates a history with only this configuration.
    pub fn new(config: RequestConfig) -> Self {
        let current = Period { from: 0, until: Micros::MAX, config, is_merged: false };
        RequestConfigHistory { current, ..RequestConfigHistory::default() }
    }

    /// Adds a configuration that was announced at time `at`.
    pub fn update(&mut self, at: Micros, config: RequestConfig) {
        self.forget_unused(at);
        let from = at + SETTINGS_EFFECTIVE_AFTER;
        if config.decodes_like(&self.current.config) {
            self.current.config = config;
        } else {
            let current = Period { from, until: Micros::MAX, config, is_merged: false };
            let replaced = std::mem::replace(&mut self.current, current);
            self.previous.push_back(Period { until: from, ..replaced });
            if let Some(merged) = limit_periods(self.previous.make_contiguous()) {
                self.previous.remove(merged);
            }
        }
        self.join_equal_reports();
        // This configuration is newer than what other processes reported.
        self.reported.values_mut().flat_map(|r| &mut r.periods).for_each(|period| period.end_by(from));
        self.refresh_routes();
    }

    /// Adds a configuration that was read again at time `at` because another process was told of one. If it is
    /// still the same one, what that process was told of stays in use beside it.
    pub fn reread(&mut self, at: Micros, config: RequestConfig) {
        if config.decodes_like(&self.current.config) {
            self.reindex(config);
        } else {
            self.update(at, config);
        }
    }

    /// Replaces the current configuration by one that decodes requests alike and knows the indices of further
    /// classes and tenants.
    pub fn reindex(&mut self, config: RequestConfig) {
        self.current.config = config;
        self.refresh_routes();
    }

    /// Replaces what another process of this broker reported. Its current configuration comes last. If it is
    /// not the one of this process, it was replaced by that at the start of this process, at time 0, unless
    /// the other process was told of it later.
    pub fn adopt(&mut self, at: Micros, reporter: ReporterId, by_newer: bool, mut periods: Vec<Period>) {
        self.forget_unused(at);
        let was_told_before_start = |p: &Period| p.from <= SETTINGS_EFFECTIVE_AFTER;
        if let Some(last) = periods.last_mut().filter(|last| !by_newer && was_told_before_start(last))
            && !last.config.equals(&self.current.config)
        {
            last.end_by(SETTINGS_EFFECTIVE_AFTER);
        }
        while let Some(merged) = limit_periods(&mut periods) {
            periods.remove(merged);
        }
        self.reported.insert(reporter, Reported { periods, by_newer });
        self.join_equal_reports();
        self.refresh_routes();
    }

    /// Records that no other process of this broker is left. What newer ones alone had read is not applied
    /// any more once their clients have switched back.
    pub fn others_ended(&mut self, at: Micros) {
        let newer = self.reported.values_mut().filter(|r| r.by_newer).flat_map(|r| &mut r.periods);
        newer.for_each(|period| period.end_by(at + SETTINGS_EFFECTIVE_AFTER));
    }

    /// Sets the configuration that applies, besides the known ones, while another process of this broker may
    /// know of further ones and does not report them; `None` from when it has ended.
    pub fn set_unknown(&mut self, at: Micros, config: Option<RequestConfig>) {
        match config {
            Some(config) => {
                self.unknown = Some(Period { from: 0, until: Micros::MAX, config, is_merged: true });
            }
            None => {
                let period = self.unknown.iter_mut();
                period.for_each(|period| period.end_by(at + SETTINGS_EFFECTIVE_AFTER));
            }
        }
        self.refresh_routes();
    }

    /// Returns the configurations that clients may use at time `at`, the current one last, for another
    /// process of this broker.
    pub fn report(&self, at: Micros) -> Vec<ConfigurationPeriod> {
        let unknown = self.unknown.iter().filter(|period| period.is_in_use(at)).map(|period| {
            // The other process sees for itself for how long that lasts.
            let mut period = period.clone();
            period.end_by(at + SETTINGS_EFFECTIVE_AFTER);
            period.report()
        });
        unknown.chain(self.known_in_use(at).map(Period::report)).collect()
    }

    /// Removes what no client uses any more.
    fn forget_unused(&mut self, at: Micros) {
        self.previous.retain(|period| period.is_in_use(at));
        self.reported.values_mut().for_each(|r| r.periods.retain(|period| period.is_in_use(at)));
        self.reported.retain(|_, r| !r.periods.is_empty());
        self.unknown.take_if(|period| !period.is_in_use(at));
    }

    /// Drops reported periods of the current configuration without an end. Clients apply it from the earlier
    /// of both times on. At the start of this process, only the report tells from when.
    fn join_equal_reports(&mut self) {
        let current = &mut self.current;
        let is_current = |p: &mut Period| p.until == Micros::MAX && p.config.equals(&current.config);
        let reported = self.reported.values_mut();
        let equal: Vec<Period> = reported.flat_map(|r| r.periods.extract_if(.., is_current)).collect();
        for period in equal {
            let is_known_from_file = self.previous.is_empty() && current.from == 0;
            current.from = if is_known_from_file { period.from } else { current.from.min(period.from) };
        }
    }

    /// Changes of the operator's routes take effect at once.
    fn refresh_routes(&mut self) {
        let routes = &self.current.config.routes;
        let reported = self.reported.values_mut().flat_map(|r| &mut r.periods);
        let others = self.previous.iter_mut().chain(reported).chain(&mut self.unknown);
        others.for_each(|period| period.config.routes.clone_from(routes));
    }

    /// Returns the configuration that was announced last.
    pub fn latest(&self) -> &RequestConfig {
        &self.current.config
    }

    /// Returns the number of configurations beside the current one that clients may use at time `at`.
    pub fn previous_count(&self, at: Micros) -> usize {
        self.in_use(at).count() - 1
    }

    /// The periods in use, the current one last.
    fn in_use(&self, at: Micros) -> impl Iterator<Item = &Period> + Clone {
        let unknown = self.unknown.iter().filter(move |period| period.is_in_use(at));
        unknown.chain(self.known_in_use(at))
    }

    /// The periods in use but for the one that stands in for unknown ones.
    fn known_in_use(&self, at: Micros) -> impl Iterator<Item = &Period> + Clone {
        let reported = self.reported.values().flat_map(|r| &r.periods);
        let others = self.previous.iter().chain(reported);
        others.filter(move |period| period.is_in_use(at)).chain([&self.current])
    }

    /// Decodes a request that was received at time `at` with the configuration in force at that time. Around
    /// a switch the strictest of the possible configurations applies. If none of them can decode the request,
    /// the one that is closest in time and can decode it applies.
    pub fn decode(&self, at: Micros, request: &Request<Vec<u8>>) -> Result<QueryRequest, Reply> {
        let any_merged = self.in_use(at).any(|period| period.is_merged);
        let distance = |period: &Period| if any_merged { 0 } else { period.distance(at) };
        // The sort is stable, so that of two equally strict configurations the older one applies. Its index
        // is the one that clients used.
        let mut periods: Vec<(Micros, &Period)> = self.in_use(at).map(|p| (distance(p), p)).collect();
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

/// Merges the two neighbours that together last for the shortest time, if there are too many. Returns the
/// position of the one that was merged into its predecessor and is to be removed.
fn limit_periods(periods: &mut [Period]) -> Option<usize> {
    if periods.len() <= MAX_PREVIOUS {
        return None;
    }
    let length = |i: &usize| periods[i + 1].until.saturating_sub(periods[*i].from);
    let shortest = (0..periods.len() - 1).min_by_key(length)?;
    let (first, next) = (std::mem::take(&mut periods[shortest]), std::mem::take(&mut periods[shortest + 1]));
    periods[shortest] = first.merged_with(next);
    Some(shortest + 1)
}

#[cfg(test)]
mod tests;
