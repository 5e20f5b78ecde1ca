//! The program. Without a sub-command it serves, as the platform starts it.

mod bench;
mod check;
mod cli;
mod control;
mod demo;
mod serve;

use clap::{CommandFactory, Parser};
use cli::{Cli, Command, XdsCommand};
use std::process::ExitCode;

fn main() -> ExitCode {
    match Cli::parse().command {
        None => serve::run(None),
        Some(Command::Serve(arguments)) => serve::run(arguments.config),
        Some(Command::Check(arguments)) => check::run(&arguments),
        Some(Command::Demo(arguments)) => demo::run(&arguments),
        Some(Command::Bench(arguments)) => bench::run(&arguments),
        Some(Command::Control(arguments)) => control::run(&arguments),
        Some(Command::Xds { command: XdsCommand::Dump(arguments) }) => control::dump::run(&arguments),
        Some(Command::BenchControl(arguments)) => control::bench::run(&arguments),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "ploverport", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}
