//! Carries the bench's wire (one JSON value a line) to the module's interface and back. It decides nothing.
#![forbid(unsafe_code)]

use brookbend::Aggregator;
use brookbend::api::*;
use brookbend::settings::{self, JsonObject};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn request(m: &JsonObject) -> Result<RequestId, String> {
    Ok(RequestId::named(m.text("OpId")?))
}

fn members(m: &JsonObject) -> Result<Vec<Member>, String> {
    let mut members = Vec::new();
    for e in m.objects("MembersList")? {
        let state = match e.text("Mode")? {
            "in_service" => NodeState::Serving,
            "terminating" => NodeState::Draining,
            "terminated" => NodeState::Gone,
            _ => return e.invalid("Mode", "is unknown"),
        };
        members.push(Member {
            node: NodeId(e.text("Node")?.into()),
            cell: e.opt_integer("Position")?.unwrap_or(0) as usize,
            state,
            zone: e.opt_integer("Dc")?.map(|z| z as usize),
            started: e.opt_number("StartTime")?.filter(|t| *t > 0.0),
        });
    }
    Ok(members)
}

fn order(m: &JsonObject, classes: usize) -> Result<Event, String> {
    let class = m.integer("Service")? as usize;
    if class >= classes {
        return m.invalid("Service", "names no class");
    }
    let shard = m.number("Slice")?;
    let group = m.integer("GroupNo")?;
    if shard < 0.0 {
        return Ok(Event::Query(Query {
            id: request(m)?,
            group,
            class: ClassIndex(class),
            tenant: TenantIndex(m.opt_integer("Team")?.unwrap_or(0) as usize),
            deadline: m.number("GiveUpAt")?,
            client_deadline: m.number("GiveUpAt")?,
            max_attempts: None,
            is_retry: m.flag("AgainByClient")?,
        }));
    }
    Ok(Event::Part(Part {
        id: request(m)?,
        group,
        shard: m.integer("Slice")? as usize,
        weight: m.number("Measure")?,
        work_hint: m.opt_number("Effort")?,
    }))
}

/// Requests held by a server as its load report has it; a report that is odd is as none.
fn held(m: &JsonObject) -> Option<f64> {
    let report = m.get("Gauge")?.as_object()?;
    report.get("rif").or_else(|| report.get("q"))?.as_f64().filter(|n| *n >= 0.0)
}

fn outcome(m: &JsonObject) -> Result<Outcome, String> {
    Ok(match m.text("Rc")? {
        "served" => Outcome::Served,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::Full,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        _ => return m.invalid("Rc", "is unknown"),
    })
}

fn action_line(instance: u64, action: &Action) -> Value {
    match action {
        Action::Send { part, node, timeout } => {
            json!({"t": "Issue", "I": instance, "OpId": part.to_string(), "Within": timeout.unwrap_or(0.0), "Node": &*node.0})
        }
        Action::Cancel { part, attempt } => {
            json!({"t": "AbortAttempt", "I": instance, "OpId": part.to_string(), "Hop": attempt})
        }
        Action::Answer { query, whole } => {
            json!({"t": "Answer", "I": instance, "OpId": query.to_string(), "Full": whole})
        }
        Action::Refuse { query, retry_after } => {
            let back = retry_after.unwrap_or(0.0);
            json!({"t": "NotNow", "I": instance, "OpId": query.to_string(), "ComeBack": back})
        }
        Action::Fail { query } => json!({"t": "FinishError", "I": instance, "OpId": query.to_string()}),
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
    fn hear(&mut self, m: &JsonObject) -> Result<(), String> {
        if m.name() == "Ledger" {
            self.lists.insert(m.integer("Slot")?, members(m)?);
            return Ok(());
        }
        let number = m.integer("I")?;
        if m.name() == "Launch" {
            let settings = settings::decode(&m.inner("Env")?)?.settings;
            let classes = settings.classes.len();
            let aggregator = Aggregator::new(settings, m.integer("RngSeed")?);
            self.instances.insert(number, Instance { aggregator, classes });
            self.inbox.insert(number, Vec::new());
            return Ok(());
        }
        let Some(instance) = self.instances.get(&number) else {
            return m.invalid("I", "names an instance that was never launched");
        };
        let event = match m.name() {
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
                    _ => return m.invalid("Mode", "is unknown"),
                };
                let members = match kind {
                    ListKind::Error => Vec::new(),
                    _ => match self.lists.get(&m.integer("Slot")?) {
                        Some(members) => members.clone(),
                        None => return m.invalid("Slot", "names a list that was never declared"),
                    },
                };
                Some(Event::List { kind, members })
            }
            "Order" => Some(order(m, instance.classes)?),
            "ReportBack" => Some(Event::Ended {
                part: request(m)?,
                attempt: m.integer("Hop")? as u32,
                outcome: outcome(m)?,
                elapsed: m.number("Rtt")?,
                load: held(m),
            }),
            "Dropped" => Some(Event::ClientGone(request(m)?)),
            "DeadlineHit" => m.integer("Ref").map(|_| Some(Event::Woken))?,
            // Not asked for, but part of the wire.
            "Begun" | "Probed" | "Memo" => None,
            _ => return Err(format!("{}: the message is unknown", m.name())),
        };
        self.inbox.entry(number).or_default().extend(event);
        Ok(())
    }

    fn reply(&mut self, now: Millis, batch: &Value, out: &mut impl Write) -> io::Result<()> {
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
    let mut open: Option<(Millis, Value)> = None;
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
        let m = JsonObject::new(name, fields);
        match name {
            "Tick" => {
                last = json!(m.integer("n").map_err(|e| format!("{}: {e}", place(&last)))?);
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
