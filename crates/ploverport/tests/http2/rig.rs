//! A broker with its stand-ins, and a thread's executor for its clients.

use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use h2::client::Builder;
use plover_load::{Answer, Ask, Http1, Http2};
use plover_standins::books::Rules;
use plover_standins::{Deployment, Fleet, Plan, Program, value};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

pub(crate) const BOUND: Duration = Duration::from_secs(30);
pub(crate) const OPERATOR: &str = "listen-http2 127.0.0.1:0\n";

pub(crate) struct Rig {
    pub(crate) program: Program,
    pub(crate) fleet: Fleet,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
}

/// With everything as it comes, but that parts take so long.
pub(crate) fn rig(work: Duration) -> Rig {
    rig_with(Plan { work, ..Plan::default() }, Deployment::default(), OPERATOR)
}

pub(crate) fn rig_with(plan: Plan, deployment: Deployment, operator: &str) -> Rig {
    let fleet = Fleet::start(plan).unwrap();
    let exe = Path::new(env!("CARGO_BIN_EXE_ploverport"));
    let program = Program::start(exe, deployment, &fleet, operator).unwrap();
    Rig { program, fleet, executor: Rc::new(LocalExecutor::new()) }
}

impl Rig {
    /// Runs clients to their end.
    pub(crate) fn run<T>(&self, clients: impl Future<Output = T>) -> T {
        let late = async {
            async_io::Timer::after(BOUND).await;
            panic!("the clients do not come to an end");
        };
        async_io::block_on(self.executor.run(clients.or(late)))
    }

    pub(crate) async fn connect(&self) -> Http2 {
        Http2::connect(self.program.http2.unwrap(), &self.executor).await.unwrap()
    }

    pub(crate) async fn connect_with(&self, builder: &Builder) -> Http2 {
        Http2::connect_with(self.program.http2.unwrap(), &self.executor, builder).await.unwrap()
    }

    pub(crate) async fn connect_http1(&self) -> Http1 {
        Http1::connect(self.program.http1).await.unwrap()
    }

    /// Waits until the data servers have seen so many attempts.
    pub(crate) async fn attempts(&self, n: usize) {
        while self.fleet.books(|b| b.attempts().len()) < n {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
    }

    /// What the data servers saw breaks no rule.
    pub(crate) fn check_books(&self) {
        let violations = self.fleet.books(|b| b.violations(Rules::default()));
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// The whole answer of a query for these shards.
pub(crate) fn whole(shards: &[usize]) -> Answer {
    Answer::Served(true, shards.iter().map(|s| (*s, value(*s, "c41e77d0"))).collect())
}

pub(crate) fn lookup(id: &str, shards: &[usize]) -> Ask {
    Ask::new(id, "lookup", shards)
}
