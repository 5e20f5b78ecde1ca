//! Decodes the settings object that the simulator sends and that a broker's configuration contains.

use crate::api::*;
use serde_json::{Map, Value};

/// Settings of a site: those of the decisions, and those that only a broker on real sockets needs.
#[derive(Clone, Debug)]
pub struct Site {
    /// Settings of the decisions.
    pub settings: Settings,
    /// Names of the classes, in the order of their indices.
    pub class_names: Vec<String>,
    /// Names of the tenants, in the order of their indices.
    pub tenant_names: Vec<String>,
    /// Names of the zones, in the order of their indices.
    pub zones: Vec<String>,
    /// Maximum number of queries and parts that one aggregator may have open, counted together.
    pub max_open: Option<u64>,
    /// Maximum number of parts in flight on one connection.
    pub multiplex: Option<u64>,
    /// Time in milliseconds within which a connection must be established.
    pub dial_timeout: Option<Millis>,
    /// Idle time in milliseconds after which servers close a connection.
    pub keepalive: Option<Millis>,
}

/// A JSON object with the name that error messages use for it.
pub struct JsonObject<'a> {
    name: &'a str,
    fields: &'a Map<String, Value>,
}

impl<'a> JsonObject<'a> {
    /// Wraps the fields of an object under the given name.
    pub fn new(name: &'a str, fields: &'a Map<String, Value>) -> Self {
        JsonObject { name, fields }
    }
    /// Name of the object in error messages.
    pub fn name(&self) -> &str {
        self.name
    }
    /// Returns an error that names this object and the field.
    pub fn invalid<T>(&self, field: &str, what: &str) -> Result<T, String> {
        Err(format!("{}: field {field} {what}", self.name))
    }
    /// Returns a field; `None` if it is absent or null.
    pub fn get(&self, field: &str) -> Option<&Value> {
        self.fields.get(field).filter(|v| !v.is_null())
    }
    /// Returns an optional number.
    pub fn opt_number(&self, field: &str) -> Result<Option<f64>, String> {
        match self.get(field) {
            None => Ok(None),
            Some(v) => match v.as_f64() {
                Some(n) => Ok(Some(n)),
                None => self.invalid(field, "is not a number"),
            },
        }
    }
    /// Returns a required number.
    pub fn number(&self, field: &str) -> Result<f64, String> {
        match self.opt_number(field)? {
            Some(n) => Ok(n),
            None => self.invalid(field, "is missing"),
        }
    }
    /// Returns an optional integer that is not negative.
    pub fn opt_integer(&self, field: &str) -> Result<Option<u64>, String> {
        match self.get(field) {
            None => Ok(None),
            Some(v) => match v.as_u64().or_else(|| integer_of(v.as_f64())) {
                Some(n) => Ok(Some(n)),
                None => self.invalid(field, "is not a whole number"),
            },
        }
    }
    /// Returns a required integer that is not negative.
    pub fn integer(&self, field: &str) -> Result<u64, String> {
        match self.opt_integer(field)? {
            Some(n) => Ok(n),
            None => self.invalid(field, "is missing"),
        }
    }
    /// Returns a required string.
    pub fn text(&self, field: &str) -> Result<&str, String> {
        match self.get(field) {
            None => self.invalid(field, "is missing"),
            Some(v) => match v.as_str() {
                Some(s) => Ok(s),
                None => self.invalid(field, "is not a string"),
            },
        }
    }
    /// Returns a flag; `false` if the field is absent.
    pub fn flag(&self, field: &str) -> Result<bool, String> {
        match self.get(field) {
            None => Ok(false),
            Some(v) => match v.as_bool() {
                Some(b) => Ok(b),
                None => self.invalid(field, "is not true or false"),
            },
        }
    }
    /// Returns a required list.
    pub fn list(&self, field: &str) -> Result<&Vec<Value>, String> {
        match self.get(field) {
            None => self.invalid(field, "is missing"),
            Some(v) => match v.as_array() {
                Some(a) => Ok(a),
                None => self.invalid(field, "is not a list"),
            },
        }
    }
    /// Returns a required list of numbers.
    pub fn numbers(&self, field: &str) -> Result<Vec<f64>, String> {
        let list = self.list(field)?;
        let numbers: Vec<f64> = list.iter().filter_map(Value::as_f64).collect();
        if numbers.len() == list.len() {
            Ok(numbers)
        } else {
            self.invalid(field, "is not a list of numbers")
        }
    }
    /// Returns a required object inside this one.
    pub fn inner<'b>(&'b self, field: &'b str) -> Result<JsonObject<'b>, String> {
        match self.get(field) {
            None => self.invalid(field, "is missing"),
            Some(v) => match v.as_object() {
                Some(fields) => Ok(JsonObject { name: field, fields }),
                None => self.invalid(field, "is not an object"),
            },
        }
    }
    /// Returns the objects of a required list inside this one.
    pub fn objects<'b>(&'b self, field: &'b str) -> Result<Vec<JsonObject<'b>>, String> {
        let mut objects = Vec::new();
        for v in self.list(field)? {
            match v.as_object() {
                Some(fields) => objects.push(JsonObject { name: field, fields }),
                None => return self.invalid(field, "holds something that is not an object"),
            }
        }
        Ok(objects)
    }
}

