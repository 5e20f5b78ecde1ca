//! `ploverport` and `ploverport serve`.

use plover_broker::operator::Operator;
use plover_broker::turns;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::{Level, error};

/// Serves until the program is told to end.
pub(crate) fn run(file: Option<PathBuf>) -> ExitCode {
    plover_telemetry::init(plover_telemetry::Format::Logfmt, Level::INFO);
    // Before all else: a SIGHUP that came while the configuration is read would end the program.
    let signals = match turns::signals() {
        Ok(signals) => signals,
        Err(error) => return cannot_start(&error),
    };
    let read = || {
        let operator = Operator::load(file)?;
        operator.set_log();
        Ok((plover_config::read(plover_config::environment)?, operator))
    };
    let (config, operator) = match read() {
        Ok(both) => both,
        Err(error) => {
            let error: String = error;
            error!(name: "bad_config", error);
            return ExitCode::FAILURE;
        }
    };
    match turns::run(config, operator, signals, |_, _| ()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cannot_start(&error),
    }
}

pub(crate) fn cannot_start(error: &std::io::Error) -> ExitCode {
    error!(name: "cannot_start", error = %error);
    ExitCode::FAILURE
}
