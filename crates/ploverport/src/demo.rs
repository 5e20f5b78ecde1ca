//! `ploverport demo`: the main job on a new machine, without set-up.

use crate::cli::DemoArguments;
use crate::serve::{cannot_start, run_with};
use plover_broker::operator::Operator;
use plover_broker::run::Addresses;
use plover_standins::{Deployment, Fleet, Plan};
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Serves with stand-ins until Ctrl-C.
pub(crate) fn run(arguments: &DemoArguments) -> ExitCode {
    // Before the stand-ins: what keeps them from starting is told too.
    plover_telemetry::init(plover_telemetry::Format::Logfmt, tracing::Level::INFO);
    let fleet = match Fleet::start(Plan { servers: arguments.servers.into(), ..Plan::default() }) {
        Ok(fleet) => fleet,
        Err(error) => return cannot_start(&error),
    };
    let mut configuration = Deployment::default().configuration(&fleet, &arguments.listen.to_string());
    if let Some(ops) = arguments.ops {
        configuration["ops"] = ops.to_string().into();
    }
    let text = format!("listen-http2 {}\ngather-time 5ms\n", arguments.http2);
    let read = || Ok((plover_config::check(&configuration, |_| None)?, Operator::of_text("demo", &text)?));
    let servers = fleet.servers().len();
    run_with(read, |at| welcome(servers, at))
}

fn welcome(servers: usize, at: Addresses) {
    let Addresses { http1, http2, ops } = at;
    let curl = |options: &str, address: SocketAddr| {
        format!(
            "curl -sS {options}http://{address}/lookup -H \"X-Request-Id: demo-$(date +%s%N)\" -H 'X-Tenant: public-site' \
             -d '{{\"ranges\":[{{\"range\":0,\"portion\":0.5}},{{\"range\":5,\"portion\":0.5}}],\"predicate\":\"c41e77d0\"}}'\n"
        )
    };
    let mut text = format!(
        "\nA broker with {servers} stand-in data servers. HTTP/1.1 on {http1}:\n\n  {}",
        curl("", http1)
    );
    if let Some(http2) = http2 {
        text += &format!("\nHTTP/2 on {http2}:\n\n  {}", curl("--http2-prior-knowledge ", http2));
    }
    if let Some(ops) = ops {
        text += &format!(
            "\nOperators on {ops}:\n\n  curl -sS http://{ops}/api/telemetry\n  curl -sS -X PUT http://{ops}/api/evacuate\n  \
             curl -sS http://{ops}/api/ready\n  curl -sS -X PUT http://{ops}/api/rejoin\n"
        );
    }
    text += "\nCtrl-C ends it.\n\n";
    let _ = std::io::stdout().write_all(text.as_bytes());
}