fn integer_of(n: Option<f64>) -> Option<u64> {
    n.filter(|n| n.fract() == 0.0 && *n >= 0.0 && *n < 9.3e18).map(|n| n as u64)
}

fn nth_number(list: &[f64], index: usize, m: &JsonObject, field: &str) -> Result<f64, String> {
    match list.get(index) {
        Some(n) => Ok(*n),
        None => m.invalid(field, "has too few entries"),
    }
}

fn classes(env: &JsonObject, family: &JsonObject) -> Result<Vec<Class>, String> {
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
            _ => return c.invalid("Semantics", "is unknown"),
        };
        classes.push(Class {
            aim: c.number("Aim")?,
            give_up: c.number("GiveUp")?,
            worth: c.number("Gain")?,
            late_worth: c.number("LateWorth")?,
            semantics,
            need: nth_number(&need, i, family, "ClassNeed")?,
            floor: nth_number(&floor, i, family, "MinShare")?,
            partial_earns: nth_number(&earns, i, family, "PartialEarns")?,
            second_step: nth_number(&fetch, i, family, "FetchParts")? > 0.0,
        });
    }
    Ok(classes)
}

/// Decodes the settings. An error names the faulty field.
pub fn decode(env: &JsonObject) -> Result<Site, String> {
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
        // A window without a limit restricts nothing.
        (None, None, _) => None,
        (spare, per_request, Some(span)) => Some(AttemptBudget {
            free_attempts: spare.unwrap_or(0.0),
            per_request: per_request.unwrap_or(0.0),
            window: span,
        }),
        _ => return rules.invalid("RatioSpan", "is missing"),
    };
    let list = match env.text("MembershipMode")? {
        "pushed" => ListSource::Pushed,
        "on_request" => ListSource::OnRequest,
        _ => return env.invalid("MembershipMode", "is unknown"),
    };
    let settings = Settings {
        classes: classes(env, &family)?,
        tenants,
        aggregators: env.integer("PeersTotal")? as usize,
        zone: env.opt_integer("Locality")?.map(|z| z as usize),
        over_share_worth: env.opt_number("OverShareWorth")?.unwrap_or(1.0),
        worth_by_work: env.get("WorthBy").and_then(Value::as_str) == Some("work"),
        clients_mark_retries: match env.get("Clients") {
            Some(_) => env.inner("Clients")?.flag("MarksRetry")?,
            None => false,
        },
        cells: family.integer("Positions")? as usize,
        reach: family.integer("Width")? as usize,
        shards: family.integer("Shards")? as usize,
        batch: family.integer("Batch")? as usize,
        call_work: family.number("Call")?,
        max_attempts: allowed.integer("SendCap")? as u32,
        hedging: allowed.flag("SecondCopies")?,
        cancel: allowed.flag("Cancel")?,
        max_retry_after: if allowed.flag("RetryAfter")? {
            // Advice to retry after no time is no advice.
            allowed.opt_number("MaxRetryAfter")?.filter(|most| *most > 0.0)
        } else {
            None
        },
        tick: env.number("Tick")?,
        list,
        list_deadline: rules.opt_number("AskWithin")?.unwrap_or(f64::INFINITY),
        budget,
        cold: ColdRule {
            initial_capacity: rules.number("ColdFrom")?,
            warm_after: rules.number("Cold")?,
            overload_factor: rules.number("FallMultiple")?,
            overload_time: rules.number("Fall")?,
        },
    };
    Ok(Site {
        class_names: names(env, "Services")?,
        tenant_names: names(env, "Projects")?,
        zones: match env.get("Zones") {
            Some(_) => env.list("Zones")?.iter().map(|z| z.as_str().unwrap_or_default().to_owned()).collect(),
            None => Vec::new(),
        },
        max_open: allowed.opt_integer("MaxOpen")?,
        multiplex: allowed.opt_integer("Multiplex")?,
        dial_timeout: allowed.opt_number("DialTimeout")?,
        keepalive: allowed.opt_number("Keepalive")?,
        settings,
    })
}

/// Returns the names of a list of named objects; empty if the list is absent.
fn names(env: &JsonObject, field: &str) -> Result<Vec<String>, String> {
    if env.get(field).is_none() {
        return Ok(Vec::new());
    }
    let name = |m: &JsonObject| Ok(m.get("Name").and_then(Value::as_str).unwrap_or_default().to_owned());
    env.objects(field)?.iter().map(name).collect()
}
