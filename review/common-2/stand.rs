//! Stand-ins for the cases 6 to 10: data servers, discovery, clients and the platform, as the protocol page has them.
//! The standard library alone; everything is on 127.0.0.1.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// All brokers that were started and have not been ended yet.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
/// Starts that failed because a port was taken, and how many are borne.
static STARTS: AtomicU64 = AtomicU64::new(0);
const MOST_STARTS: u64 = 3;
/// No case takes longer than this.
const LONGEST: Duration = Duration::from_secs(110);

/// Ends all brokers, and then the case.
pub fn end(code: i32) -> ! {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    exit(code)
}

/// Ends a case that could not run.
pub fn cannot_run(why: &str) -> ! {
    println!("the case could not run: {why}");
    end(2)
}

/// Plays a case within its time, whatever happens in it.
pub fn run(case: impl FnOnce() -> i32 + Send + 'static) -> ! {
    let (done, code) = channel();
    thread::spawn(move || _ = done.send(case()));
    match code.recv_timeout(LONGEST) {
        Ok(code) => end(code),
        Err(RecvTimeoutError::Timeout) => cannot_run("it took too long"),
        Err(RecvTimeoutError::Disconnected) => cannot_run("it failed by itself"),
    }
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run: one line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        match File::create(folder.join("record.txt")) {
            Ok(file) => Record { file: Arc::new(Mutex::new(file)), start: Instant::now() },
            Err(error) => cannot_run(&format!("record.txt: {error}")),
        }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let passed = at.saturating_duration_since(self.start).as_secs_f64() * 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{passed:10.1} {text}");
    }

    /// Writes a line of the result, and prints it.
    pub fn result(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// One part as a data server received it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub id: String,
    pub shard: usize,
    pub list: String,
    /// Number of the connection that brought it.
    line: u64,
    /// When it was answered or given up, or its connection ended.
    pub ended: Option<Instant>,
}

/// One data server: takes parts, and answers each of them `good` after its work.
pub struct DataServer {
    pub uid: String,
    pub cell: usize,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Until then it stands still, and answers nothing. What comes meanwhile is booked as it comes.
    stands_still: Arc<Mutex<Instant>>,
}

