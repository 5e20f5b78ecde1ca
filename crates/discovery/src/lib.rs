//! Watches the list of data servers, from the version on that is known at the start.

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use http::Response;
use plover_http1::{Limits, Message, ResponseDecoder, Step};
use plover_model::server::Targets;
use plover_model::time::Micros;
use plover_recovery::{Budget, Kind};
use plover_runtime::clock::limited;
use plover_runtime::net::read_some;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// How long a watch may wait. Far shorter than the protocol allows: a call that got lost is noticed sooner.
const WAIT: Duration = Duration::from_secs(5);
/// The longest answer: a list of many thousand servers.
const LIMITS: Limits = Limits { head: 16 * 1024, body: 4 << 20 };
/// How much longer its answer may take.
const GRACE: Duration = Duration::from_secs(1);
/// First and longest wait after a failure. The first is well under the 200 ms that a watch may pause.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// Where news of the list goes.
pub type Sink = Rc<dyn Fn(Targets)>;

/// The one watch of the list, and so the owner of its connection.
pub struct Discovery {
    executor: Rc<LocalExecutor<'static>>,
    sink: Sink,
    pace: Option<Rc<Pace>>,
    /// Dropping it ends the watch and closes its connection.
    _watch: Task<()>,
}

impl Discovery {
    /// Watches at this address, from this version on; `None`: from the whole list on. With a budget that begins now,
    /// watches begin at its pace.
    pub fn start(
        executor: Rc<LocalExecutor<'static>>,
        sink: Sink,
        address: SocketAddr,
        rev: Option<u64>,
        budget: Option<Budget>,
    ) -> Self {
        let pace = budget.map(|budget| Rc::new(Pace { budget: RefCell::new(budget), start: Instant::now() }));
        let _watch = executor.spawn(watch(address, rev, sink.clone(), pace.clone()));
        Discovery { executor, sink, pace, _watch }
    }

    /// Watches at another address. Its versions need not be those of the last one, and what changed meanwhile
    /// is known to nobody: it is asked for the whole list first.
    pub fn move_to(&mut self, address: SocketAddr) {
        self._watch = self.executor.spawn(watch(address, None, self.sink.clone(), self.pace.clone()));
    }
}

/// The pace at which watches begin.
struct Pace {
    budget: RefCell<Budget>,
    /// Zero of the budget's clock.
    start: Instant,
}

impl Pace {
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    async fn wait(&self) {
        loop {
            let Err(next) = self.budget.borrow_mut().take(self.now(), Kind::List) else { return };
            Timer::at(self.start + Duration::from_micros(next)).await;
        }
    }
}

/// Watches for ever. A list that cannot be had or read leaves the last one in force.
async fn watch(discovery: SocketAddr, mut rev: Option<u64>, sink: Sink, pace: Option<Rc<Pace>>) {
    let mut back_off = BACK_OFF.0;
    let mut begins = true;
    loop {
        if let Some(pace) = pace.as_ref().filter(|_| begins) {
            pace.wait().await;
        }
        let error = match session(discovery, &mut rev, &mut back_off, &sink).await {
            // Closed between two answers, as a server may: the watch goes on.
            Ok(()) => {
                begins = false;
                continue;
            }
            Err(error) => error,
        };
        begins = true;
        if let Some(pace) = &pace {
            pace.budget.borrow_mut().refused(pace.now(), Kind::List);
        }
        warn!(name: "discovery_failed", error = %error);
        Timer::after(back_off).await;
        back_off = (back_off * 2).min(BACK_OFF.1);
    }
}

/// Watches over one connection until that ends.
async fn session(
    discovery: SocketAddr,
    rev: &mut Option<u64>,
    back_off: &mut Duration,
    sink: &Sink,
) -> io::Result<()> {
    let mut stream = limited(GRACE, Async::<TcpStream>::connect(discovery)).await?;
    stream.get_ref().set_nodelay(true)?;
    let mut input = Vec::new();
    let mut decoder = ResponseDecoder::new(LIMITS);
    loop {
        let called = Instant::now();
        let (query, time) = match rev {
            Some(rev) => (format!("?index={rev}&wait={}", WAIT.as_millis()), WAIT + GRACE),
            None => (String::new(), GRACE),
        };
        let call = format!("GET /api/targets{query} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        stream.write_all(call.as_bytes()).await?;
        let message = limited(time, answer(&stream, &mut decoder, &mut input)).await?;
        if message.value.status() != 200 {
            // It may not know our version, as after a loss of its own data: the whole list comes next.
            *rev = None;
            return Err(io::Error::other(format!("status {}", message.value.status())));
        }
        let targets: Targets = serde_json::from_slice(message.value.body()).map_err(io::Error::other)?;
        *rev = Some(targets.rev);
        *back_off = BACK_OFF.0;
        if targets.all || !targets.targets.is_empty() {
            sink(targets);
        } else if called.elapsed() < WAIT / 2 {
            // An empty answer before its time: asked again at once, such a server would cost the whole core.
            Timer::after(BACK_OFF.0).await;
        }
        if !message.keep_alive {
            return Ok(());
        }
    }
}

async fn answer(
    stream: &Async<TcpStream>,
    decoder: &mut ResponseDecoder,
    input: &mut Vec<u8>,
) -> io::Result<Message<Response<Vec<u8>>>> {
    loop {
        match decoder.step(input).map_err(io::Error::other)? {
            Step::Whole(message) => return Ok(message),
            Step::More(_) => {
                if read_some(stream, input).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
    }
}
