//! A stand-in discovery: the list of data servers, and watches of it.

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http::{Request, Response, Version};
use plover_http1::{Limits, Reader, RequestDecoder, Step, encode_response};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

const LIMITS: Limits = Limits { head: 16 * 1024, body: 64 * 1024 };
/// The longest watch that is granted.
const LONGEST_WAIT: u64 = 60_000;

/// Calls for the whole list that are kept.
const KEPT: usize = 100_000;

/// The list, and who watches it.
pub(crate) struct Discovery {
    state: RefCell<State>,
}

struct State {
    rev: u64,
    /// Each entry with the version in which it last changed.
    entries: BTreeMap<String, (u64, Value)>,
    /// It takes calls and answers none.
    silent: bool,
    /// When it was asked for the whole list.
    asked: Vec<Instant>,
    /// Closed, and replaced, when something changes.
    changed: (Sender<()>, Receiver<()>),
}

impl Discovery {
    pub(crate) fn new() -> Rc<Self> {
        let state = State {
            rev: 1,
            entries: BTreeMap::new(),
            silent: false,
            asked: Vec::new(),
            changed: async_channel::bounded(1),
        };
        Rc::new(Discovery { state: RefCell::new(state) })
    }

    /// Changes an entry, and tells those who watch.
    pub(crate) fn set(&self, entry: Value) {
        self.set_all(vec![entry]);
    }

    /// Changes entries, all in one version.
    pub(crate) fn set_all(&self, entries: Vec<Value>) {
        let mut state = self.state.borrow_mut();
        state.rev += 1;
        let rev = state.rev;
        for entry in entries {
            let name = entry["uid"].as_str().unwrap_or_default().to_owned();
            state.entries.insert(name, (rev, entry));
        }
        state.changed = async_channel::bounded(1);
    }

    /// When it was asked for the whole list, up to the most that is kept.
    pub(crate) fn asked(&self) -> Vec<Instant> {
        self.state.borrow().asked.clone()
    }

    /// Whether it answers.
    pub(crate) fn set_silent(&self, silent: bool) {
        let mut state = self.state.borrow_mut();
        state.silent = silent;
        state.changed = async_channel::bounded(1);
    }

    /// The list, or what changed since a version.
    pub(crate) fn list(&self, since: Option<u64>) -> Value {
        let state = self.state.borrow();
        let since = since.filter(|rev| *rev <= state.rev);
        let changed = state.entries.values().filter(|(rev, _)| since.is_none_or(|since| *rev > since));
        let gone = |entry: &Value| since.is_none() && entry["state"] == "left";
        let targets: Vec<Value> = changed.map(|(_, entry)| entry.clone()).filter(|e| !gone(e)).collect();
        json!({"rev": state.rev, "all": since.is_none(), "targets": targets})
    }

    pub(crate) async fn connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let _ = self.serve(&stream).await;
    }

    async fn serve(&self, mut stream: &Async<TcpStream>) -> io::Result<()> {
        let mut decoder = RequestDecoder::new(LIMITS);
        let (mut input, mut chunk) = (Vec::new(), vec![0; 4096]);
        loop {
            let message = loop {
                match decoder.step(&mut input).map_err(io::Error::other)? {
                    Step::Whole(message) => break message,
                    Step::More(_) => match stream.read(&mut chunk).await? {
                        0 => return Ok(()),
                        n => input.extend_from_slice(&chunk[..n]),
                    },
                }
            };
            let response = self.answer(&message.value).await;
            let reader =
                Reader { version: Version::HTTP_11, head_only: false, keep_alive: message.keep_alive };
            stream.write_all(&encode_response(&response, reader)).await?;
            if !message.keep_alive {
                return Ok(());
            }
        }
    }

    async fn answer(&self, request: &Request<Vec<u8>>) -> Response<Vec<u8>> {
        if request.uri().path() != "/api/targets" {
            let mut response = Response::new(Vec::new());
            *response.status_mut() = http::StatusCode::NOT_FOUND;
            return response;
        }
        let number = |name: &str| {
            let pairs =
                request.uri().query().unwrap_or_default().split('&').filter_map(|p| p.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).and_then(|(_, n)| n.parse::<u64>().ok())
        };
        let index = number("index");
        if index.is_none() {
            let mut state = self.state.borrow_mut();
            if state.asked.len() < KEPT {
                state.asked.push(Instant::now());
            }
        }
        let until = Instant::now() + Duration::from_millis(number("wait").unwrap_or(0).min(LONGEST_WAIT));
        loop {
            let (news, silent, changed) = {
                let state = self.state.borrow();
                (index.is_none_or(|i| i != state.rev), state.silent, state.changed.1.clone())
            };
            if !silent && (news || Instant::now() >= until) {
                return Response::new(self.list(index).to_string().into_bytes());
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
}