impl DataServer {
    pub fn start(number: usize, cell: usize, work: Duration, record: &Record) -> DataServer {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("data server: {e}")));
        let address = listener.local_addr().unwrap();
        let (uid, arrivals) = (format!("s-{number:04x}"), Arc::new(Mutex::new(Vec::new())));
        let stands_still = Arc::new(Mutex::new(Instant::now()));
        let (name, books, record, still) =
            (uid.clone(), arrivals.clone(), record.clone(), stands_still.clone());
        thread::spawn(move || {
            for (line, stream) in (0..).zip(listener.incoming().flatten()) {
                let (name, books, record, still) =
                    (name.clone(), books.clone(), record.clone(), still.clone());
                thread::spawn(move || {
                    serve_frames(stream, line, &name, work, &books, &still, &record);
                    end_where(&books, |a| a.line == line);
                });
            }
        });
        DataServer { uid, cell, address, arrivals, stands_still }
    }

    /// Stands still for so long from now on.
    pub fn stand_still(&self, time: Duration) {
        *self.stands_still.lock().unwrap() = Instant::now() + time;
    }

    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":{},\"state\":\"{state}\",\
             \"capacity_hint\":1.0,\"boot_ms\":0}}",
            self.uid, self.address, self.cell
        )
    }
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = ((rest.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

/// Books the end of the attempts that are out and meet this.
fn end_where(books: &Mutex<Vec<Arrival>>, of: impl Fn(&Arrival) -> bool) {
    let now = Instant::now();
    let mut books = books.lock().unwrap();
    books.iter_mut().filter(|a| a.ended.is_none() && of(a)).for_each(|a| a.ended = Some(now));
}

/// An answer that is due at a time: the part's id, and the frame.
type Due = (Instant, String, Vec<u8>);

/// Serves one connection of a broker.
fn serve_frames(
    mut stream: TcpStream,
    line_number: u64,
    name: &str,
    work: Duration,
    books: &Arc<Mutex<Vec<Arrival>>>,
    still: &Arc<Mutex<Instant>>,
    record: &Record,
) {
    let _ = stream.set_nodelay(true);
    let Ok(out) = stream.try_clone() else { return };
    let (send, due): (Sender<Due>, Receiver<Due>) = channel();
    let (answered, still) = (books.clone(), still.clone());
    thread::spawn(move || {
        write_when_due(out, &due, &still, |id| end_where(&answered, |a| a.id == id && a.line == line_number))
    });
    let mut head = [0; 4];
    while stream.read_exact(&mut head).is_ok() {
        let mut body = vec![0; u32::from_be_bytes(head) as usize];
        if body.is_empty() || stream.read_exact(&mut body).is_err() {
            return;
        }
        let at = Instant::now();
        let mut rest = &body[1..];
        match body[0] {
            b'm' => {
                while let Some(end) = rest.iter().position(|b| *b == b'\n') {
                    let line = String::from_utf8_lossy(&rest[..end]).into_owned();
                    let words: Vec<&str> = line.split(' ').collect();
                    let [id, shard, list, length] = words[..] else { return };
                    let (Ok(shard), Ok(length)) = (shard.parse(), length.parse::<usize>()) else { return };
                    rest = rest.get(end + 1 + length..).unwrap_or_default();
                    record.line_at(at, &format!("{name} received part {id} {list}"));
                    let (id, list) = (id.to_owned(), list.to_owned());
                    let answer = frame(b'q', format!("{id} good 1 inflight=0,qps=1\nvalue-{id}").as_bytes());
                    let (server, due) = (name.to_owned(), (at + work, id.clone(), answer));
                    books.lock().unwrap().push(Arrival {
                        at,
                        server,
                        id,
                        shard,
                        list,
                        line: line_number,
                        ended: None,
                    });
                    let _ = send.send(due);
                }
            }
            b'n' => {
                let id = String::from_utf8_lossy(rest).into_owned();
                end_where(books, |a| a.id == id);
                record.line_at(at, &format!("{name} was told to give up {id}"));
            }
            b'o' => _ = send.send((at, String::new(), frame(b'o', b"good"))),
            b'p' => _ = send.send((at, String::new(), frame(b'p', b"inflight=0,qps=1"))),
            _ => return,
        }
    }
}

fn write_when_due(
    mut stream: TcpStream,
    due: &Receiver<Due>,
    still: &Mutex<Instant>,
    answered: impl Fn(&str),
) {
    let mut waiting: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
    loop {
        let begin = *still.lock().unwrap();
        let next = waiting.peek().map(|Reverse((at, ..))| (*at).max(begin));
        let wait = next.map_or(ms(1000), |at| at.saturating_duration_since(Instant::now()));
        match due.recv_timeout(wait) {
            Ok(next) => waiting.push(Reverse(next)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        while now >= *still.lock().unwrap() && waiting.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, id, bytes))) = waiting.pop() else { break };
            answered(&id);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

#[derive(Default)]
struct List {
    rev: u64,
    /// The newest entry of each data server, and the version that brought it.
    entries: BTreeMap<String, (u64, String)>,
    /// When each version was written to a broker whose connection was still open.
    written: BTreeMap<u64, Instant>,
    /// Calls with a long wait so far.
    long_calls: u64,
}

/// The discovery agent: the whole list, and watches of it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    /// How much later than at its time each answer is written, in milliseconds.
    pub slow_by: Arc<AtomicU64>,
    /// Discovery is down: the agent takes calls and is silent.
    pub silent: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(servers: &[DataServer], record: &Record) -> Discovery {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("discovery: {e}")));
        let mut list = List { rev: 1, ..List::default() };
        list.entries.extend(servers.iter().map(|s| (s.uid.clone(), (1, s.entry("active")))));
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            list: Arc::new((Mutex::new(list), Condvar::new())),
            slow_by: Arc::default(),
            silent: Arc::default(),
        };
        let (agent, record) = (discovery.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (agent, record) = (agent.clone(), record.clone());
                thread::spawn(move || agent.serve(stream, &record));
            }
        });
        discovery
    }

    /// Changes one entry; the number is the new version.
    pub fn change(&self, uid: &str, entry: String) -> u64 {
        let mut list = self.list.0.lock().unwrap();
        list.rev += 1;
        let rev = list.rev;
        list.entries.insert(uid.to_owned(), (rev, entry));
        self.list.1.notify_all();
        rev
    }

    pub fn whole(&self) -> String {
        let list = self.list.0.lock().unwrap();
        // `left` appears among changes only.
        let stays = |entry: &&str| !entry.contains("\"state\":\"left\"");
        let entries: Vec<&str> =
            list.entries.values().map(|(_, entry)| entry.as_str()).filter(stays).collect();
        format!("{{\"rev\":{},\"all\":true,\"targets\":[{}]}}", list.rev, entries.join(","))
    }

    /// When this version or a later one was written to a broker that still listened.
    pub fn written(&self, rev: u64) -> Option<Instant> {
        self.list.0.lock().unwrap().written.range(rev..).map(|(_, at)| *at).min()
    }

    pub fn long_calls(&self) -> u64 {
        self.list.0.lock().unwrap().long_calls
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let Ok(read) = stream.try_clone() else { return };
        let mut lines = BufReader::new(read).lines();
        loop {
            let Some(Ok(first)) = lines.next() else { return };
            while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
            record.line(&format!("discovery was asked {target}"));
            let pair = |key: &str| {
                let query = target.split_once('?')?.1;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (rev, body) = match pair("index") {
                None => (self.list.0.lock().unwrap().rev, self.whole()),
                Some(index) => self.news(index, ms(pair("wait").unwrap_or(0).min(60_000))),
            };
            thread::sleep(ms(self.slow_by.load(Ordering::Relaxed)));
            if self.silent.load(Ordering::Relaxed) {
                // A watch that has fallen silent stays so, and has to be opened anew.
                record.line("discovery is down: no answer");
                while lines.next().is_some_and(|line| line.is_ok()) {}
                return;
            }
            // A broker that has closed its connection meanwhile is not told.
            let _ = stream.set_nonblocking(true);
            let open = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            let _ = stream.set_nonblocking(false);
            if !open {
                record.line("discovery found its caller gone before the answer was written");
                return;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
            record.line(&format!("discovery answered with version {rev}"));
            self.list.0.lock().unwrap().written.entry(rev).or_insert_with(Instant::now);
        }
    }

    fn news(&self, index: u64, wait: Duration) -> (u64, String) {
        let until = Instant::now() + wait;
        let mut list = self.list.0.lock().unwrap();
        if wait >= ms(3500) {
            list.long_calls += 1;
        }
        while list.rev <= index {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            list = self.list.1.wait_timeout(list, left).unwrap().0;
        }
        let changed: Vec<&str> =
            list.entries.values().filter(|(rev, _)| *rev > index).map(|(_, entry)| entry.as_str()).collect();
        (list.rev, format!("{{\"rev\":{},\"all\":false,\"targets\":[{}]}}", list.rev, changed.join(",")))
    }
}

/// What differs between the configurations of the cases.
#[derive(Clone, Copy)]
pub struct Site {
    /// Whether a part may have two attempts out at once.
    pub second_copies: bool,
    pub cells: usize,
    pub shards: usize,
    pub sockets: u64,
    pub memory_mb: u64,
}

/// The settings of a small deployment: three brokers, a dozen data servers, three classes of query.
pub fn settings(site: &Site) -> String {
    let class = |name: &str, give_up: u32, gain: f64, late: f64, semantics: &str| {
        format!(
            "{{\"Aim\":1500.0,\"DedupScope\":\"all\",\"Gain\":{gain},\"GiveUp\":{give_up}.0,\"LateWorth\":{late},\
             \"MemorySpan\":5000.0,\"Name\":\"{name}\",\"Semantics\":\"{semantics}\",\"Stream\":false}}"
        )
    };
    let classes = [
        class("lookup", 4000, 1.0, 0.0, "repeatable"),
        class("save", 5000, 1.0, 0.3, "by_key"),
        class("ranking", 4000, 2.0, 0.3, "repeatable"),
    ];
    format!(
        "{{\"Allowed\":{{\"Cancel\":true,\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":400000,\"DialTimeout\":250.0,\"Keepalive\":15000.0,\
         \"MaxOpen\":168,\"MaxRetryAfter\":2000.0,\"Multiplex\":100,\"Peers\":false,\"Probes\":true,\"RetryAfter\":true,\
         \"SecondCopies\":{},\"SendCap\":4}},\"Clients\":{{\"MarksRetry\":true}},\"Family\":\"fanout\",\
         \"FamilyInfo\":{{\"Batch\":4,\"Call\":36.0,\"ClassNeed\":[1.0,1.0,1.0],\"FetchParts\":[0,0,0],\
         \"MinShare\":[1.0,1.0,0.7],\"PartialEarns\":[0.9,0.9,0.9],\"Positions\":{},\"Shards\":{},\"WarmKeys\":false,\
         \"Width\":1}},\"Flavors\":[\"std\"],\"Layer\":0,\"Layers\":[\"fleet\"],\"Locality\":0,\
         \"MembershipMode\":\"pushed\",\"Ordinal\":0,\"OverShareWorth\":0.1,\"PeersTotal\":3,\
         \"Projects\":[{{\"Name\":\"north\",\"QuotaPerS\":14.0,\"Share\":0.6}},{{\"Name\":\"south\",\"QuotaPerS\":7.0,\"Share\":0.4}}],\
         \"Report\":{{\"Columns\":[\"rif\",\"rate\"],\"How\":\"inline\"}},\
         \"Rules\":{{\"AnswerSlack\":20.0,\"AskWithin\":10000.0,\"Cold\":16000.0,\"ColdFrom\":0.18,\"DrainGrace\":250.0,\
         \"Fall\":1000.0,\"FallMultiple\":2.5}},\"Services\":[{}],\"Tick\":5.0,\"Weights\":\"rough\",\
         \"WorthBy\":\"request\",\"Zones\":[\"east\"]}}",
        site.second_copies,
        site.cells,
        site.shards,
        classes.join(",")
    )
}

/// What the platform holds for the processes of one broker: the clients' listening socket, and the directory that they share.
pub struct Held {
    listener: TcpListener,
    directory: PathBuf,
}

impl Held {
    pub fn new() -> Held {
        let listener = TcpListener::bind("127.0.0.1:0")
            .unwrap_or_else(|e| cannot_run(&format!("listening socket: {e}")));
        let directory = std::env::temp_dir().join(format!("rv{}", unix_nanos()));
        fs::create_dir_all(&directory).unwrap_or_else(|e| cannot_run(&format!("temporary folder: {e}")));
        Held { listener, directory }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// A broker, started as the platform does; killed when dropped.
pub struct Broker {
    pid: u32,
    pub clients: SocketAddr,
    ops: SocketAddr,
    seed: u64,
    files: PathBuf,
}

fn configuration(
    site: &Site,
    clients: SocketAddr,
    ops: SocketAddr,
    seed: u64,
    discovery: &Discovery,
    known: &str,
) -> String {
    format!(
        "{{\"name\":\"n1\",\"listen\":\"{clients}\",\"discovery\":\"{}\",\"ops\":\"{ops}\",\"seed\":\"{seed:016x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
        discovery.address,
        site.memory_mb,
        site.sockets,
        known,
        settings(site)
    )
}

impl Broker {
    /// Starts the command `run` of the deploy file, and waits until the broker is ready.
    pub fn start(root: &Path, site: &Site, discovery: &Discovery, record: &Record) -> Broker {
        Broker::start_as(root, site, discovery, record, None, &discovery.whole())
    }

    /// The same with this list as the one that is known, and where the platform holds the clients' socket.
    pub fn start_as(
        root: &Path,
        site: &Site,
        discovery: &Discovery,
        record: &Record,
        held: Option<&Held>,
        known: &str,
    ) -> Broker {
        let files = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_nanos()));
        let tmp = files.join("tmp");
        fs::create_dir_all(&tmp).unwrap_or_else(|e| cannot_run(&format!("temporary folder: {e}")));
        let (ops, seed) = (free_address(), unix_nanos());
        let clients = held.map_or_else(free_address, |held| held.listener.local_addr().unwrap());
        let path = files.join("config.json");
        let text = configuration(site, clients, ops, seed, discovery, known);
        fs::write(&path, text).unwrap_or_else(|e| cannot_run(&format!("configuration: {e}")));
        let log = File::create(files.join("log")).unwrap_or_else(|e| cannot_run(&format!("log: {e}")));
        let mut command = Command::new("/bin/sh");
        let run = run_command(root);
        let run = if held.is_some() { format!("exec 3<&0 </dev/null; {run}") } else { run };
        command.arg("-c").arg(run).current_dir(root);
        for name in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_OPS", "RELAY_FD"] {
            command.env_remove(name);
        }
        command
            .env("RELAY_CONFIG", &path)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(held) = held {
            let socket =
                held.listener.try_clone().unwrap_or_else(|e| cannot_run(&format!("listening socket: {e}")));
            command
                .env("RELAY_FD", "3")
                .env("TMPDIR", &held.directory)
                .stdin(Stdio::from(OwnedFd::from(socket)));
        }
        let child = command.spawn().unwrap_or_else(|e| cannot_run(&format!("the broker: {e}")));
        let mut broker = Broker { pid: child.id(), clients, ops, seed, files };
        CHILDREN.lock().unwrap().push(child);
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if broker.has_ended() {
                // Another program may have taken a port that was free a moment ago.
                if STARTS.fetch_add(1, Ordering::Relaxed) < MOST_STARTS && broker.log().contains("in use") {
                    drop(broker);
                    return Broker::start_as(root, site, discovery, record, held, known);
                }
                cannot_run(&format!("the broker ended at its start: {}", broker.log()));
            }
            // Where two processes share the clients' socket, each says for itself at its second address whether it is ready.
            let (at, path) = if held.is_some() { (ops, "/api/ready") } else { (clients, "/-/ready") };
            let asked = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            if matches!(call(at, asked.as_bytes(), ms(500)), Called::Answered(200, _)) {
                record.line("the broker is ready");
                return broker;
            }
            thread::sleep(ms(10));
        }
        cannot_run("the broker did not become ready")
    }

    /// Replaces the configuration by that of this site, and sends SIGHUP; the time is that of the signal.
    pub fn reload(&self, site: &Site, discovery: &Discovery) -> Instant {
        let (new, path) = (self.files.join("new"), self.files.join("config.json"));
        let text = configuration(site, self.clients, self.ops, self.seed, discovery, &discovery.whole());
        let written = fs::write(&new, text).and_then(|()| fs::rename(&new, &path));
        written.unwrap_or_else(|e| cannot_run(&format!("configuration: {e}")));
        self.signal("HUP")
    }

    /// Sends a signal; the time is that of the signal.
    pub fn signal(&self, name: &str) -> Instant {
        let at = Instant::now();
        let sent = Command::new("/bin/sh").arg("-c").arg(format!("kill -s {name} {}", self.pid)).status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run("a signal could not be sent");
        }
        at
    }

    pub fn has_ended(&mut self) -> bool {
        let mut children = CHILDREN.lock().unwrap();
        children.iter_mut().find(|c| c.id() == self.pid).is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.files.join("log")).unwrap_or_default()
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        let mut children = CHILDREN.lock().unwrap();
        if let Some(at) = children.iter().position(|c| c.id() == self.pid) {
            let mut child = children.swap_remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.files);
    }
}

