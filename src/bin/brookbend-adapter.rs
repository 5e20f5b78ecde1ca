//! Carries the bench's wire (one JSON value a line) to the module's interface and back. It decides nothing.
#![forbid(unsafe_code)]

use brookbend::Aggregator;
use brookbend::api::*;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

type Fields = Map<String, Value>;

/// One message, with what an error about it has to name.
struct Message<'a> {
    name: &'a str,
    fields: &'a Fields,
}

impl Message<'_> {
    fn bad<T>(&self, field: &str, what: &str) -> Result<T, String> {
        Err(format!("{}: field {field} {what}", self.name))
    }
    fn get(&self, field: &str) -> Option<&Value> {
        self.fields.get(field).filter(|v| !v.is_null())
    }
    fn opt_number(&self, field: &str) -> Result<Option<f64>, String> {
        match self.get(field) {
            None => Ok(None),
            Some(v) => match v.as_f64() {
                Some(n) => Ok(Some(n)),
                None => self.bad(field, "is not a number"),
            },
        }
    }
    fn number(&self, field: &str) -> Result<f64, String> {
        match self.opt_number(field)? {
            Some(n) => Ok(n),
            None => self.bad(field, "is missing"),
        }
    }
    fn opt_whole(&self, field: &str) -> Result<Option<u64>, String> {
        match self.get(field) {
            None => Ok(None),
            Some(v) => match v.as_u64().or_else(|| whole(v.as_f64())) {
                Some(n) => Ok(Some(n)),
                None => self.bad(field, "is not a whole number"),
            },
        }
    }
    fn whole(&self, field: &str) -> Result<u64, String> {
        match self.opt_whole(field)? {
            Some(n) => Ok(n),
            None => self.bad(field, "is missing"),
        }
    }
    fn text(&self, field: &str) -> Result<&str, String> {
        match self.get(field) {
            None => self.bad(field, "is missing"),
            Some(v) => match v.as_str() {
                Some(s) => Ok(s),
                None => self.bad(field, "is not a string"),
            },
        }
    }
    fn flag(&self, field: &str) -> Result<bool, String> {
        match self.get(field) {
            None => Ok(false),
            Some(v) => match v.as_bool() {
                Some(b) => Ok(b),
                None => self.bad(field, "is not true or false"),
            },
        }
    }
    fn list(&self, field: &str) -> Result<&Vec<Value>, String> {
        match self.get(field) {
            None => self.bad(field, "is missing"),
            Some(v) => match v.as_array() {
                Some(a) => Ok(a),
                None => self.bad(field, "is not a list"),
            },
        }
    }
    fn numbers(&self, field: &str) -> Result<Vec<f64>, String> {
        let list = self.list(field)?;
        let numbers: Vec<f64> = list.iter().filter_map(Value::as_f64).collect();
        if numbers.len() == list.len() { Ok(numbers) } else { self.bad(field, "is not a list of numbers") }
    }
    /// An object inside this one.
    fn inner<'b>(&'b self, field: &'b str) -> Result<Message<'b>, String> {
        match self.get(field) {
            None => self.bad(field, "is missing"),
            Some(v) => match v.as_object() {
                Some(fields) => Ok(Message { name: field, fields }),
                None => self.bad(field, "is not an object"),
            },
        }
    }
    /// The objects of a list inside this one.
    fn objects<'b>(&'b self, field: &'b str) -> Result<Vec<Message<'b>>, String> {
        let mut objects = Vec::new();
        for v in self.list(field)? {
            match v.as_object() {
                Some(fields) => objects.push(Message { name: field, fields }),
                None => return self.bad(field, "holds something that is not an object"),
            }
        }
        Ok(objects)
    }
    fn request(&self) -> Result<RequestId, String> {
        Ok(RequestId(self.text("OpId")?.into()))
    }
}

fn whole(n: Option<f64>) -> Option<u64> {
    n.filter(|n| n.fract() == 0.0 && *n >= 0.0 && *n < 9.3e18).map(|n| n as u64)
}

