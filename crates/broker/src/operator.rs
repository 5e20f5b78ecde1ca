//! The operator's own file, as the running program holds it.

use plover_admission::budget::Asked;
use plover_model::time::Micros;
use plover_operator_file::{LONGEST, LogFormat, LogLevel, Settings, read};
use plover_pacing::Pacing;
use plover_telemetry::Format;
use std::io::Read;
use std::path::{Path, PathBuf};
use tracing::{Level, info, warn};

/// The file, if there is one, and what it sets.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    path: Option<PathBuf>,
    settings: Settings,
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
    pub fn load(path: Option<PathBuf>) -> Result<Self, String> {
        let settings = match &path {
            Some(path) => Self::parse(path)?,
            None => Settings::default(),
        };
        Ok(Operator { path, settings })
    }

    /// Takes settings that stand in no file; reading it again changes nothing.
    pub fn of_text(name: &str, text: &str) -> Result<Self, String> {
        let settings = read(name, text).map_err(|faults| faults.to_string())?;
        Ok(Operator { path: None, settings })
    }

    fn parse(path: &Path) -> Result<Settings, String> {
        read(&path.display().to_string(), &read_text(path)?).map_err(|faults| faults.to_string())
    }

    /// Reads the file again, whole or not at all: nothing is changed by this.
    pub fn reread(&self) -> Result<Settings, String> {
        self.path.as_deref().map_or_else(|| Ok(self.settings.clone()), Self::parse)
    }

    /// The same without a word or an effect, to see what would hold.
    pub fn adopt_quietly(&mut self, new: &Settings) {
        self.settings = self.settings.adopt(new);
    }

    /// Takes what was read while the program runs, and logs what takes effect and what waits for a restart.
    pub fn adopt(&mut self, new: &Settings) {
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
    pub fn http2(&self) -> Option<Asked> {
        let http2 = self.settings.http2?;
        Some(Asked {
            connections: http2.connections,
            streams: http2.streams,
            connection_window: http2.connection_window,
            header_list: http2.header_list,
        })
    }
}