/// The command of the deploy file that starts one broker.
fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))
        .unwrap_or_else(|e| cannot_run(&format!("deploy file: {e}")));
    let line = text.lines().find_map(|line| line.strip_prefix("run")?.trim_start().strip_prefix('='));
    let command = line.and_then(|rest| rest.trim().strip_prefix('"')?.split('"').next());
    command.unwrap_or_else(|| cannot_run("the deploy file has no run")).to_owned()
}

pub fn unix_nanos() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_nanos() as u64)
}

pub fn free_address() -> SocketAddr {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("no free port: {e}")));
    listener.local_addr().unwrap()
}

/// How a call over a new connection ended.
#[derive(Debug)]
pub enum Called {
    /// The connection did not come up in time, or was refused.
    NotConnected,
    /// A whole answer: its status, and its body.
    Answered(u16, String),
    /// The connection ended with no whole answer.
    Closed,
    /// Nothing came for so long.
    Silence,
}

/// A query to these shards, as a client sends it.
pub fn query(class: &str, id: &str, shards: &[usize], deadline: Duration) -> Vec<u8> {
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<String> =
        shards.iter().map(|s| format!("{{\"range\":{s},\"portion\":{portion}}}")).collect();
    let body = format!("{{\"ranges\":[{}],\"predicate\":\"c41e77d0\"}}", ranges.join(","));
    format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Tenant: north\r\n\
         X-Key: {id}\r\nX-Deadline: {}m\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    )
    .into_bytes()
}