fn nth(list: &[f64], index: usize, m: &Message, field: &str) -> Result<f64, String> {
    match list.get(index) {
        Some(n) => Ok(*n),
        None => m.bad(field, "has too few entries"),
    }
}

fn classes(env: &Message, family: &Message) -> Result<Vec<Class>, String> {
    let need = family.numbers("ClassNeed")?;
    let floor = family.numbers("MinShare")?;
    let earns = family.numbers("PartialEarns")?;
    let fetch = family.numbers("FetchParts")?;
    let mut classes = Vec::new();
    for (i, c) in env.objects("Services")?.iter().enumerate() {
        let semantics = match c.text("Semantics")? {
            "repeatable" => Semantics::Safe,
            "by_key" => Semantics::Keyed { window: c.number("MemorySpan")? },
            "once" => Semantics::Unsafe,
            _ => return c.bad("Semantics", "is unknown"),
        };
        classes.push(Class {
            aim: c.number("Aim")?,
            give_up: c.number("GiveUp")?,
            worth: c.number("Gain")?,
            late_worth: c.number("LateWorth")?,
            semantics,
            need: nth(&need, i, family, "ClassNeed")?,
            floor: nth(&floor, i, family, "MinShare")?,
            partial_earns: nth(&earns, i, family, "PartialEarns")?,
            second_step: nth(&fetch, i, family, "FetchParts")? > 0.0,
        });
    }
    Ok(classes)
}

fn settings(env: &Message) -> Result<Settings, String> {
    let family = env.inner("FamilyInfo")?;
    let allowed = env.inner("Allowed")?;
    let rules = env.inner("Rules")?;
    let mut tenants = Vec::new();
    if env.get("Projects").is_some() {
        for t in env.objects("Projects")? {
            tenants.push(Tenant { quota_per_s: t.number("QuotaPerS")? });
        }
    }
    let budget = match (
        rules.opt_number("SpareAttempts")?,
        rules.opt_number("ExtraRatio")?,
        rules.opt_number("RatioSpan")?,
    ) {
        (None, None, None) => None,
        (spare, per_request, Some(span)) => {
            Some(AttemptBudget { spare: spare.unwrap_or(0.0), per_request: per_request.unwrap_or(0.0), span })
        }
        _ => return rules.bad("RatioSpan", "is missing"),
    };
    let list = match env.text("MembershipMode")? {
        "pushed" => ListSource::Pushed,
        "on_request" => ListSource::OnRequest,
        _ => return env.bad("MembershipMode", "is unknown"),
    };
    Ok(Settings {
        classes: classes(env, &family)?,
        tenants,
        aggregators: env.whole("PeersTotal")? as usize,
        over_share_worth: env.opt_number("OverShareWorth")?.unwrap_or(1.0),
        worth_by_work: env.get("WorthBy").and_then(Value::as_str) == Some("work"),
        marks_again: match env.get("Clients") {
            Some(_) => env.inner("Clients")?.flag("MarksRetry")?,
            None => false,
        },
        cells: family.whole("Positions")? as usize,
        reach: family.whole("Width")? as usize,
        shards: family.whole("Shards")? as usize,
        batch: family.whole("Batch")? as usize,
        call_work: family.number("Call")?,
        max_attempts: allowed.whole("SendCap")? as u32,
        second_copies: allowed.flag("SecondCopies")?,
        cancel: allowed.flag("Cancel")?,
        max_retry_after: if allowed.flag("RetryAfter")? {
            allowed.opt_number("MaxRetryAfter")?
        } else {
            None
        },
        messages: allowed.flag("Peers")?,
        tick: env.number("Tick")?,
        list,
        ask_within: rules.opt_number("AskWithin")?.unwrap_or(f64::INFINITY),
        budget,
        cold: ColdRule {
            from: rules.number("ColdFrom")?,
            warm_after: rules.number("Cold")?,
            fall_multiple: rules.number("FallMultiple")?,
            fall_after: rules.number("Fall")?,
        },
    })
}

