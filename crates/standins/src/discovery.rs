//! A stand-in discovery: the list of data servers, and watches of it.

use crate::view::{Called, Shown, Sight};
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
use std::sync::Arc;
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
    /// The list as it was when the fleet had started, with its version.
    first: Option<(u64, Value)>,
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
            first: None,
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

    /// What it holds now is what it held at first.
    pub(crate) fn keep_first(&self) {
        let list = self.list(None);
        let mut state = self.state.borrow_mut();
        state.first = Some((state.rev, list));
    }

    /// What a view shows has changed: whoever waits looks again.
    pub(crate) fn look_again(&self) {
        self.state.borrow_mut().changed = async_channel::bounded(1);
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

    pub(crate) async fn connection(self: Rc<Self>, stream: Async<TcpStream>, shown: Arc<Shown>) {
        let _ = self.serve(&stream, &shown).await;
    }

    async fn serve(&self, mut stream: &Async<TcpStream>, shown: &Shown) -> io::Result<()> {
        let port = stream.get_ref().peer_addr()?.port();
        let mut total = 0;
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
            let response = self.answer(&message.value, port, shown).await;
            let reader =
                Reader { version: Version::HTTP_11, head_only: false, keep_alive: message.keep_alive };
            let bytes = encode_response(&response, reader);
            stream.write_all(&bytes).await?;
            total += bytes.len() as u64;
            shown.wrote(port, total, response.body());
            if !message.keep_alive {
                return Ok(());
            }
        }
    }

    async fn answer(&self, request: &Request<Vec<u8>>, port: u16, shown: &Shown) -> Response<Vec<u8>> {
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
        let wait_ms = number("wait").unwrap_or(0).min(LONGEST_WAIT);
        let at = Instant::now();
        shown.called(Called { at, port, wait_ms });
        let until = at + Duration::from_millis(wait_ms);
        loop {
            let (first, rev, silent, changed) = {
                let state = self.state.borrow();
                let sight = shown.sight();
                let first = state.first.clone().filter(|_| sight == Sight::Old);
                let rev = first.as_ref().map_or(state.rev, |(rev, _)| *rev);
                (first, rev, state.silent || sight == Sight::Silent, state.changed.1.clone())
            };
            let news = index.is_none_or(|i| i != rev);
            if !silent && (news || Instant::now() >= until) {
                let list = match first {
                    Some((_, list)) if news => list,
                    Some((rev, _)) => json!({"rev": rev, "all": false, "targets": []}),
                    None => self.list(index),
                };
                return Response::new(shown.tells(list).to_string().into_bytes());
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