/// Sends a request over a new connection, and waits so long after its last byte for the whole answer.
pub fn call(to: SocketAddr, request: &[u8], wait: Duration) -> Called {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, ms(1000)) else { return Called::NotConnected };
    let _ = stream.set_nodelay(true);
    if stream.write_all(request).is_err() {
        return Called::Closed;
    }
    let until = Instant::now() + wait;
    let mut input = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(answer) = whole_answer(&input) {
            return answer;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return Called::Silence;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Called::Closed,
            Ok(n) => input.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Called::Silence;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Called::Closed,
        }
    }
}

/// The answer that is whole in these bytes, by its length or its chunks.
fn whole_answer(input: &[u8]) -> Option<Called> {
    let end = input.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&input[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = &input[end + 4..];
    let field = |name: &str| {
        head.split("\r\n").find_map(|l| Some(l.strip_prefix(name)?.strip_prefix(':')?.trim().to_owned()))
    };
    if let Some(length) = field("content-length") {
        let whole = body.get(..length.parse().ok()?)?;
        return Some(Called::Answered(status, String::from_utf8_lossy(whole).into_owned()));
    }
    let chunked = field("transfer-encoding").is_some() && body.windows(5).any(|w| w == b"0\r\n\r\n");
    chunked.then(|| Called::Answered(status, String::from_utf8_lossy(body).into_owned()))
}

/// A flag that several threads see.
pub fn flag() -> Arc<AtomicBool> {
    Arc::default()
}

/// The folder of the case and the root of the project, from the command line.
pub fn folders() -> (PathBuf, PathBuf) {
    let mut words = std::env::args().skip(1).map(PathBuf::from);
    match (words.next(), words.next()) {
        (Some(folder), Some(root)) => (folder, root),
        _ => cannot_run("FOLDER and ROOT are missing"),
    }
}

/// Reads what has come on a connection that does not block; false: it has ended.
pub fn still_open(stream: &mut TcpStream) -> bool {
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return e.kind() == io::ErrorKind::WouldBlock,
        }
    }
}
