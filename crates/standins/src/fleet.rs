//! A discovery and some data servers, on a thread of their own.

use crate::books::Books;
use crate::command::{CommandSender, commands};
use crate::discovery::Discovery;
use crate::server::{Fault, Server, Switch, accept};
use crate::view::{Shown, Sight, View};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Data servers; they take their places in the cells by turns.
    pub servers: usize,
    /// Cells, each of which holds shards of its own.
    pub cells: usize,
    /// How long a part takes.
    pub work: Duration,
    /// After a start a server is warm after this time.
    pub warm_after: Duration,
    /// Whether answers carry a load report.
    pub reports: bool,
    /// Parts that a server works on at once; others wait. 0: all.
    pub cores: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            servers: 4,
            cells: 1,
            work: Duration::from_millis(2),
            warm_after: Duration::from_secs(10),
            reports: true,
            cores: 0,
        }
    }
}

/// What the thread is told to do.
enum Command {
    /// Entries of the list that change in one version, and servers that begin.
    Change(Vec<(usize, &'static str)>, Vec<Joins>),
    Silent(bool),
    Asked(std::sync::mpsc::Sender<Vec<Instant>>),
    Kill(usize),
    Revive(usize),
    View(TcpListener, Arc<Shown>),
    LookAgain,
}

/// A server that begins.
struct Joins {
    number: usize,
    cell: usize,
    handle: ServerHandle,
    listener: TcpListener,
}

/// What changes in the list at once, in one version.
#[derive(Clone, Debug, Default)]
pub struct Change {
    /// These servers drain.
    pub drain: Vec<usize>,
    /// These are gone: the list says so, and their processes end.
    pub leave: Vec<usize>,
    /// New ones serve in these cells, warm from the start, under names and at addresses of their own.
    pub join: Vec<usize>,
}

/// A discovery and some data servers. Dropped, all of them end.
pub struct Fleet {
    /// Where discovery listens.
    pub discovery: SocketAddr,
    servers: Vec<ServerHandle>,
    /// How long a part takes where a server joins.
    work: Duration,
    books: Arc<Mutex<Books>>,
    commands: CommandSender<Command>,
    known: Value,
    thread: Option<JoinHandle<()>>,
}

/// One data server, as seen from outside.
#[derive(Clone)]
pub struct ServerHandle {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    switch: Arc<Mutex<Switch>>,
}

struct Running {
    server: Rc<Server>,
    cell: usize,
    address: SocketAddr,
    listening: Option<Task<()>>,
    boot_ms: u128,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

impl Running {
    fn begin(
        joins: Joins,
        books: &Arc<Mutex<Books>>,
        plan: Plan,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Running {
        let Joins { cell, handle, listener, .. } = joins;
        let server = Rc::new(Server {
            name: handle.name,
            switch: handle.switch,
            books: books.clone(),
            held: Cell::new(0),
            reports: plan.reports,
            count: Cell::new(0),
            cores: RefCell::new(vec![Instant::now(); plan.cores]),
            alive: RefCell::new(async_channel::bounded(1)),
        });
        let listening = Some(executor.spawn(accept(server.clone(), listener, executor.clone())));
        Running { server, cell, address: handle.address, listening, boot_ms: 0 }
    }

    /// Ends its process.
    async fn end(&mut self) {
        if let Some(task) = self.listening.take() {
            task.cancel().await;
        }
        *self.server.alive.borrow_mut() = async_channel::bounded(1);
    }

    fn entry(&self, state: &str) -> Value {
        json!({"uid": self.server.name, "endpoint": self.address.to_string(), "az": "z", "model": "m",
            "pod_group": self.cell, "state": state, "capacity_hint": 1.0, "boot_ms": self.boot_ms as u64})
    }
}

impl Fleet {
    /// Starts all of it on loopback.
    pub fn start(plan: Plan) -> io::Result<Fleet> {
        let loopback = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let books = Arc::new(Mutex::new(Books::default()));
        let discovery_listener = loopback()?;
        let discovery = discovery_listener.local_addr()?;
        let listeners: Vec<TcpListener> = (0..plan.servers).map(|_| loopback()).collect::<io::Result<_>>()?;
        let mut servers = Vec::new();
        for (n, listener) in listeners.iter().enumerate() {
            let switch = Arc::new(Mutex::new(Switch { work: plan.work, ..Switch::default() }));
            servers.push(ServerHandle { name: format!("s{n}"), address: listener.local_addr()?, switch });
        }
        let (sender, receiver) = commands();
        let (ready, started) = std::sync::mpsc::channel();
        let (handles, shared_books) = (servers.clone(), books.clone());
        let thread = std::thread::Builder::new().name("stand-ins".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let list = Discovery::new();
            let mut running: BTreeMap<usize, Running> = BTreeMap::new();
            for (n, (handle, listener)) in handles.into_iter().zip(listeners).enumerate() {
                let joins = Joins { number: n, cell: n % plan.cells.max(1), handle, listener };
                let one = Running::begin(joins, &shared_books, plan, &executor);
                list.set(one.entry("active"));
                running.insert(n, one);
            }
            list.keep_first();
            let _ = ready.send(list.list(None));
            let serve = serve_discovery(list.clone(), discovery_listener, Arc::default(), executor.clone());
            let discovery = executor.spawn(serve);
            async_io::block_on(executor.run(async {
                let mut views = Vec::new();
                while let Some((command, acknowledgement)) = receiver.next().await {
                    execute(command, &mut running, &mut views, &list, &executor, &shared_books, plan).await;
                    acknowledgement.send();
                }
                // Whoever accepts holds the executor, and that its tasks: with one left all sockets would stay open.
                for one in running.values_mut() {
                    one.end().await;
                }
                for task in views.into_iter().chain([discovery]) {
                    task.cancel().await;
                }
            }));
        })?;
        let known = started.recv().map_err(io::Error::other)?;
        Ok(Fleet {
            discovery,
            servers,
            work: plan.work,
            books,
            commands: sender,
            known,
            thread: Some(thread),
        })
    }

    /// The data servers.
    pub fn servers(&self) -> &[ServerHandle] {
        &self.servers
    }

    /// The list as it was at the start, in discovery's form.
    pub fn known(&self) -> &Value {
        &self.known
    }

    /// What came to the data servers.
    pub fn books<T>(&self, read: impl FnOnce(&Books) -> T) -> T {
        // A thread that broke while it held them has said so itself.
        let books = self.books.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        read(&books)
    }

    /// Parts and calls that came to the data servers.
    pub fn attempts(&self) -> (u64, u64) {
        self.books(Books::counts)
    }

    /// Tells that a server drains.
    pub fn drain(&self, n: usize) {
        self.servers[n].with(|s| s.drained = Some(Instant::now()));
        self.commands.execute(Command::Change(vec![(n, "leaving")], Vec::new()));
    }

    /// Changes the list in one version; the numbers of the servers that join are told.
    pub fn change(&mut self, change: Change) -> io::Result<Vec<usize>> {
        let mut states: Vec<(usize, &'static str)> = Vec::new();
        for n in change.drain {
            self.servers[n].with(|s| s.drained = Some(Instant::now()));
            states.push((n, "leaving"));
        }
        for n in change.leave {
            self.servers[n].with(|s| s.fault = Fault::Dead);
            states.push((n, "left"));
        }
        let mut joins = Vec::new();
        for cell in change.join {
            let number = self.servers.len();
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            let switch = Arc::new(Mutex::new(Switch { work: self.work, ..Switch::default() }));
            let handle = ServerHandle { name: format!("s{number}"), address: listener.local_addr()?, switch };
            self.servers.push(handle.clone());
            joins.push(Joins { number, cell, handle, listener });
        }
        let numbers = joins.iter().map(|j| j.number).collect();
        self.commands.execute(Command::Change(states, joins));
        Ok(numbers)
    }

    /// Ends a server's process: its connections are reset and new ones refused. The list knows nothing of it.
    pub fn kill(&self, n: usize) {
        self.servers[n].with(|s| s.fault = Fault::Dead);
        self.commands.execute(Command::Kill(n));
    }

    /// Starts a dead server again: cold, and told so by the list.
    pub fn revive(&self, n: usize) {
        self.commands.execute(Command::Revive(n));
    }

    /// When discovery was asked for the whole list.
    pub fn lists_asked(&self) -> Vec<Instant> {
        let (answer, asked) = std::sync::mpsc::channel();
        self.commands.execute(Command::Asked(answer));
        asked.recv().unwrap_or_default()
    }

    /// One broker's discovery, which tells the servers of these names at these addresses.
    pub fn view(&self, endpoints: BTreeMap<String, SocketAddr>) -> io::Result<View> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let shown = Arc::new(Shown::new(endpoints));
        self.commands.execute(Command::View(listener, shown.clone()));
        Ok(View { address, shown })
    }

    /// What a broker sees of the list from now on.
    pub fn show(&self, view: &View, sight: Sight) {
        view.shown.set_sight(sight);
        self.commands.execute(Command::LookAgain);
    }

    /// Whether discovery takes calls and answers none.
    pub fn silence_discovery(&self, silent: bool) {
        self.commands.execute(Command::Silent(silent));
    }
}

impl ServerHandle {
    fn with(&self, change: impl FnOnce(&mut Switch)) {
        if let Ok(mut switch) = self.switch.lock() {
            change(&mut switch);
        }
    }

    /// Makes it faulty, or sound again; for its death see [`Fleet::kill`].
    pub fn set_fault(&self, fault: Fault) {
        self.with(|s| s.fault = fault);
    }

    /// How long a part takes from now on.
    pub fn set_work(&self, work: Duration) {
        self.with(|s| s.work = work);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.commands.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn execute(
    command: Command,
    running: &mut BTreeMap<usize, Running>,
    views: &mut Vec<Task<()>>,
    list: &Rc<Discovery>,
    executor: &Rc<LocalExecutor<'static>>,
    books: &Arc<Mutex<Books>>,
    plan: Plan,
) {
    match command {
        Command::Silent(silent) => list.set_silent(silent),
        Command::Asked(answer) => {
            // Who asked may have gone.
            let _ = answer.send(list.asked());
        }
        Command::Change(states, joins) => {
            let mut entries = Vec::new();
            for (n, state) in states {
                let Some(one) = running.get_mut(&n) else { continue };
                entries.push(one.entry(state));
                if state == "left" {
                    one.end().await;
                }
            }
            for joins in joins {
                let number = joins.number;
                let one = Running::begin(joins, books, plan, executor);
                entries.push(one.entry("active"));
                running.insert(number, one);
            }
            list.set_all(entries);
        }
        Command::View(listener, shown) => {
            views.push(executor.spawn(serve_discovery(list.clone(), listener, shown, executor.clone())));
        }
        Command::LookAgain => list.look_again(),
        Command::Kill(n) => {
            if let Some(one) = running.get_mut(&n) {
                one.end().await;
            }
        }
        Command::Revive(n) => {
            let Some(one) = running.get_mut(&n) else { return };
            if one.listening.is_some() {
                return;
            }
            // The address is its own: what still holds it is its connections of before, on their way out.
            let Ok(listener) = TcpListener::bind(one.address) else { return };
            one.boot_ms = unix_ms();
            if let Ok(mut switch) = one.server.switch.lock() {
                switch.fault = Fault::None;
                switch.cold = Some((Instant::now(), plan.warm_after));
                switch.drained = None;
            }
            one.listening = Some(executor.spawn(accept(one.server.clone(), listener, executor.clone())));
            list.set(one.entry("active"));
        }
    }
}

async fn serve_discovery(
    list: Rc<Discovery>,
    listener: TcpListener,
    shown: Arc<Shown>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let Ok(listener) = Async::new(listener) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        executor.spawn(list.clone().connection(stream, shown.clone())).detach();
    }
}
