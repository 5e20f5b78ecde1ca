//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
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
    /// Hand decisions on to other proxies, over xDS
    Control(ControlArguments),
    /// Look at what a control service tells its proxies
    Xds {
        #[command(subcommand)]
        command: XdsCommand,
    },
    /// Measure a control service: how soon proxies hear of a change, and what that costs
    BenchControl(BenchControlArguments),
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
pub(crate) struct ControlArguments {
    /// The operator's own file, which says where proxies connect (control-listen)
    #[arg(long, value_name = "FILE", required_unless_present = "demo")]
    pub(crate) config: Option<PathBuf>,
    /// With stand-in data servers on this machine, until Ctrl-C; where proxies connect
    #[arg(long, value_name = "ADDR", num_args = 0..=1, default_missing_value = "127.0.0.1:18000", conflicts_with = "config")]
    pub(crate) demo: Option<SocketAddr>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum XdsCommand {
    /// Print what a proxy would be told now
    Dump(DumpArguments),
}

/// In whose manner to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Manner {
    /// All clusters, their endpoints, and routes by name
    Envoy,
    /// A listener by name, and what that leads to
    Grpc,
}

#[derive(Args, Debug)]
pub(crate) struct DumpArguments {
    /// Where the control service listens
    #[arg(value_name = "ADDR")]
    pub(crate) address: SocketAddr,
    /// Ask in this manner
    #[arg(long = "as", value_name = "MANNER", value_enum, default_value_t = Manner::Envoy)]
    pub(crate) manner: Manner,
    /// In the state-of-the-world variant, not the incremental one
    #[arg(long)]
    pub(crate) sotw: bool,
    /// Name of the node to appear as
    #[arg(long, value_name = "ID", default_value = "xds-dump")]
    pub(crate) node: String,
    /// Name of the listener and routes (control-name)
    #[arg(long, value_name = "NAME", default_value = "ploverport")]
    pub(crate) name: String,
    /// Print it as JSON
    #[arg(long)]
    pub(crate) json: bool,
}

#[derive(Args, Debug)]
pub(crate) struct BenchControlArguments {
    /// Numbers of proxies
    #[arg(long, value_name = "N,...", value_delimiter = ',', default_values_t = [10usize, 100, 1000])]
    pub(crate) proxies: Vec<usize>,
    /// Numbers of endpoints
    #[arg(long, value_name = "N,...", value_delimiter = ',', default_values_t = [100u32, 1000, 5000])]
    pub(crate) endpoints: Vec<u32>,
    /// Cells, each a cluster, that the endpoints are spread over by turns
    #[arg(long, value_name = "N", default_value_t = 1)]
    pub(crate) cells: usize,
    /// Changes of the list in each measurement
    #[arg(long, value_name = "N", default_value_t = 10)]
    pub(crate) changes: usize,
    /// Print the figures as JSON
    #[arg(long)]
    pub(crate) json: bool,
}

#[derive(Args, Debug)]
pub(crate) struct CheckArguments {
    /// The file
    #[arg(value_name = "FILE", required_unless_present = "keywords")]
    pub(crate) file: Option<PathBuf>,
    /// Print the faults as JSON
    #[arg(long)]
    pub(crate) json: bool,
    /// The platform's configuration, whose rules the file must keep; without it, that of RELAY_CONFIG
    #[arg(long, value_name = "FILE")]
    pub(crate) platform: Option<PathBuf>,
    /// Print which line decides which value for a query, such as "lookup tenant=public-site x-kind=a"
    ///
    /// First the class, then what is not as usual: tenant=NAME, path=/PATH, and header fields with their values.
    #[arg(long, value_name = "QUERY", conflicts_with = "keywords")]
    pub(crate) explain: Option<String>,
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
    /// Where operators call; without it there is no door for them
    #[arg(long, value_name = "ADDR")]
    pub(crate) ops: Option<SocketAddr>,
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
    /// Lines that are put below the broker's own file in each measurement, such as sections of classes and routes
    #[arg(long, value_name = "FILE")]
    pub(crate) lines: Option<PathBuf>,
    /// Only the measurements whose row contains this, such as " 1 at once gather" or "256 half"
    #[arg(long, value_name = "WORDS", default_value = "")]
    pub(crate) only: String,
}

fn seconds(text: &str) -> Result<f64, String> {
    let number = text.parse().ok().filter(|s: &f64| (0.5..=600.0).contains(s));
    number.ok_or_else(|| "expected seconds, 0.5 to 600".to_owned())
}
