//! The command line.

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A query broker: clients ask it over HTTP, it asks the data servers that hold the parts of each query, and answers.
///
/// Without a sub-command it serves. What it serves is said by the platform's configuration, JSON, at the path in
/// RELAY_CONFIG; RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY go before that file. SIGHUP reads it again, SIGTERM and
/// Ctrl-C end the program in order.
#[derive(Debug, Parser)]
#[command(name = "ploverport", version, max_term_width = 100)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Serve, with the operator's own file beside the platform's configuration
    Serve(ServeArguments),
    /// Check an operator's file: 0 if it can be used, 1 with every fault in it
    Check(CheckArguments),
    /// Serve on this machine alone: a broker with stand-in data servers, until Ctrl-C
    Demo(DemoArguments),
    /// Measure both fronts side by side, against stand-ins on this machine
    Bench(BenchArguments),
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

#[derive(Args, Debug)]
pub(crate) struct ServeArguments {
    /// The operator's own file; without it, only the platform's configuration holds
    #[arg(long, value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
}

#[derive(Args, Debug)]
pub(crate) struct CheckArguments {
    /// The file
    #[arg(value_name = "FILE", required_unless_present = "keywords")]
    pub(crate) file: Option<PathBuf>,
    /// Print the faults as JSON
    #[arg(long)]
    pub(crate) json: bool,
    /// Print what may stand in such a file, and when a change takes effect
    #[arg(long, conflicts_with = "file")]
    pub(crate) keywords: bool,
}

#[derive(Args, Debug)]
pub(crate) struct DemoArguments {
    /// Where clients with HTTP/1.1 connect
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8080")]
    pub(crate) listen: SocketAddr,
    /// Where clients with HTTP/2 connect
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8081")]
    pub(crate) http2: SocketAddr,
    /// Stand-in data servers
    #[arg(long, value_name = "N", default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub(crate) servers: u16,
}

#[derive(Args, Debug)]
pub(crate) struct BenchArguments {
    /// How long each measurement takes, in seconds
    #[arg(long, value_name = "S", default_value_t = 5.0, value_parser = seconds)]
    pub(crate) seconds: f64,
    /// Print the figures as JSON
    #[arg(long)]
    pub(crate) json: bool,
    /// Another build of the broker, to be measured in place of this one
    #[arg(long, value_name = "FILE")]
    pub(crate) exe: Option<PathBuf>,
    /// HTTP/1.1 alone, for builds that speak nothing else
    #[arg(long)]
    pub(crate) http1_only: bool,
}

fn seconds(text: &str) -> Result<f64, String> {
    let number = text.parse().ok().filter(|s: &f64| (0.5..=600.0).contains(s));
    number.ok_or_else(|| "expected seconds, 0.5 to 600".to_owned())
}