fn members(m: &Message) -> Result<Vec<Member>, String> {
    let mut members = Vec::new();
    for e in m.objects("MembersList")? {
        let state = match e.text("Mode")? {
            "in_service" => NodeState::Serving,
            "terminating" => NodeState::Draining,
            "terminated" => NodeState::Gone,
            _ => return e.bad("Mode", "is unknown"),
        };
        members.push(Member {
            node: NodeId(e.text("Node")?.into()),
            cell: e.opt_whole("Position")?.unwrap_or(0) as usize,
            state,
            zone: e.opt_whole("Dc")?.map(|z| z as usize),
            started: e.opt_number("StartTime")?.filter(|t| *t > 0.0),
        });
    }
    Ok(members)
}

fn order(m: &Message, classes: usize) -> Result<Event, String> {
    let class = m.whole("Service")? as usize;
    if class >= classes {
        return m.bad("Service", "names no class");
    }
    let shard = m.number("Slice")?;
    let group = m.whole("GroupNo")?;
    if shard < 0.0 {
        return Ok(Event::Query(Query {
            id: m.request()?,
            group,
            class: ClassIndex(class),
            tenant: TenantIndex(m.opt_whole("Team")?.unwrap_or(0) as usize),
            give_up_at: m.number("GiveUpAt")?,
            again: m.flag("AgainByClient")?,
        }));
    }
    Ok(Event::Part(Part {
        id: m.request()?,
        group,
        shard: m.whole("Slice")? as usize,
        weight: m.number("Measure")?,
        work_hint: m.opt_number("Effort")?,
    }))
}

/// The bytes of hex digits; none if they are not: such a message is dropped.
fn bytes(hex: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = hex.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    Some(digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}

/// Requests held by a server as its load report has it; a report that is odd is as none.
fn held(m: &Message) -> Option<f64> {
    let report = m.get("Gauge")?.as_object()?;
    report.get("rif").or_else(|| report.get("q"))?.as_f64().filter(|n| *n >= 0.0)
}

fn outcome(m: &Message) -> Result<Outcome, String> {
    Ok(match m.text("Rc")? {
        "served" => Outcome::Served,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::Full,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        _ => return m.bad("Rc", "is unknown"),
    })
}

fn action_line(instance: u64, action: &Action) -> Value {
    match action {
        Action::Send { part, node, within } => {
            json!({"t": "Issue", "I": instance, "OpId": &*part.0, "Within": within.unwrap_or(0.0), "Node": &*node.0})
        }
        Action::Cancel { part, attempt } => {
            json!({"t": "AbortAttempt", "I": instance, "OpId": &*part.0, "Hop": attempt})
        }
        Action::Answer { query, whole } => {
            json!({"t": "Answer", "I": instance, "OpId": &*query.0, "Full": whole})
        }
        Action::Refuse { query, retry_after } => {
            let back = retry_after.unwrap_or(0.0);
            json!({"t": "NotNow", "I": instance, "OpId": &*query.0, "ComeBack": back})
        }
        Action::Fail { query } => json!({"t": "FinishError", "I": instance, "OpId": &*query.0}),
        Action::Tell { bytes } => {
            let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
            json!({"t": "WritePeer", "I": instance, "Dst": "all", "Contents": hex})
        }
        Action::Watch => json!({"t": "KeepInformed", "I": instance, "Full": true}),
        Action::Wake { after } => json!({"t": "After", "I": instance, "Span": after, "Ref": 0}),
    }
}

/// An aggregator and the number of classes its settings named.
struct Instance {
    aggregator: Aggregator,
    classes: usize,
}

/// All that lives between two batches.
#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<Member>>,
    inbox: BTreeMap<u64, Vec<Event>>,
}

