//! `ploverport control` and `ploverport xds`.

pub(crate) mod bench;
pub(crate) mod dump;

use crate::cli::ControlArguments;
use plover_broker::operator::Operator;
use plover_config::Config;
use plover_control::{Options, Service, Started};
use plover_operator_file::Settings;
use plover_standins::{Deployment, Fleet, Plan};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};
use tracing::{Level, error};

/// Threads of the service: the hub needs one, and streams that are sent much share the others.
const THREADS: usize = 4;

pub(crate) fn runtime() -> io::Result<Runtime> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()).min(THREADS);
    tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()
}

/// What the operator's file sets of the service.
fn options(settings: &Settings) -> Result<Options, String> {
    let missing = "the operator's file sets no control-listen: where are proxies to connect? \
        (`ploverport check --keywords` lists what it may hold)";
    let control = settings.control.clone().ok_or(missing)?;
    Ok(Options {
        listen: control.listen,
        name: control.name,
        instance: control.instance,
        instances: control.instances,
        peers: control.peers,
        streams: control.streams,
        cores: control.cores,
        request_work: control.request_work,
        time_to_live: control.time_to_live,
        longest_pause: control.longest_pause,
        cut_off: control.cut_off,
        ping: control.ping,
    })
}

/// Serves until the program is told to end.
pub(crate) fn run(arguments: &ControlArguments) -> ExitCode {
    plover_telemetry::init(plover_telemetry::Format::Logfmt, Level::INFO);
    if let Some(listen) = arguments.demo {
        return demo(listen);
    }
    let read = || -> Result<(Config, Options), String> {
        let operator = Operator::load(arguments.config.clone(), None)?;
        operator.set_log();
        Ok((plover_config::read(plover_config::environment)?, options(operator.settings())?))
    };
    match read() {
        Ok((config, options)) => serve(config, options, Box::new(|_| ())),
        Err(error) => {
            error!(name: "bad_config", error);
            ExitCode::FAILURE
        }
    }
}

fn serve(config: Config, options: Options, started: Started) -> ExitCode {
    let result = runtime().and_then(|runtime| {
        let result = runtime.block_on(async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            // The file is read at the start alone; the signal that has the broker read it must not end this.
            let _hang_up = signal(SignalKind::hangup())?;
            let stop = async move {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
            };
            Service::new(config, options).run(stop, started).await
        });
        // Streams whose proxies do not let go must not keep the process.
        runtime.shutdown_background();
        result
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => crate::serve::cannot_start(&error),
    }
}

/// A service with stand-in servers, for a first look.
fn demo(listen: SocketAddr) -> ExitCode {
    let fleet = match Fleet::start(Plan { servers: 6, cells: 2, ..Plan::default() }) {
        Ok(fleet) => fleet,
        Err(error) => return crate::serve::cannot_start(&error),
    };
    let deployment = Deployment { cells: 2, ..Deployment::default() };
    let configuration = deployment.configuration(&fleet, "127.0.0.1:0");
    let text = format!("control-listen {listen}\n");
    let read = || -> Result<(Config, Options), String> {
        let operator = Operator::of_text("demo", &text)?;
        Ok((plover_config::check(&configuration, |_| None)?, options(operator.settings())?))
    };
    match read() {
        Ok((config, options)) => serve(config, options, Box::new(welcome)),
        Err(error) => {
            error!(name: "bad_config", error);
            ExitCode::FAILURE
        }
    }
}

fn welcome(listen: SocketAddr) {
    let text = format!(
        "\nA control service with six stand-in data servers in two cells. What a proxy would be told:\n\n  \
         ploverport xds dump {listen}\n\nA gRPC client's target is xds:///ploverport, with this server in its bootstrap: {listen}\n\
         Ctrl-C ends it.\n\n"
    );
    let _ = io::stdout().write_all(text.as_bytes());
}
