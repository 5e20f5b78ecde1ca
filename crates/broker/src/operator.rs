//! The operator's own file, as the running program holds it.

use brookbend::api::Semantics;
use plover_admission::budget::Http2Settings;
use plover_config::Config;
use plover_model::time::{Micros, millis};
use plover_operator_file::{Faults, LONGEST, LogFormat, LogLevel, Settings, read};
use plover_pacing::Pacing;
use plover_routes::CompiledRoutes;
use plover_rules::{ClassSettings, PlatformSettings, Violation};
use plover_telemetry::Format;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tracing::{Level, info, warn};

/// The file, if there is one, and what it sets.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    path: Option<PathBuf>,
    platform: Option<PlatformSettings>,
    settings: Settings,
}

/// What the platform's rules need to know of a configuration.
pub fn platform(config: &Config) -> PlatformSettings {
    let classes =
        config.settings.classes.iter().zip(&config.names.classes).map(|(class, name)| ClassSettings {
            name: name.clone(),
            give_up: millis(class.give_up),
            window: match class.semantics {
                Semantics::Keyed { window } => Some(millis(window)),
                Semantics::Safe => None,
                // A part that may have run must not be repeated at all.
                Semantics::Unsafe => Some(0),
            },
        });
    PlatformSettings {
        classes: classes.collect(),
        tenants: config.names.tenants.clone(),
        max_attempts: config.settings.max_attempts,
        tick: millis(config.settings.tick),
        dial_timeout: config.pool.dial_timeout,
    }
}

/// Reads a file's text, and holds it against the platform's rules where these are known.
pub fn read_checked(name: &str, text: &str, platform: Option<&PlatformSettings>) -> Result<Settings, Faults> {
    let settings = read(name, text)?;
    let breaches = platform.map_or_else(Vec::new, |platform| plover_rules::check(&settings.table, platform));
    if breaches.is_empty() {
        return Ok(settings);
    }
    let fault = |b: Violation| {
        let what = format!("{} (rule: {}; from {})", b.problem, b.rule, b.rule.source());
        (b.at.span, what, b.remedy)
    };
    Err(Faults::found(name, text, breaches.into_iter().map(fault)))
}

/// Reads a file's text, as far as the longest that is taken. The error names the file.
pub fn read_text(path: &Path) -> Result<String, String> {
    let failed = |e: std::io::Error| format!("{}: cannot be read: {e}", path.display());
    let mut text = String::new();
    // One byte more shows that it is too long.
    std::fs::File::open(path)
        .and_then(|f| f.take(LONGEST as u64 + 1).read_to_string(&mut text))
        .map_err(failed)?;
    Ok(text)
}

impl Operator {
    /// Reads the file at a start; without one, all is as the platform's configuration has it.
    /// With the platform's rules, what breaks one of them is refused, here and whenever it is read again.
    pub fn load(path: Option<PathBuf>, platform: Option<PlatformSettings>) -> Result<Self, String> {
        let settings = match &path {
            Some(path) => Self::parse(path, platform.as_ref())?,
            None => Settings::default(),
        };
        Ok(Operator { path, platform, settings })
    }

    /// Takes settings that stand in no file; reading it again changes nothing.
    pub fn of_text(name: &str, text: &str) -> Result<Self, String> {
        let settings = read(name, text).map_err(|faults| faults.to_string())?;
        Ok(Operator { path: None, platform: None, settings })
    }

    fn parse(path: &Path, platform: Option<&PlatformSettings>) -> Result<Settings, String> {
        let name = path.display().to_string();
        read_checked(&name, &read_text(path)?, platform).map_err(|faults| faults.to_string())
    }

    /// Reads the file again, whole or not at all, and holds it against the platform's rules as they will be: nothing is
    /// changed by this.
    pub fn reread(&self, platform: &PlatformSettings) -> Result<Settings, String> {
        let parse = |path| Self::parse(path, self.platform.is_some().then_some(platform));
        self.path.as_deref().map_or_else(|| Ok(self.settings.clone()), parse)
    }

    /// The same without a word or an effect, to see what would hold.
    pub fn adopt_quietly(&mut self, new: &Settings) {
        self.settings = self.settings.adopt(new);
    }

    /// Takes what was read while the program runs, and logs what takes effect and what waits for a restart.
    pub fn adopt(&mut self, new: &Settings, platform: PlatformSettings) {
        self.platform = self.platform.take().map(|_| platform);
        let changes = self.settings.changes(new);
        self.adopt_quietly(new);
        self.set_log();
        if !changes.now.is_empty() {
            info!(name: "operator_file", changed = changes.now.join(","));
        }
        if !changes.restart.is_empty() {
            warn!(name: "restart_needed", changed = changes.restart.join(","));
        }
    }

    /// What holds now.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What is set for queries, where the classes have these names.
    pub fn routes(&self, classes: &[String]) -> Arc<CompiledRoutes> {
        Arc::new(self.settings.table.compile(classes))
    }

    /// Puts the log's form and level into effect.
    pub fn set_log(&self) {
        let log = self.settings.log;
        let format = match log.format {
            LogFormat::Logfmt => Format::Logfmt,
            LogFormat::Json => Format::Json,
        };
        let level = match log.level {
            LogLevel::Error => Level::ERROR,
            LogLevel::Warn => Level::WARN,
            LogLevel::Info => Level::INFO,
            LogLevel::Debug => Level::DEBUG,
            LogLevel::Trace => Level::TRACE,
        };
        plover_telemetry::set(format, level);
    }

    /// How turns are spaced, where the settings' tick is given.
    pub fn pacing(&self, tick: Micros) -> Pacing {
        self.settings.gather.map_or(Pacing::Fixed(tick), Pacing::Gather)
    }

    /// What the HTTP/2 front is asked to hold, if there is to be one.
    pub fn http2(&self) -> Option<Http2Settings> {
        let http2 = self.settings.http2?;
        Some(Http2Settings {
            connections: http2.connections,
            streams: http2.streams,
            connection_window: http2.connection_window,
            header_list: http2.header_list,
        })
    }
}
