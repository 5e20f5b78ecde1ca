//! `ploverport` and `ploverport serve`.

use plover_broker::operator::{Operator, platform};
use plover_broker::run::{self as broker, Addresses};
use plover_config::Config;
use plover_runtime::descriptors;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::{Level, error};

/// Serves until the program is told to end.
pub(crate) fn run(file: Option<PathBuf>) -> ExitCode {
    let read = || {
        let config = plover_config::read(plover_config::environment)?;
        let operator = Operator::load(file, Some(platform(&config)))?;
        operator.set_log();
        Ok((config, operator))
    };
    run_with(read, |_| ())
}

/// Serves what is read here, once signals are caught: a SIGHUP that came before would end the program.
pub(crate) fn run_with(
    read: impl FnOnce() -> Result<(Config, Operator), String>,
    started: impl FnOnce(Addresses),
) -> ExitCode {
    plover_telemetry::init(plover_telemetry::Format::Logfmt, Level::INFO);
    // Before anything is opened: what is open now was handed in.
    let (limit, open) = (descriptors::limit(), descriptors::open_count());
    let signals = match broker::signals() {
        Ok(signals) => signals,
        Err(error) => return cannot_start(&error),
    };
    let within = |(config, operator): (Config, Operator)| Ok((config.within(limit, open)?, operator));
    let (config, operator) = match read().and_then(within) {
        Ok(both) => both,
        Err(error) => {
            error!(name: "bad_config", error);
            return ExitCode::FAILURE;
        }
    };
    match broker::run(config, operator, signals, started) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cannot_start(&error),
    }
}

pub(crate) fn cannot_start(error: &std::io::Error) -> ExitCode {
    error!(name: "cannot_start", error = %error);
    ExitCode::FAILURE
}
