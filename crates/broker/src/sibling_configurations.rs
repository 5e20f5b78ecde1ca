//! The configurations that clients may apply, as the processes of this broker report them to each other.

use crate::event_loop::Broker;
use crate::extensions::TurnEvent;
use crate::queries::quarantine;
use brookbend::api::{Class, Semantics, Settings};
use plover_core::IndexedSettings;
use plover_handover::LinkId;
use plover_model::configuration::{ConfigurationPeriod, ConfigurationReport, NamedClass, PreviousLimits};
use plover_model::time::{Micros, SECOND};
use plover_query::{Period, RequestConfig, SETTINGS_EFFECTIVE_AFTER};
use plover_runtime::clock::Clock;
use tracing::{info, warn};

/// A process reads its file shortly before its clock starts. A signal to another process that came so long
/// before that may still have announced a newer file.
const READ_BEFORE_START: Micros = SECOND;

/// Time after the end of a process with unknown configurations until none of its clients goes by them.
const UNKNOWN_FOR: Micros = 2 * SECOND;
/// Time for which the limits of a newer process are kept here. A process ends soon after a newer one serves.
const LIMITS_OF_NEWER_FOR: Micros = 30 * SECOND;

impl Broker {
    /// Tells the extensions what is known of the configurations that clients may apply. With `tell`, other
    /// processes hear of it at once.
    pub(crate) fn publish_configurations(&mut self, now: Micros, tell: bool) {
        let clock = self.clock;
        let periods = self.doors.fronts.terms().report(now);
        let report = ConfigurationReport {
            periods: periods.into_iter().map(|period| to_machine_time(&clock, period)).collect(),
            limits: Some(self.core.strictest_limits(now, 0))
                .map(|limits| PreviousLimits { until: shared(&clock, limits.until), ..limits }),
            reloaded_at: self.reloaded_at.map(|at| shared(&clock, at)),
        };
        let actions = self.extensions.notify(now, TurnEvent::Configurations { report: &report, tell });
        self.perform(now, actions);
    }

    /// Decodes requests also with the configurations that another process reported, and keeps the limits that
    /// it still keeps. Reads the file again if an older process was signalled to since this one read it.
    pub(crate) fn adopt_configurations(
        &mut self,
        now: Micros,
        link: LinkId,
        older: bool,
        report: &ConfigurationReport,
    ) {
        let clock = self.clock;
        let classes: Vec<NamedClass> = report.periods.iter().flat_map(|p| &p.classes).cloned().collect();
        let tenants: Vec<String> = report.periods.iter().flat_map(|p| &p.tenants).cloned().collect();
        let Some(indexed) = self.index_reported(now, &classes, &tenants) else { return };
        let periods: Vec<Period> = report.periods.iter().map(|p| self.period(&indexed, p)).collect();
        let count = periods.len();
        self.doors.fronts.terms().adopt(now, link, !older, periods);
        if let Some(limits) = report.limits {
            // The settings in force there are replaced by those here at the start of this process, if they
            // are older, and may be in force here soon, if they are newer.
            let least = if older { SETTINGS_EFFECTIVE_AFTER } else { now + LIMITS_OF_NEWER_FOR };
            let until = local(&clock, limits.until).max(least);
            self.core.adopt_limits(now, PreviousLimits { until, ..limits });
        }
        info!(name: "configurations_adopted", count, older);
        let may_be_newer = |at: Micros| at.saturating_add(READ_BEFORE_START) >= clock.machine_time(0);
        if older && report.reloaded_at.is_some_and(may_be_newer) {
            self.reload(now, false);
        }
        self.publish_configurations(now, false);
    }

    /// Begins or ends reading requests as strictly as possible, because another process may know of
    /// configurations that it does not report.
    pub(crate) fn set_unknown_configurations(&mut self, now: Micros, unknown: bool) {
        self.has_unknown_configurations = unknown;
        info!(name: "configurations_unknown", unknown);
        if unknown {
            self.core.set_unknown_until(Micros::MAX);
            self.queries.assume_rates_used(now);
            self.assume_strictest_classes(now);
        } else {
            self.core.set_unknown_until(now + UNKNOWN_FOR);
            self.doors.fronts.terms().set_unknown(now, None);
        }
        self.publish_configurations(now, false);
    }

