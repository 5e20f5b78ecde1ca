//! A real broker: the program as its users start it, owned by the run.

use crate::plan::{Broker, Plan};
use crate::process::{Owned, Usage, guarded};
use plover_standins::{Deployment, List};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Far beyond what a slow machine needs until a broker serves.
const BOUND: Duration = Duration::from_secs(30);
/// Lines of its log that are kept.
const LINES: usize = 200;

/// A running broker. Dropped, it is ended.
pub struct RealBroker {
    owned: Owned,
    log: Arc<Mutex<VecDeque<String>>>,
    /// Where clients connect.
    pub listen: SocketAddr,
    _files: tempfile::TempDir,
}

/// What its configuration says beside the list.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Cells, each of which holds one shard of its own.
    pub cells: usize,
    /// Most descriptors.
    pub sockets: usize,
    /// Memory, in MB.
    pub memory_mb: usize,
    /// Whether second copies are allowed, in all classes.
    pub second_copies: bool,
    /// Aim of all classes in milliseconds, where it is not the deployment's.
    pub aim: Option<f64>,
}

impl Setting {
    /// The whole configuration round this discovery; `known` is its list, of version 2.
    pub fn configuration(&self, discovery: SocketAddr, known: &[Value]) -> Value {
        let deployment = Deployment {
            cells: self.cells,
            shards: self.cells,
            max_open: 200_000,
            sockets: self.sockets,
            memory_mb: self.memory_mb,
            ..Deployment::default()
        };
        let known = json!({"rev": 2, "all": true, "targets": known});
        let mut all = deployment.around(discovery, &known, "127.0.0.1:0");
        all["settings"]["Allowed"]["SecondCopies"] = json!(self.second_copies);
        let classes = all["settings"]["Services"].as_array_mut().into_iter().flatten();
        if let Some(aim) = self.aim {
            classes.for_each(|class| class["Aim"] = json!(aim));
        }
        all
    }
}

impl RealBroker {
    /// Starts it round a list that its discovery has too, and waits until it is ready.
    pub fn start(
        plan: &Plan,
        broker: &Broker,
        setting: &Setting,
        list: &List,
        known: &[Value],
    ) -> io::Result<RealBroker> {
        let files = tempfile::tempdir()?;
        let configuration = setting.configuration(list.address, known);
        std::fs::write(files.path().join("config.json"), configuration.to_string())?;
        let mut command = guarded(&plan.rig, &broker.path);
        command
            .args(&broker.arguments)
            .env("RELAY_CONFIG", files.path().join("config.json"))
            .env_remove("RELAY_NAME")
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env_remove("RELAY_OPS")
            .env_remove("RELAY_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut owned = Owned::start(&mut command, &plan.guard)?;
        let log: Arc<Mutex<VecDeque<String>>> = Arc::default();
        if let Some(stderr) = owned.child().stderr.take() {
            let log = log.clone();
            // Ends with the broker.
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                    if log.len() == LINES {
                        log.pop_front();
                    }
                    log.push_back(line);
                }
            });
        }
        let mut broker =
            RealBroker { owned, log, listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), _files: files };
        broker.listen = broker.when_it_listens()?;
        broker.when_it_is_ready()?;
        Ok(broker)
    }

    fn when_it_listens(&mut self) -> io::Result<SocketAddr> {
        let until = Instant::now() + BOUND;
        while Instant::now() < until {
            let line = self.log().into_iter().find(|l| l.contains("event=started "));
            let word = line.as_ref().and_then(|l| l.split(' ').find_map(|w| w.strip_prefix("listen=")));
            if let Some(address) = word.and_then(|w| w.parse().ok()) {
                return Ok(address);
            }
            if !self.owned.runs() {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(io::Error::other(format!("the broker does not start: {:?}", self.log())))
    }

    fn when_it_is_ready(&mut self) -> io::Result<()> {
        use std::io::{Read, Write};
        let until = Instant::now() + BOUND;
        while Instant::now() < until {
            let mut stream = TcpStream::connect(self.listen)?;
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
            let mut head = [0; 12];
            if stream.read_exact(&mut head).is_ok() && head.ends_with(b"200") {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other(format!("the broker is not ready: {:?}", self.log())))
    }

    /// The last lines of its log.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    /// The last warning or error of each kind in the last lines of its log.
    pub fn warnings(&self) -> Vec<String> {
        let mut last = std::collections::BTreeMap::new();
        for line in self.log() {
            let event = line.split(' ').find(|w| w.starts_with("event=")).map(str::to_owned);
            if let (false, Some(event)) = (line.contains("level=info"), event) {
                last.insert(event, line);
            }
        }
        last.into_values().collect()
    }

    /// What it has used so far.
    pub fn usage(&self) -> io::Result<Usage> {
        self.owned.usage()
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.owned.id()
    }
}
