//! A discovery that misbehaves as a script says, and serves a list once the script is over.

use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What one call gets.
#[derive(Clone, Debug)]
pub enum Act {
    /// These bytes, whatever they are; the connection stays.
    Say(Vec<u8>),
    /// These bytes, and then the end of the connection.
    SayAndEnd(Vec<u8>),
    /// These bytes one by one, so long apart.
    Trickle(Vec<u8>, Duration),
    /// Nothing, on a connection that stays.
    Silence,
}

/// A call that came.
#[derive(Clone, Debug)]
pub struct Called {
    /// Which connection it came on, from 1 on.
    pub connection: usize,
    /// Its target, query included.
    pub target: String,
}

#[derive(Default)]
struct Stage {
    acts: VecDeque<Act>,
    calls: Vec<Called>,
    connections: usize,
    /// Whether calls beyond the script are answered.
    serves: bool,
    rev: u64,
    targets: Vec<Value>,
    /// How much later than it is due each answer with the list is written.
    late: Duration,
}

/// The discovery, on threads of its own. They end with the process: a test is short.
#[derive(Clone)]
pub struct Script {
    /// Where it listens.
    pub address: SocketAddr,
    stage: Arc<Mutex<Stage>>,
}

/// An answer with a length.
pub fn sized(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// The same in chunks of so many bytes.
pub fn chunked(body: &str, size: usize) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.as_bytes().chunks(size.max(1)) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

impl Script {
    /// Plays these acts, one for each call that comes; after them it serves this list, whole to each that knows an older
    /// version, or stays silent without one.
    pub fn start(acts: Vec<Act>, list: Option<(u64, Vec<Value>)>) -> io::Result<Script> {
        // An address of this process's own: brokers of other tests still call ports that were theirs.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let listener = TcpListener::bind((Ipv4Addr::new(127, 78, high, low), 0))?;
        let address = listener.local_addr()?;
        let serves = list.is_some();
        let (rev, targets) = list.unwrap_or_default();
        let stage = Stage { acts: acts.into(), serves, rev, targets, ..Stage::default() };
        let script = Script { address, stage: Arc::new(Mutex::new(stage)) };
        let playing = script.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let playing = playing.clone();
                std::thread::spawn(move || {
                    let number = {
                        let mut stage = playing.stage();
                        stage.connections += 1;
                        stage.connections
                    };
                    // A broker that hangs up ends it.
                    let _ = playing.serve(stream, number);
                });
            }
        });
        Ok(script)
    }

    fn stage(&self) -> MutexGuard<'_, Stage> {
        self.stage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves another list from now on, and what is left of the script is dropped.
    pub fn serve_list(&self, rev: u64, targets: Vec<Value>) {
        let mut stage = self.stage();
        stage.acts.clear();
        (stage.serves, stage.rev, stage.targets) = (true, rev, targets);
    }

    /// From now on each answer with the list is written so much later than it is due.
    pub fn answer_late(&self, late: Duration) {
        self.stage().late = late;
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<Called> {
        self.stage().calls.clone()
    }

    fn serve(&self, mut stream: TcpStream, connection: usize) -> io::Result<()> {
        let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
        loop {
            let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") else {
                match stream.read(&mut chunk)? {
                    0 => return Ok(()),
                    n => input.extend(&chunk[..n]),
                }
                continue;
            };
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..end + 4);
            let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let act = {
                let mut stage = self.stage();
                stage.calls.push(Called { connection, target: target.clone() });
                stage.acts.pop_front()
            };
            match act {
                Some(Act::Say(bytes)) => stream.write_all(&bytes)?,
                Some(Act::SayAndEnd(bytes)) => return stream.write_all(&bytes),
                Some(Act::Trickle(bytes, pause)) => {
                    for byte in bytes {
                        stream.write_all(&[byte])?;
                        std::thread::sleep(pause);
                    }
                }
                Some(Act::Silence) => silence(&mut stream)?,
                None => match self.in_time(&target) {
                    Some(body) => {
                        let late = self.stage().late;
                        std::thread::sleep(late);
                        stream.write_all(&sized(&body))?;
                    }
                    None => silence(&mut stream)?,
                },
            }
        }
    }

    /// The list where it is newer than what the caller knows; else, when its wait is over, no entry.
    fn in_time(&self, target: &str) -> Option<String> {
        let number = |name: &str| {
            let query = target.split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok())
        };
        let until = Instant::now() + Duration::from_millis(number("wait=").unwrap_or(0));
        loop {
            {
                let stage = self.stage();
                let (rev, news) = (stage.rev, number("index=") != Some(stage.rev));
                if !stage.serves {
                    return None;
                }
                if news || Instant::now() >= until {
                    let targets = if news { stage.targets.as_slice() } else { &[] };
                    return Some(json!({"rev": rev, "all": news, "targets": targets}).to_string());
                }
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Says nothing until the peer hangs up.
fn silence(stream: &mut TcpStream) -> io::Result<()> {
    let mut chunk = [0; 64];
    while stream.read(&mut chunk)? > 0 {}
    Err(io::ErrorKind::UnexpectedEof.into())
}
