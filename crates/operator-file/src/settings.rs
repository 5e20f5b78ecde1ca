//! What a file sets.

use crate::fault::{Fault, Faults, Source};
use crate::grammar::{Line, Word, lines};
use crate::keywords::{self, Effect, KEYWORDS};
use crate::sections::Sections;
use crate::{LONGEST, values};
use plover_model::time::{MILLI, Micros, SECOND};
use plover_routes::{RouteTable, SourceLocation};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    #[default]
    Logfmt,
    /// One JSON object a line.
    Json,
}

/// Least level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum LogLevel {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

/// How the log is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least level.
    pub level: LogLevel,
}

/// The HTTP/2 front. What is left out is derived from the limits of the platform's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Http2 {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Most connections.
    pub connections: Option<usize>,
    /// Most streams of a connection.
    pub streams: Option<u32>,
    /// Window of a connection, in bytes.
    pub connection_window: Option<u32>,
    /// Longest header list, in bytes as RFC 9113 section 6.5.2 counts them.
    pub header_list: Option<u32>,
}

/// The control service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Where proxies connect.
    pub listen: SocketAddr,
    /// Name of the listener and routes that they are told.
    pub name: String,
    /// Instances that run side by side.
    pub instances: u32,
    /// Which of them this is, from 0.
    pub instance: u32,
    /// Where the others listen that this one may talk with.
    pub peers: Vec<SocketAddr>,
    /// Most streams.
    pub streams: usize,
    /// Cores of the smallest data server.
    pub cores: u32,
    /// Work of a request of the largest class.
    pub request_work: Micros,
    /// A proxy without word forgets cold servers after it.
    pub time_to_live: Micros,
    /// The longest that a proxy stands still and then goes on.
    pub longest_pause: Micros,
    /// A proxy without word forgets warm servers too after it; `None`: it keeps them.
    pub cut_off: Option<Micros>,
    /// Time between pings.
    pub ping: Micros,
}

/// How a broker comes back beside others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ComeBack {
    /// Brokers of the fleet, itself included.
    pub fleet: usize,
    /// Calls for the whole list a second, of all of them.
    pub lists: u32,
    /// How long discovery is waited for while a list is remembered.
    pub ask: Micros,
    /// The time over which they begin to serve.
    pub spread: Micros,
    /// After it, without a bad end, all queries are let in.
    pub part: Micros,
}

/// What a file sets; the default is what holds without one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// The log.
    pub log: Log,
    /// The HTTP/2 front, if it is to be there.
    pub http2: Option<Http2>,
    /// How it comes back; `None`: it serves at once.
    pub come_back: Option<ComeBack>,
    /// The control service, if this file is for one.
    pub control: Option<Control>,
    /// Longest wait for parts that could share a call; `None`: a tick of the settings.
    pub gather: Option<Micros>,
    /// What is set by class and route.
    pub table: RouteTable,
    /// The sections' words, a line each.
    sections: Vec<String>,
    /// The arguments as they stand in the file, by keyword.
    given: BTreeMap<&'static str, String>,
}

/// What differs between two files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Keywords whose change takes effect with the new file.
    pub now: Vec<&'static str>,
    /// Keywords whose change waits for a restart.
    pub restart: Vec<&'static str>,
}

impl Settings {
    /// What changes from this file to a new one.
    pub fn changes(&self, new: &Settings) -> Changes {
        let mut changes = Changes::default();
        for k in KEYWORDS.iter().filter(|k| self.given.get(k.name) != new.given.get(k.name)) {
            match k.effect {
                Effect::AtOnce | Effect::NewConnections => changes.now.push(k.name),
                Effect::Restart => changes.restart.push(k.name),
            }
        }
        if self.sections != new.sections {
            changes.now.push("sections");
        }
        changes
    }

    /// The settings that hold after `new` was read by a running program: what waits for a restart stays.
    pub fn adopt(&self, new: &Settings) -> Settings {
        let http2 = match (self.http2, new.http2) {
            (Some(old), Some(new)) => Some(Http2 { listen: old.listen, connections: old.connections, ..new }),
            // Opening or closing a front takes a restart.
            (old, _) => old,
        };
        let mut given = new.given.clone();
        for k in KEYWORDS.iter().filter(|k| k.effect == Effect::Restart) {
            // As long as they differ, each reading tells.
            match self.given.get(k.name) {
                Some(old) => given.insert(k.name, old.clone()),
                None => given.remove(k.name),
            };
        }
        // The control service reads its file at its start alone.
        Settings { http2, given, control: self.control.clone(), come_back: self.come_back, ..new.clone() }
    }
}

