//! Translates between the bench's wire protocol, one JSON value per line, and the interface of the decision
//! module. It decides nothing itself.
#![forbid(unsafe_code)]

use brookbend::Aggregator;
use brookbend::api::*;
use brookbend::settings::{self, JsonObject};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

/// Reads the id of a query or part.
fn request_id(message: &JsonObject) -> Result<RequestId, String> {
    Ok(RequestId::named(message.text("OpId")?))
}

/// Reads the entries of a list of servers.
fn members(message: &JsonObject) -> Result<Vec<Member>, String> {
    let mut members = Vec::new();
    for entry in message.objects("MembersList")? {
        let state = match entry.text("Mode")? {
            "in_service" => NodeState::Serving,
            "terminating" => NodeState::Draining,
            "terminated" => NodeState::Gone,
            _ => return entry.invalid("Mode", "is unknown"),
        };
        members.push(Member {
            node: NodeId(entry.text("Node")?.into()),
            cell: entry.opt_integer("Position")?.unwrap_or(0) as usize,
            state,
            zone: entry.opt_integer("Dc")?.map(|z| z as usize),
            started: entry.opt_number("StartTime")?.filter(|t| *t > 0.0),
        });
    }
    Ok(members)
}

/// Reads the arrival of a query or, if it names a shard (`Slice` from 0 on), of a part.
fn arrival(message: &JsonObject, classes: usize) -> Result<Event, String> {
    let class = message.integer("Service")? as usize;
    if class >= classes {
        return message.invalid("Service", "names no class");
    }
    let shard = message.number("Slice")?;
    let group = message.integer("GroupNo")?;
    if shard < 0.0 {
        return Ok(Event::Query(Query {
            id: request_id(message)?,
            group,
            class: ClassIndex(class),
            tenant: TenantIndex(message.opt_integer("Team")?.unwrap_or(0) as usize),
            deadline: message.number("GiveUpAt")?,
            client_deadline: message.number("GiveUpAt")?,
            max_attempts: None,
            is_retry: message.flag("AgainByClient")?,
        }));
    }
    Ok(Event::Part(Part {
        id: request_id(message)?,
        group,
        shard: message.integer("Slice")? as usize,
        weight: message.number("Measure")?,
        work_hint: message.opt_number("Effort")?,
    }))
}

/// Number of requests that a server holds according to its load report; `None` if the report is absent or
/// malformed.
fn reported_requests(message: &JsonObject) -> Option<f64> {
    let report = message.get("Gauge")?.as_object()?;
    report.get("rif").or_else(|| report.get("q"))?.as_f64().filter(|n| *n >= 0.0)
}

/// Reads how an attempt ended.
fn outcome(message: &JsonObject) -> Result<Outcome, String> {
    Ok(match message.text("Rc")? {
        "served" => Outcome::Served,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::Full,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        _ => return message.invalid("Rc", "is unknown"),
    })
}

/// The message that carries out an action of an instance.
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
            let come_back = retry_after.unwrap_or(0.0);
            json!({"t": "NotNow", "I": instance, "OpId": query.to_string(), "ComeBack": come_back})
        }
        Action::Fail { query } => json!({"t": "FinishError", "I": instance, "OpId": query.to_string()}),
        Action::Watch => json!({"t": "KeepInformed", "I": instance, "Full": true}),
        Action::Wake { after } => json!({"t": "After", "I": instance, "Span": after, "Ref": 0}),
    }
}

/// One aggregator, and the number of classes in its settings.
struct Instance {
    aggregator: Aggregator,
    classes: usize,
}

/// State that is kept from one batch to the next.
#[derive(Default)]
struct Adapter {
    /// By the number that messages give in `I`.
    instances: BTreeMap<u64, Instance>,
    /// Declared lists of servers, by the number that messages give in `Slot`.
    lists: BTreeMap<u64, Vec<Member>>,
    /// By instance: the events of the open batch.
    inbox: BTreeMap<u64, Vec<Event>>,
}

impl Adapter {
    /// Applies a message of the open batch. The error names the faulty field.
    fn receive(&mut self, message: &JsonObject) -> Result<(), String> {
        if message.name() == "Ledger" {
            self.lists.insert(message.integer("Slot")?, members(message)?);
            return Ok(());
        }
        let number = message.integer("I")?;
        if message.name() == "Launch" {
            let settings = settings::decode(&message.inner("Env")?)?.settings;
            let classes = settings.classes.len();
            let aggregator = Aggregator::new(settings, message.integer("RngSeed")?);
            self.instances.insert(number, Instance { aggregator, classes });
            self.inbox.insert(number, Vec::new());
            return Ok(());
        }
        let Some(instance) = self.instances.get(&number) else {
            return message.invalid("I", "names an instance that was never launched");
        };
        let event = match message.name() {
            "Destroy" => {
                self.instances.remove(&number);
                self.inbox.remove(&number);
                return Ok(());
            }
            "PeersKnown" => {
                let kind = match message.text("Mode")? {
                    "diff" => ListKind::Changes,
                    "snapshot" => ListKind::Complete,
                    "disk" => ListKind::Disk,
                    "error" => ListKind::Error,
                    _ => return message.invalid("Mode", "is unknown"),
                };
                let members = match kind {
                    ListKind::Error => Vec::new(),
                    _ => match self.lists.get(&message.integer("Slot")?) {
                        Some(members) => members.clone(),
                        None => return message.invalid("Slot", "names a list that was never declared"),
                    },
                };
                Some(Event::List { kind, members })
            }
            "Order" => Some(arrival(message, instance.classes)?),
            "ReportBack" => Some(Event::Ended {
                part: request_id(message)?,
                attempt: message.integer("Hop")? as u32,
                outcome: outcome(message)?,
                elapsed: message.number("Rtt")?,
                load: reported_requests(message),
            }),
            "Dropped" => Some(Event::ClientGone(request_id(message)?)),
            "DeadlineHit" => message.integer("Ref").map(|_| Some(Event::Woken))?,
            // Part of the protocol, but of no use to the module.
            "Begun" | "Probed" | "Memo" => None,
            _ => return Err(format!("{}: the message is unknown", message.name())),
        };
        self.inbox.entry(number).or_default().extend(event);
        Ok(())
    }

    /// Runs the open batch of each instance, and writes the actions and the line that ends the batch.
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

/// Reads batches and answers each of them until the input ends. The error text names the line and the batch.
fn serve(input: impl BufRead, mut out: impl Write) -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut open: Option<(Millis, Value)> = None;
    let mut last = Value::Null;
    for (index, line) in input.lines().enumerate() {
        let place = |batch: &Value| format!("line {}, batch {batch}", index + 1);
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
        let message = JsonObject::new(name, fields);
        match name {
            "Tick" => {
                last = json!(message.integer("n").map_err(|e| format!("{}: {e}", place(&last)))?);
                let now = message.number("Moment").map_err(|e| format!("{}: {e}", place(&last)))?;
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
            _ => adapter.receive(&message).map_err(|e| format!("{}: {e}", place(&last)))?,
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
