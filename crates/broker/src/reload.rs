//! The configuration and the operator's file, as they are in force and as SIGHUP finds them.

use crate::operator::{Operator, platform};
use brookbend::api::Settings;
use plover_admission::budget::{ClientBudget, FrontLimits, divide};
use plover_config::{self as config, Config, InForce};
use plover_core::{Core, IndexedSettings};
use plover_model::query::Names;
use plover_model::time::{Micros, millis};
use plover_pacing::Pacing;
use plover_query::RequestConfig;
use plover_runtime::descriptors;
use tracing::warn;

/// Both files, as they were taken last.
pub(crate) struct Files {
    operator: Operator,
    /// What the platform said.
    in_force: InForce,
    /// What the platform gives to client connections.
    clients: ClientBudget,
    /// Descriptors that were handed in at the start and are none of ours.
    foreign: u64,
    /// Files taken and turned down at SIGHUP.
    pub(crate) taken: u64,
    pub(crate) turned_down: u64,
}

/// What was read, checked and taken here; the rest of the program is to go by it.
pub(crate) struct Fresh {
    pub(crate) config: Config,
    /// What the fronts may hold.
    pub(crate) limits: FrontLimits,
    pub(crate) placed: IndexedSettings,
}

impl Files {
    /// As they were at the start.
    pub(crate) fn new(operator: Operator, in_force: InForce, clients: ClientBudget, foreign: u64) -> Self {
        Files { operator, in_force, clients, foreign, taken: 0, turned_down: 0 }
    }

    /// What the operator sets.
    pub(crate) fn operator(&self) -> &Operator {
        &self.operator
    }

    /// How turns are spaced, where the settings' tick is given.
    pub(crate) fn pacing(&self, settings: &Settings) -> Pacing {
        self.operator.pacing(millis(settings.tick))
    }

    /// What requests are read by, where the settings and the names are given.
    pub(crate) fn terms(&self, settings: &Settings, names: &Names) -> RequestConfig {
        RequestConfig {
            names: names.clone(),
            settings: Some(settings.clone()),
            routes: self.operator.routes(&names.classes),
        }
    }

    /// What the fronts may hold; the error names what does not fit.
    pub(crate) fn limits(&self) -> Result<FrontLimits, String> {
        divide(self.clients, self.operator.http2())
    }

    /// Counts a file that was taken or turned down at SIGHUP.
    pub(crate) fn count(&mut self, taken: bool) {
        *if taken { &mut self.taken } else { &mut self.turned_down } += 1;
    }

    /// Takes the configuration and the operator's file as they are now: both or none. A file that is missing or
    /// faulty leaves all as it was: a slip of the pen must not end a broker that serves.
    pub(crate) fn reread(&mut self, now: Micros, core: &Core) -> Option<Fresh> {
        match self.read(now, core) {
            Ok(fresh) => {
                let waits = self.in_force.waits(&fresh.config.in_force);
                if !waits.is_empty() {
                    warn!(name: "restart_needed", changed = waits.join(","));
                }
                fresh.config.notes.iter().for_each(|note| warn!(name: "settings_noted", note));
                self.in_force.clone_from(&fresh.config.in_force);
                Some(fresh)
            }
            Err(error) => {
                warn!(name: "reload_failed", error = %error);
                None
            }
        }
    }

    fn read(&mut self, now: Micros, core: &Core) -> Result<Fresh, String> {
        let config = config::reread(&self.in_force, config::environment)?;
        // The system's limit may be another by now; the memory's holds from the start on.
        let mut config = config.within_now(descriptors::limit(), self.foreign)?;
        config.clients.memory = self.clients.memory;
        let platform = platform(&config);
        let settings = self.operator.reread(&platform)?;
        let mut operator = self.operator.clone();
        operator.adopt_quietly(&settings);
        let limits = divide(config.clients, operator.http2())?;
        let placed = core.index_settings(now, &config.settings, &config.names).map_err(|e| e.to_string())?;
        // From here on nothing fails.
        self.clients = config.clients;
        self.operator.adopt(&settings, platform);
        Ok(Fresh { config, limits, placed })
    }
}