/// Reads a file's text; `name` is what faults call the file.
pub fn read(name: &str, text: &str) -> Result<Settings, Faults> {
    let source = Source::new(name, text);
    if text.len() > LONGEST {
        let what = format!("the file holds {} bytes", text.len());
        return Err(Faults(vec![source.fault(&(0..0), what, format!("expected {LONGEST} at most"))]));
    }
    let (faults, taken) = (Vec::new(), BTreeMap::new());
    let mut reading = Reading { source, faults, taken, sections: Sections::default() };
    for line in lines(text) {
        reading.line(line);
    }
    let settings = reading.settings();
    let mut faults = reading.faults;
    if faults.is_empty() {
        return Ok(settings);
    }
    faults.sort_by_key(|f| f.span.start);
    Err(Faults(faults))
}

pub(crate) struct Reading<'a> {
    source: Source<'a>,
    faults: Vec<Fault>,
    /// The first line of each keyword.
    taken: BTreeMap<&'static str, (Word, Word)>,
    pub(crate) sections: Sections,
}

impl Reading<'_> {
    /// The line of a word.
    pub(crate) fn place(&self, word: &Word) -> SourceLocation {
        SourceLocation { span: word.span.clone(), line: self.source.place(word.span.start).0 }
    }

    pub(crate) fn fault(&mut self, word: &Word, what: String, expected: impl Into<String>) {
        let fault = self.source.fault(&word.span, what, expected);
        self.faults.push(fault);
    }

    fn line(&mut self, line: Line) {
        let Some(line) = self.section_line(line) else { return };
        let name = &line.keyword.text;
        let Some(k) = keywords::find(name) else {
            let nearest = keywords::nearest(name).map_or(String::new(), |n| format!("did you mean {n}?"));
            return self.fault(&line.keyword, format!("unknown keyword {}", shown(name)), nearest);
        };
        if let Some((first, _)) = self.taken.get(k.name) {
            let (first, _) = self.source.place(first.span.start);
            return self.fault(
                &line.keyword,
                format!("{name} is given twice"),
                format!("it stands on line {first}"),
            );
        }
        let mut arguments = line.arguments.into_iter();
        match (arguments.next(), arguments.next()) {
            (None, _) => self.fault(
                &line.keyword,
                format!("{name} lacks its argument"),
                format!("expected {}", k.takes),
            ),
            (Some(argument), None) => {
                self.taken.insert(k.name, (line.keyword, argument));
            }
            (_, Some(surplus)) => {
                let what = format!("{} is one too many for {name}", shown(&surplus.text));
                self.fault(&surplus, what, format!("expected {} and no more", k.takes));
            }
        }
    }

    /// The typed value of a keyword's argument, if that is given and right.
    fn value<T>(&mut self, name: &str, read: impl Fn(&str) -> Result<T, String>) -> Option<T> {
        let (_, argument) = self.taken.get(name)?.clone();
        match read(&argument.text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.fault(
                    &argument,
                    format!("{} is no argument for {name}", shown(&argument.text)),
                    expected,
                );
                None
            }
        }
    }

    fn settings(&mut self) -> Settings {
        let formats = [("logfmt", LogFormat::Logfmt), ("json", LogFormat::Json)];
        let levels = [
            ("error", LogLevel::Error),
            ("warn", LogLevel::Warn),
            ("info", LogLevel::Info),
            ("debug", LogLevel::Debug),
            ("trace", LogLevel::Trace),
        ];
        let log = Log {
            format: self.value("log-format", |w| values::choice(w, &formats)).unwrap_or_default(),
            level: self.value("log-level", |w| values::choice(w, &levels)).unwrap_or_default(),
        };
        let gather = self.value("gather-time", |w| values::span(w, &(0..=50 * MILLI)));
        let listen = self.value("listen-http2", values::address);
        let connections = self.value("http2-connections", |w| values::whole(w, &(1..=65_536)));
        let streams = self.value("http2-streams", |w| values::whole(w, &(1..=65_536)));
        let connection_window =
            self.value("http2-connection-window", |w| values::size(w, &(64 << 10..=64 << 20)));
        let header_list = self.value("http2-header-list", |w| values::size(w, &(1 << 10..=64 << 10)));
        let control = self.control();
        let come_back = self.come_back();
        self.contradictions();
        let http2 = listen.map(|listen| Http2 {
            listen,
            connections: connections.map(|n| n as usize),
            streams: streams.map(|n| n as u32),
            connection_window: connection_window.map(|n| n as u32),
            header_list: header_list.map(|n| n as u32),
        });
        let given = self.taken.iter().map(|(name, (_, argument))| (*name, argument.text.clone())).collect();
        let (table, sections) = std::mem::take(&mut self.sections).end();
        Settings { log, http2, come_back, control, gather, table, sections, given }
    }

    fn come_back(&mut self) -> Option<ComeBack> {
        let fleet = self.value("come-back-fleet", |w| values::whole(w, &(2..=4096)));
        let lists = self.value("come-back-lists", |w| values::whole(w, &(1..=100_000))).unwrap_or(100);
        let span = |least| least..=600 * SECOND;
        let ask = self.value("come-back-ask", |w| values::span(w, &span(100 * MILLI))).unwrap_or(5 * SECOND);
        let spread = self.value("come-back-spread", |w| values::span(w, &span(0))).unwrap_or(SECOND);
        let part =
            self.value("come-back-part", |w| values::span(w, &span(100 * MILLI))).unwrap_or(10 * SECOND);
        let fleet = fleet?;
        // Else most would go by what they remember, however well discovery is.
        let takes = SECOND * fleet / lists;
        if let Some((word, _)) = self.taken.get("come-back-fleet").cloned().filter(|_| ask <= takes) {
            let what =
                format!("{fleet} brokers take {takes}us to ask for the list at {lists} calls a second");
            let holds = SECOND * fleet / ask + 1;
            let expected = format!("expected come-back-ask to be longer, or come-back-lists {holds} or more");
            self.fault(&word, what, expected);
        }
        Some(ComeBack { fleet: fleet as usize, lists: lists as u32, ask, spread, part })
    }

    fn control(&mut self) -> Option<Control> {
        let listen = self.value("control-listen", values::address);
        let name = self.value("control-name", values::name);
        let instances =
            self.value("control-instances", |w| values::whole(w, &(1..=1024))).unwrap_or(1) as u32;
        let instance = self.value("control-instance", |w| values::whole(w, &(0..=1023))).unwrap_or(0) as u32;
        let peers =
            self.value("control-peers", |w| w.split(',').map(values::address).collect::<Result<Vec<_>, _>>());
        let streams = self.value("control-streams", |w| values::whole(w, &(1..=65_536)));
        let cores = self.value("control-server-cores", |w| values::whole(w, &(1..=1024)));
        let work = self.value("control-request-work", |w| values::span(w, &(MILLI..=10 * SECOND)));
        let time_to_live = self.value("control-time-to-live", |w| values::span(w, &(SECOND..=60 * SECOND)));
        let pause = self.value("control-longest-pause", |w| values::span(w, &(0..=60 * SECOND)));
        let cut_off = self.value("control-cut-off", |w| match w {
            "never" => Ok(None),
            w => values::span(w, &(SECOND..=600 * SECOND)).map(Some),
        });
        let ping = self.value("control-ping", |w| values::span(w, &(100 * MILLI..=600 * SECOND)));
        if let Some((_, word)) = self.taken.get("control-instance").cloned().filter(|_| instance >= instances)
        {
            let what = format!("there is no instance {instance}: they are counted from 0");
            self.fault(&word, what, format!("expected less than control-instances, {instances}"));
        }
        Some(Control {
            listen: listen?,
            name: name.unwrap_or_else(|| "ploverport".to_owned()),
            instances,
            instance,
            peers: peers.unwrap_or_default(),
            streams: streams.unwrap_or(4096) as usize,
            cores: cores.unwrap_or(2) as u32,
            request_work: work.unwrap_or(126 * MILLI),
            time_to_live: time_to_live.unwrap_or(2 * SECOND),
            longest_pause: pause.unwrap_or(10 * SECOND),
            cut_off: cut_off.flatten(),
            ping: ping.unwrap_or(10 * SECOND),
        })
    }

    /// What is right by itself and wrong beside the rest.
    fn contradictions(&mut self) {
        for k in KEYWORDS {
            if let (Some(needs), Some((word, _))) = (k.needs, self.taken.get(k.name).cloned())
                && !self.taken.contains_key(needs)
            {
                let what = format!("{} says something of what is not there", k.name);
                self.fault(&word, what, format!("it needs {needs}"));
            }
        }
    }
}

/// A word from the file as it may stand in a line of a log.
pub(crate) fn shown(word: &str) -> String {
    let short: String = word.chars().take(64).collect();
    let plain = short.chars().all(|c| c.is_ascii_graphic() && c != '"');
    if plain && !short.is_empty() { short } else { format!("{short:?}") }
}
