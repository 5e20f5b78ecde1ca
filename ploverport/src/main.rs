//! The program: reads its configuration and runs one broker.
#![forbid(unsafe_code)]

use ploverport::{broker, config, log};
use std::process::ExitCode;

fn main() -> ExitCode {
    let config = match config::read(|key| std::env::var(key).ok().filter(|v| !v.is_empty())) {
        Ok(config) => config,
        Err(error) => {
            log::error("bad_config", &[("error", &error)]);
            return ExitCode::FAILURE;
        }
    };
    match broker::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error("cannot_start", &[("error", &error)]);
            ExitCode::FAILURE
        }
    }
}
