//! The list, its answers, and the connections on which they are asked for.

use super::book::{Book, Reached, Told};
use super::{Entry, State};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http::{Request, Response, StatusCode, Version};
use plover_http1::{Limits, Reader, RequestDecoder, Step, encode_response};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const LIMITS: Limits = Limits { head: 16 * 1024, body: 64 * 1024 };
/// The longest watch that is granted.
const LONGEST_WAIT: u64 = 60_000;
/// Answers of one version that are kept encoded; watchers ask since a few versions only.
const SHARED: usize = 64;

/// What is told to whoever asks.
#[derive(Clone, Copy)]
enum Tells {
    Whole,
    Changes,
    Nothing,
}

struct List {
    rev: u64,
    /// By number, each with the version in which it last changed.
    entries: BTreeMap<u32, (u64, Entry)>,
    /// Who asks for news since an older version is told the whole list.
    history: u64,
    silent: bool,
    /// Whole answers by what they tell the news since.
    encoded: BTreeMap<Option<u64>, (Rc<[u8]>, Tells)>,
    /// Closed, and replaced, when something changes.
    changed: (Sender<()>, Receiver<()>),
}

/// The list and who asks for it.
pub(super) struct Site {
    list: RefCell<List>,
    book: Arc<Mutex<Book>>,
}

impl Site {
    pub(super) fn new(rev: u64, entries: &[Entry], book: Arc<Mutex<Book>>) -> Self {
        let list = List {
            rev,
            entries: entries.iter().map(|e| (e.number, (rev, *e))).collect(),
            history: 0,
            silent: false,
            encoded: BTreeMap::new(),
            changed: async_channel::bounded(1),
        };
        Site { list: RefCell::new(list), book }
    }

    pub(super) fn publish(&self, entries: &[Entry], forget: bool) -> (u64, Instant) {
        let mut list = self.list.borrow_mut();
        list.rev += 1;
        let rev = list.rev;
        list.entries.extend(entries.iter().map(|e| (e.number, (rev, *e))));
        if forget {
            list.history = rev;
        }
        list.encoded.clear();
        list.changed = async_channel::bounded(1);
        (rev, Instant::now())
    }

    pub(super) fn set_silent(&self, silent: bool) {
        let mut list = self.list.borrow_mut();
        list.silent = silent;
        list.changed = async_channel::bounded(1);
    }

    fn count<T>(&self, change: impl FnOnce(&mut Book) -> T) -> T {
        change(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) async fn connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let number = self.count(|book| {
            book.counts.opened += 1;
            book.counts.opened
        });
        let _ = self.serve(&stream, number).await;
        self.count(|book| book.closed(number));
    }

    async fn serve(&self, mut stream: &Async<TcpStream>, connection: u64) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let mut decoder = RequestDecoder::new(LIMITS);
        // Many watchers: each holds little.
        let (mut input, mut chunk, mut has) = (Vec::new(), [0; 512], None);
        loop {
            let message = loop {
                match decoder.step(&mut input).map_err(io::Error::other)? {
                    Step::Whole(message) => break message,
                    Step::More(_) => match stream.read(&mut chunk).await? {
                        0 => return Ok(()),
                        n => {
                            self.count(|book| book.counts.bytes_in += n as u64);
                            input.extend_from_slice(&chunk[..n]);
                        }
                    },
                }
            };
            let at = Instant::now();
            let Some((index, wait)) = call(&message.value) else {
                stream.write_all(&head(StatusCode::NOT_FOUND, Vec::new())).await?;
                return Ok(());
            };
            self.count(|book| {
                book.counts.calls += 1;
                if let Some(rev) = index.filter(|_| has != index) {
                    book.reached(Reached { connection, rev, at });
                }
            });
            has = index;
            let until = at + Duration::from_millis(wait);
            let answer = async { io::Result::Ok(self.answer(index, until).await) };
            // One that gave the call up, since it was not answered, is told nothing.
            let gone = async {
                match stream.peek(&mut [0]).await? {
                    0 => Err(io::ErrorKind::UnexpectedEof.into()),
                    _ => futures_lite::future::pending().await,
                }
            };
            let (bytes, tells) = answer.or(gone).await?;
            stream.write_all(&bytes).await?;
            self.count(|book| {
                book.told(Told { connection, index, wait_ms: wait, bytes: bytes.len() as u64 });
                book.counts.bytes_out += bytes.len() as u64;
                match tells {
                    Tells::Whole => book.counts.whole += 1,
                    Tells::Changes => book.counts.changes += 1,
                    Tells::Nothing => book.counts.empty += 1,
                }
            });
            if !message.keep_alive {
                return Ok(());
            }
        }
    }

    async fn answer(&self, index: Option<u64>, until: Instant) -> (Rc<[u8]>, Tells) {
        loop {
            let (news, silent, changed) = {
                let list = self.list.borrow();
                (index != Some(list.rev), list.silent, list.changed.1.clone())
            };
            if !silent && (news || Instant::now() >= until) {
                return self.encoded(index);
            }
            let changed = async { _ = changed.recv().await };
            let late = async {
                if silent {
                    futures_lite::future::pending::<()>().await;
                }
                Timer::at(until).await;
            };
            changed.or(late).await;
        }
    }

    /// The answer to who has this version, encoded once for all that have it.
    fn encoded(&self, index: Option<u64>) -> (Rc<[u8]>, Tells) {
        let mut list = self.list.borrow_mut();
        let since = index.filter(|rev| *rev >= list.history && *rev <= list.rev);
        if let Some((bytes, tells)) = list.encoded.get(&since) {
            return (bytes.clone(), *tells);
        }
        let told = |e: &&(u64, Entry)| match since {
            Some(since) => e.0 > since,
            None => e.1.state != State::Left,
        };
        let mut body = format!("{{\"rev\":{},\"all\":{},\"targets\":[", list.rev, since.is_none());
        let mut many = 0;
        for (_, entry) in list.entries.values().filter(told) {
            let comma = if many > 0 { "," } else { "" };
            // Writing into memory does not fail.
            let _ = write!(body, "{comma}{}", entry.json());
            many += 1;
        }
        body.push_str("]}");
        let tells = match (since, many) {
            (None, _) => Tells::Whole,
            (Some(_), 0) => Tells::Nothing,
            (Some(_), _) => Tells::Changes,
        };
        let bytes: Rc<[u8]> = head(StatusCode::OK, body.into_bytes()).into();
        self.count(|book| book.counts.encoded += 1);
        if list.encoded.len() >= SHARED {
            list.encoded.clear();
        }
        list.encoded.insert(since, (bytes.clone(), tells));
        (bytes, tells)
    }
}

fn head(status: StatusCode, body: Vec<u8>) -> Vec<u8> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    encode_response(&response, Reader { version: Version::HTTP_11, head_only: false, keep_alive: true })
}

/// What a call asks for: news since which version, and how long it may be held, in milliseconds. `None`: it is no such call.
fn call(request: &Request<Vec<u8>>) -> Option<(Option<u64>, u64)> {
    if request.uri().path() != "/api/targets" {
        return None;
    }
    let number = |name: &str| {
        let pairs = request.uri().query().unwrap_or_default().split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).and_then(|(_, n)| n.parse::<u64>().ok())
    };
    Some((number("index"), number("wait").unwrap_or(0).min(LONGEST_WAIT)))
}