    /// Reads requests of all known classes as of ones that run at most once and are answered whole or not at
    /// all, if other processes may know of configurations that they do not report.
    pub(crate) fn assume_strictest_classes(&mut self, now: Micros) {
        if !self.has_unknown_configurations {
            return;
        }
        let periods = self.doors.fronts.terms().report(now);
        let mut classes: Vec<NamedClass> = Vec::new();
        for NamedClass { name, class } in periods.iter().flat_map(|p| &p.classes) {
            let class = Class { semantics: Semantics::Unsafe, need: 1.0, floor: 1.0, ..class.clone() };
            let strictest = NamedClass { name: name.clone(), class };
            if !classes.contains(&strictest) {
                classes.push(strictest);
            }
        }
        let tenants: Vec<String> = periods.iter().flat_map(|p| &p.tenants).cloned().collect();
        let Some(indexed) = self.index_reported(now, &classes, &tenants) else { return };
        let shards = periods.iter().map(|p| p.shards).max().unwrap_or(0);
        let config = self.reported_config(&indexed, &classes, &tenants, shards);
        self.doors.fronts.terms().set_unknown(now, Some(config));
    }

    /// Adds classes and tenants that another process reported to all tables by index. Returns `None` if there
    /// are too many.
    fn index_reported(
        &mut self,
        now: Micros,
        classes: &[NamedClass],
        tenants: &[String],
    ) -> Option<IndexedSettings> {
        let indexed = match self.core.index_reported(now, &self.server_list.zones, classes, tenants) {
            Ok(indexed) => indexed,
            Err(error) => {
                warn!(name: "hand_over_failed", error = %error, what = "configurations are not adopted");
                return None;
            }
        };
        self.core.adopt_reported(&indexed);
        self.queries.reindex(&indexed.settings, &indexed.names);
        self.queries.reset_tenants(&indexed.new_tenants);
        let current = self.files.terms(&indexed.settings, &indexed.names);
        self.doors.fronts.terms().reindex(current);
        let quarantine = quarantine(&indexed.settings);
        let actions = self.extensions.notify(now, TurnEvent::Reconfigured { quarantine });
        self.perform(now, actions);
        Some(indexed)
    }

    fn period(&self, indexed: &IndexedSettings, reported: &ConfigurationPeriod) -> Period {
        let ConfigurationPeriod { from, until, classes, tenants, shards, is_merged } = reported;
        Period {
            from: local(&self.clock, *from),
            until: local(&self.clock, *until),
            config: self.reported_config(indexed, classes, tenants, *shards),
            is_merged: *is_merged,
        }
    }

    fn reported_config(
        &self,
        indexed: &IndexedSettings,
        classes: &[NamedClass],
        tenants: &[String],
        shards: usize,
    ) -> RequestConfig {
        let settings = Settings { shards, ..indexed.settings.clone() };
        self.files.terms(&settings, &indexed.names_of(classes, tenants))
    }
}

/// Converts a time to the machine's clock. A time that is not known yet stays unknown, and 0 stays the time
/// before anything that is known.
fn shared(clock: &Clock, at: Micros) -> Micros {
    if matches!(at, 0 | Micros::MAX) { at } else { clock.machine_time(at) }
}

/// Converts a time from the machine's clock.
fn local(clock: &Clock, at: Micros) -> Micros {
    if at == Micros::MAX { at } else { clock.local_time(at) }
}

fn to_machine_time(clock: &Clock, period: ConfigurationPeriod) -> ConfigurationPeriod {
    let (from, until) = (shared(clock, period.from), shared(clock, period.until));
    ConfigurationPeriod { from, until, ..period }
}
