//! What is done to a broker beside its starts and ends: signals with other configurations, its time to end, crowds.

use super::Play;
use crate::broker::Phase;
use crate::record::{Life, Seen};
use crate::script::Reload;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// What other configurations change: aims in milliseconds, and descriptors as a share of the usual ones.
const AIMS: [f64; 2] = [1200.0, 1500.0];
const DESCRIPTORS: [(usize, usize); 2] = [(3, 4), (1, 1)];

impl Play<'_> {
    /// Puts another configuration in place, and tells the process.
    pub(super) fn reload(&mut self, n: usize, reload: Reload) -> io::Result<()> {
        self.reloads += 1;
        let broker = &self.brokers[n];
        let text = match reload {
            Reload::Other => other(&broker.configuration, self.reloads as usize).to_string(),
            Reload::Faulty => "{\"name\": ".to_owned(),
        };
        if let Some(program) = &broker.program {
            program.replace_configuration(&text)?;
        }
        broker.signal(Signal::HUP)
    }

    /// The time that a broker had to end is over: SIGKILL, and a start.
    pub(super) fn expire(&mut self, n: usize) -> io::Result<()> {
        let Phase::Ending(_, state) = self.brokers[n].phase else { return Ok(()) };
        self.saw(Seen::Broker { broker: n, life: Life::Expired });
        self.brokers[n].signal(Signal::KILL)?;
        self.gone(n);
        self.start(n, state);
        Ok(())
    }

    /// Has clients connect that ask nothing.
    pub(super) fn crowd(&mut self, n: usize, clients: usize) {
        let Some(address) = self.brokers[n].program.as_ref().map(|program| program.http1) else { return };
        self.saw(Seen::Crowded { broker: n });
        for _ in 0..clients {
            self.crowds.spawn(async move {
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    // Until the broker ends it, and in whichever way.
                    let _ = stream.read(&mut [0; 1024]).await;
                }
            });
        }
    }
}

/// A configuration with other aims and descriptors.
fn other(usual: &Value, number: usize) -> Value {
    let mut other = usual.clone();
    for class in other["settings"]["Services"].as_array_mut().into_iter().flatten() {
        class["Aim"] = json!(AIMS[number % AIMS.len()]);
    }
    let (part, whole) = DESCRIPTORS[number % DESCRIPTORS.len()];
    let sockets = usual["limits"]["sockets"].as_u64().unwrap_or_default() as usize;
    other["limits"]["sockets"] = json!(sockets * part / whole);
    other
}
