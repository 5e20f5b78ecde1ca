//! Brokers with a door, and calls to it.

use futures_lite::FutureExt;
use plover_load::{Answer, Ask, Http1};
use plover_standins::{Deployment, Fleet, Inherit, Plan, Program};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

pub(crate) const BOUND: Duration = Duration::from_secs(30);

pub(crate) fn exe() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_ploverport"))
}

pub(crate) fn fleet(work: Duration) -> Fleet {
    Fleet::start(Plan { work, ..Plan::default() }).unwrap()
}

/// The usual configuration, with a door.
pub(crate) fn configuration(fleet: &Fleet) -> Value {
    let mut configuration = Deployment::default().configuration(fleet, "127.0.0.1:0");
    configuration["ops"] = json!("127.0.0.1:0");
    configuration
}

pub(crate) fn start(fleet: &Fleet, operator: &str) -> Program {
    Program::serve(exe(), &configuration(fleet), operator, None).unwrap()
}

/// Names another build of the program. Processes of one broker are then of either build in turn, the first of
/// this one, or of the other one if [`OTHER_BUILD_FIRST`] is set too.
const OTHER_BUILD: &str = "PLOVERPORT_OTHER_BUILD";
const OTHER_BUILD_FIRST: &str = "PLOVERPORT_OTHER_BUILD_FIRST";

/// What the processes of one broker share.
pub(crate) struct Shared {
    pub(crate) listener: TcpListener,
    pub(crate) directory: PathBuf,
    /// Number of processes that were started.
    started: AtomicUsize,
}

impl Shared {
    pub(crate) fn new(name: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("ploverport-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Shared { listener, directory, started: AtomicUsize::new(0) }
    }

    pub(crate) fn start(&self, fleet: &Fleet) -> Program {
        self.start_with(fleet, "")
    }

    pub(crate) fn start_with(&self, fleet: &Fleet, operator: &str) -> Program {
        let mut configuration = configuration(fleet);
        configuration["listen"] = json!(self.address().to_string());
        self.serve(&configuration, operator)
    }

    pub(crate) fn start_configured(&self, configuration: &Value) -> Program {
        self.serve(configuration, "")
    }

    fn serve(&self, configuration: &Value, operator: &str) -> Program {
        let inherit = Inherit { listener: &self.listener, directory: &self.directory };
        Program::serve(&self.next_build(), configuration, operator, Some(inherit)).unwrap()
    }

    /// The build of the next process.
    fn next_build(&self) -> PathBuf {
        let other_at = usize::from(std::env::var_os(OTHER_BUILD_FIRST).is_none());
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let other = std::env::var_os(OTHER_BUILD).filter(|_| number % 2 == other_at);
        other.map_or_else(|| exe().to_owned(), PathBuf::from)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Sends bytes, and reads until the other side ends.
pub(crate) fn exchange(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// A call at the door: the status, and the text.
pub(crate) fn call(program: &Program, method: &str, path: &str) -> (u16, String) {
    let answer =
        exchange(program.ops.unwrap(), format!("{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes());
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, answer.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned())
}

/// The figures.
pub(crate) fn figures(program: &Program) -> BTreeMap<String, u64> {
    let (status, text) = call(program, "GET", "/api/telemetry");
    assert_eq!(status, 200);
    let pair = |line: &str| line.split_once('=').map(|(n, v)| (n.to_owned(), v.parse().unwrap()));
    text.lines().map(|l| pair(l).unwrap()).collect()
}

/// Waits until the figures are so.
pub(crate) fn until(program: &Program, what: &str, is: impl Fn(&BTreeMap<String, u64>) -> bool) {
    let begun = std::time::Instant::now();
    loop {
        let figures = figures(program);
        if is(&figures) {
            return;
        }
        assert!(begun.elapsed() < BOUND, "never {what}: {figures:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub(crate) fn run<T>(clients: impl Future<Output = T>) -> T {
    let late = async {
        async_io::Timer::after(BOUND).await;
        panic!("the clients do not come to an end");
    };
    async_io::block_on(clients.or(late))
}

/// Asks on a connection of its own.
pub(crate) fn ask(to: SocketAddr, ask: &Ask) -> Answer {
    run(async {
        match Http1::connect(to).await.unwrap().send(&ask.request()).await {
            Ok(response) => Answer::of(&response),
            Err(error) => Answer::Reset(error.to_string()),
        }
    })
}

/// A request on its way: its answer is read when it is asked for.
pub(crate) struct Sent(pub(crate) TcpStream);

pub(crate) fn send(to: SocketAddr, ask: &Ask) -> Sent {
    let request = ask.request();
    let mut text = format!("POST {} HTTP/1.1\r\nHost: a\r\n", request.uri().path());
    for (name, value) in request.headers() {
        text += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    stream.write_all(&[format!("{text}\r\n").as_bytes(), request.body()].concat()).unwrap();
    Sent(stream)
}

impl Sent {
    /// The head of the answer; whether the broker has closed after it.
    pub(crate) fn answer(mut self) -> (String, bool) {
        let mut input = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            let text = String::from_utf8_lossy(&input).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
                if body.len() >= length.map_or(0, |l| l.parse().unwrap()) {
                    return (head.to_owned(), head.contains("Connection: close"));
                }
            }
            let n = self.0.read(&mut chunk).unwrap();
            assert!(n > 0, "closed after {text:?}");
            input.extend(&chunk[..n]);
        }
    }
}