impl Adapter {
    fn hear(&mut self, m: &Message) -> Result<(), String> {
        if m.name == "Ledger" {
            self.lists.insert(m.whole("Slot")?, members(m)?);
            return Ok(());
        }
        let number = m.whole("I")?;
        if m.name == "Launch" {
            let settings = settings(&m.inner("Env")?)?;
            let classes = settings.classes.len();
            let aggregator = Aggregator::new(settings, m.whole("RngSeed")?);
            self.instances.insert(number, Instance { aggregator, classes });
            self.inbox.insert(number, Vec::new());
            return Ok(());
        }
        let Some(instance) = self.instances.get(&number) else {
            return m.bad("I", "names an instance that was never launched");
        };
        let event = match m.name {
            "Destroy" => {
                self.instances.remove(&number);
                self.inbox.remove(&number);
                return Ok(());
            }
            "PeersKnown" => {
                let kind = match m.text("Mode")? {
                    "diff" => ListKind::Changes,
                    "snapshot" => ListKind::Complete,
                    "disk" => ListKind::Disk,
                    "error" => ListKind::Error,
                    _ => return m.bad("Mode", "is unknown"),
                };
                let members = match kind {
                    ListKind::Error => Vec::new(),
                    _ => match self.lists.get(&m.whole("Slot")?) {
                        Some(members) => members.clone(),
                        None => return m.bad("Slot", "names a list that was never declared"),
                    },
                };
                Some(Event::List { kind, members })
            }
            "Order" => Some(order(m, instance.classes)?),
            "ReportBack" => Some(Event::Ended {
                part: m.request()?,
                attempt: m.whole("Hop")? as u32,
                outcome: outcome(m)?,
                elapsed: m.number("Rtt")?,
                load: held(m),
            }),
            "Dropped" => Some(Event::Gone(m.request()?)),
            "Memo" => bytes(m.text("Contents")?)
                .map(|bytes| m.whole("Who").map(|from| Event::Message { from: from as usize, bytes }))
                .transpose()?,
            "DeadlineHit" => m.whole("Ref").map(|_| Some(Event::Woken))?,
            // Not asked for, but part of the wire.
            "Begun" | "Probed" => None,
            _ => return Err(format!("{}: the message is unknown", m.name)),
        };
        self.inbox.entry(number).or_default().extend(event);
        Ok(())
    }

    fn reply(&mut self, now: Ms, batch: &Value, out: &mut impl Write) -> io::Result<()> {
        for (number, events) in std::mem::take(&mut self.inbox) {
            let Some(instance) = self.instances.get_mut(&number) else { continue };
            for action in instance.aggregator.on_batch(now, events) {
                writeln!(out, "{}", action_line(number, &action))?;
            }
        }
        writeln!(out, "{}", json!({"t": "End", "n": batch}))?;
        out.flush()
    }
}

/// Reads batches until the input ends. The error is the line to print.
fn serve(input: impl BufRead, mut out: impl Write) -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut open: Option<(Ms, Value)> = None;
    let mut last = Value::Null;
    for (at, line) in input.lines().enumerate() {
        let place = |batch: &Value| format!("line {}, batch {batch}", at + 1);
        let line = line.map_err(|e| format!("{}: cannot be read: {e}", place(&last)))?;
        if line.trim().is_empty() {
            continue;
        }
        let value: Value =
            serde_json::from_str(&line).map_err(|e| format!("{}: not JSON: {e}", place(&last)))?;
        let Some(fields) = value.as_object() else {
            return Err(format!("{}: the message is not an object", place(&last)));
        };
        let Some(name) = fields.get("t").and_then(Value::as_str) else {
            return Err(format!("{}: message: field t is missing or not a string", place(&last)));
        };
        let m = Message { name, fields };
        match name {
            "Tick" => {
                last = json!(m.whole("n").map_err(|e| format!("{}: {e}", place(&last)))?);
                let now = m.number("Moment").map_err(|e| format!("{}: {e}", place(&last)))?;
                if open.replace((now, last.clone())).is_some() {
                    return Err(format!("{}: Tick: the batch before is still open", place(&last)));
                }
            }
            "EofBatch" => {
                let Some((now, batch)) = open.take() else {
                    return Err(format!("{}: EofBatch: no batch is open", place(&last)));
                };
                adapter.reply(now, &batch, &mut out).map_err(|e| format!("{}: {e}", place(&last)))?;
            }
            _ if open.is_none() => return Err(format!("{}: {name}: no batch is open", place(&last))),
            _ => adapter.hear(&m).map_err(|e| format!("{}: {e}", place(&last)))?,
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("brookbend-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
