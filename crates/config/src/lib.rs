//! The one place where the environment and the configuration file are read, checked and given defaults.

use brookbend::api::{Semantics, Settings};
use brookbend::settings::{self, JsonObject, Site};
use plover_admission::budget::ClientBudget;
use plover_admission::descriptors::{DescriptorLimit, ProcessDescriptors};
use plover_model::limits::PoolLimits;
use plover_model::query::Names;
use plover_model::server::Targets;
use plover_model::time::millis;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Sockets where the configuration names no limit: the least that deployments give.
const SOCKETS: u64 = 1024;
/// Most that a process could ever number: a descriptor is a C `int`. Beyond it the figure can't be meant.
const MOST_SOCKETS: u64 = i32::MAX as u64;
/// Share of the memory that clients' connections may fill, and the most that one holds while it sends a request.
const CLIENT_MEMORY: (u64, u64) = (3, 5);
const CLIENT_HOLDS: u64 = 128 * 1024;
/// What the settings leave out: figures that are harmless where a deployment says nothing.
const DIAL_TIMEOUT_MS: f64 = 250.0;
const KEEPALIVE_MS: f64 = 15_000.0;
const MULTIPLEX: u64 = 100;
const MAX_OPEN: u64 = 256;

/// Everything that the program is told at its start, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The broker's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
    /// The descriptor on which the platform holds the clients' listening socket, where it does.
    pub inherited: Option<i32>,
    /// Where processes that are one broker find each other: only where the platform holds the clients' socket, so that
    /// there may be two.
    pub hand_over: Option<PathBuf>,
    /// What another file is held against at SIGHUP.
    pub in_force: InForce,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What the decisions are told.
    pub settings: Settings,
    /// Names in requests.
    pub names: Names,
    /// The list of data servers as last known.
    pub known: Targets,
    /// Most queries and parts in hand.
    pub max_open: usize,
    /// What client connections may take.
    pub clients: ClientBudget,
    /// The limits for connections to data servers.
    pub pool: PoolLimits,
    /// The limit of descriptors in force.
    pub descriptors: DescriptorLimit,
    /// Figures that are not kept to as they stand, or that turn down what the rest of the settings allows: a line each, for
    /// the log.
    pub notes: Vec<String>,
    /// The descriptors that the platform gives (`limits.sockets`); the system may give fewer, see [`Config::within`].
    pub sockets: u64,
    /// Those of the process itself.
    own: ProcessDescriptors,
}

impl Config {
    /// Keeps to what the system gives too: `limit` descriptors at the most, of which `open` were open as the process
    /// started. The error is the line to print.
    pub fn within(self, limit: Option<u64>, open: Option<u64>) -> Result<Config, String> {
        // Standard streams and the platform's socket are counted already.
        let expected = 3 + u64::from(self.inherited.is_some());
        self.within_now(limit, open.unwrap_or_default().saturating_sub(expected))
    }

    /// The same for a process that runs, of whose descriptors so many were handed in and are none of its own.
    pub fn within_now(mut self, limit: Option<u64>, foreign: u64) -> Result<Config, String> {
        self.own.foreign = foreign;
        let most = limit.map_or(self.sockets, |limit| limit.min(self.sockets));
        let shared = self.own.divide(most).map_err(|least| {
            let (given, own, foreign) = (self.sockets, self.own.reserve(), self.own.foreign);
            format!(
                "descriptors: {most} are too few to serve with, {least} are needed, of which {own} for the broker itself \
                 ({foreign} of them were open at the start); the system's limit (RLIMIT_NOFILE, ulimit -n) is {}, \
                 limits.sockets is {given}",
                limit.map_or("none".to_owned(), |limit| limit.to_string()),
            )
        })?;
        self.descriptors = DescriptorLimit { max: most, reserve: self.own.reserve() };
        self.clients.sockets = shared.clients;
        self.pool.max_connections = shared.pool as usize;
        Ok(self)
    }

    /// Descriptors that were handed in at the start and are none of ours, once that is known.
    pub fn foreign(&self) -> u64 {
        self.own.foreign
    }
}

/// A variable of the program's environment; an empty one counts as unset.
pub fn environment(key: &str) -> Option<String> {
    std::env::var(key).ok().filter(|v| !v.is_empty())
}

/// What was taken last from the platform, so far as another file is held against it.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    keys: BTreeSet<String>,
    /// What takes a restart to change, by name.
    fixed: Vec<(&'static str, String)>,
}

impl InForce {
    fn of(value: &Value, name: &str, listen: &SocketAddr, ops: Option<SocketAddr>) -> Self {
        let mut keys = BTreeSet::new();
        shape(value, "", &mut keys);
        let seed = value.get("seed").and_then(Value::as_str).unwrap_or_default();
        // Descriptors move while the program runs.
        let limits = value.get("limits").cloned().map(|mut limits| {
            limits.as_object_mut().map(|fields| fields.remove("sockets"));
            limits.to_string()
        });
        let limits = limits.unwrap_or_default();
        let fixed = vec![
            ("name", name.to_owned()),
            ("listen", listen.to_string()),
            ("ops", format!("{ops:?}")),
            ("seed", seed.to_owned()),
            ("limits", limits),
        ];
        InForce { keys, fixed }
    }

    /// What another file changes that takes a restart.
    pub fn waits(&self, new: &InForce) -> Vec<&'static str> {
        let differs = |(old, new): &(&(&'static str, String), &(&'static str, String))| old != new;
        self.fixed.iter().zip(&new.fixed).filter(differs).map(|(old, _)| old.0).collect()
    }
}

/// The keys of a configuration, with their paths; of a list's objects, those that all of them have. The list of servers is
/// left out: it comes and goes by itself.
fn shape(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = format!("{path}/{key}");
                if path != "/known" {
                    shape(value, &path, keys);
                }
                keys.insert(path);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let of = |item: &Value| {
                let mut keys = BTreeSet::new();
                shape(item, path, &mut keys);
                keys
            };
            let common = items.iter().map(of).reduce(|a, b| &a & &b);
            keys.extend(common.unwrap_or_default());
        }
        _ => {}
    }
}

/// Reads the configuration again, as SIGHUP asks. One that lacks a key that the one in force has was cut or is not meant. The file was written later than the environment, so that its
/// `discovery` is the one that holds now.
pub fn reread(in_force: &InForce, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let config = read(|key| if key == "RELAY_DISCOVERY" { None } else { env(key) })?;
    match in_force.keys.difference(&config.in_force.keys).next() {
        Some(missing) => Err(format!("RELAY_CONFIG: {missing} is missing, which the one in force has")),
        None => Ok(config),
    }
}

/// Reads the configuration of this process. The error is the line to print; it names the faulty key.
pub fn read(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let path = env("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("RELAY_CONFIG: {path} cannot be read: {e}"))?;
    let value =
        serde_json::from_slice(&text).map_err(|e| format!("RELAY_CONFIG: {path} is not JSON: {e}"))?;
    check(&value, env)
}

/// Checks a configuration. What the environment names goes before the file.
pub fn check(value: &Value, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let fields = value.as_object().ok_or("RELAY_CONFIG: it is not an object")?;
    let m = JsonObject::new("RELAY_CONFIG", fields);
    let text = |variable: &str, field: &str| match env(variable) {
        Some(text) => Ok(text),
        None => m.text(field).map(str::to_owned),
    };
    let address = |variable: &str, field: &str| -> Result<SocketAddr, String> {
        let text = text(variable, field)?;
        text.parse()
            .map_err(|_| format!("{variable} (field {field}): {text:?} is not an address with a port"))
    };
    let seed = m.text("seed")?;
    let seed = u64::from_str_radix(seed, 16).or_else(|_| m.invalid("seed", "is not 16 hex digits"))?;
    let env_of = |key: &str| env(key);
    let env = m.inner("settings")?;
    let site = settings::decode(&env)?;
    if site.class_names.is_empty() || site.class_names.iter().any(String::is_empty) {
        return env.invalid("Services", "is empty or holds a class without a name");
    }
    if site.settings.classes.iter().any(|c| c.second_step) {
        return env
            .invalid("FamilyInfo", "asks for a second step (FetchParts), which the protocol cannot carry");
    }
    for (field, figure) in [
        ("Positions", site.settings.cells),
        ("Shards", site.settings.shards),
        ("Width", site.settings.reach),
        ("Batch", site.settings.batch),
    ] {
        if !(1..=1_000_000).contains(&figure) {
            return env.inner("FamilyInfo")?.invalid(field, "is out of bounds");
        }
    }
    if !(site.settings.tick > 0.0 && site.settings.tick <= 1000.0) {
        return env.invalid("Tick", "is out of bounds");
    }
    let sockets = match m.get("limits") {
        Some(_) => m.inner("limits")?.opt_integer("sockets")?.unwrap_or(SOCKETS),
        None => SOCKETS,
    };
    let memory_mb = match m.get("limits") {
        Some(_) => m.inner("limits")?.opt_integer("memory_mb")?,
        None => None,
    };
    // Descriptors alone would let half-sent requests fill a small machine's memory.
    let memory = memory_mb.map(|mb| mb.saturating_mul(1 << 20) / CLIENT_MEMORY.1 * CLIENT_MEMORY.0);
    if memory.is_some_and(|bytes| bytes < CLIENT_HOLDS) {
        return m.inner("limits")?.invalid("memory_mb", "is too small to serve with");
    }
    let ops = match (env_of("RELAY_OPS"), m.get("ops")) {
        (None, None) => None,
        _ => Some(address("RELAY_OPS", "ops")?),
    };
    let inherited = match env_of("RELAY_FD").map(|text| (text.parse::<i32>(), text)) {
        None => None,
        Some((Ok(fd), _)) if fd >= 0 => Some(fd),
        Some((_, text)) => return Err(format!("RELAY_FD: {text:?} is not the number of a descriptor")),
    };
    let hand_over = inherited.and_then(|_| env_of("TMPDIR")).map(PathBuf::from);
    let own = ProcessDescriptors { admin: ops.is_some(), handover: hand_over.is_some(), foreign: 0 };
    if sockets > MOST_SOCKETS {
        let why = format!("({sockets}) is more than a process can ever hold: {MOST_SOCKETS} at the most");
        return m.inner("limits")?.invalid("sockets", &why);
    }
    let shared = match own.divide(sockets) {
        Ok(shared) => shared,
        Err(least) => {
            let why = format!("({sockets}) is too small to serve with: {least} are needed");
            return m.inner("limits")?.invalid("sockets", &why);
        }
    };
    bounds(&env, &site)?;
    let notes = notes(&site);
    let known = m.get("known").ok_or("RELAY_CONFIG: field known is missing")?;
    let known: Targets =
        serde_json::from_value(known.clone()).map_err(|e| format!("RELAY_CONFIG: field known: {e}"))?;
    let name = text("RELAY_NAME", "name")?;
    let listen = address("RELAY_LISTEN", "listen")?;
    Ok(Config {
        in_force: InForce::of(value, &name, &listen, ops),
        notes,
        name,
        listen,
        ops,
        hand_over,
        inherited,
        discovery: address("RELAY_DISCOVERY", "discovery")?,
        seed,
        known,
        max_open: site.max_open.unwrap_or(MAX_OPEN) as usize,
        clients: ClientBudget { sockets: shared.clients, memory, http1_connection_bytes: CLIENT_HOLDS },
        pool: PoolLimits {
            max_connections: shared.pool as usize,
            max_parts_per_call: site.settings.batch,
            max_parts_per_connection: (site.multiplex.unwrap_or(MULTIPLEX) as usize).max(site.settings.batch),
            dial_timeout: millis(site.dial_timeout.unwrap_or(DIAL_TIMEOUT_MS)),
            idle_timeout: millis(site.keepalive.unwrap_or(KEEPALIVE_MS)),
        },
        names: Names {
            classes: site.class_names,
            tenants: site.tenant_names,
            zones: site.zones,
            ..Names::default()
        },
        settings: site.settings,
        descriptors: DescriptorLimit { max: sockets, reserve: own.reserve() },
        sockets,
        own,
    })
}

/// What of the settings cannot be kept to, or contradicts the rest, and is taken all the same.
fn notes(site: &Site) -> Vec<String> {
    let mut notes = Vec::new();
    let given = |figure: Option<u64>| if figure.is_some() { "" } else { " (it is not given)" };
    let (open, widest) = (site.max_open.unwrap_or(MAX_OPEN), site.settings.shards as u64 + 1);
    if open < widest {
        notes.push(format!(
            "Allowed.MaxOpen {open}{}: a query to all {} shards takes {widest} and is always refused",
            given(site.max_open),
            site.settings.shards
        ));
    }
    let (parts, batch) = (site.multiplex.unwrap_or(MULTIPLEX), site.settings.batch as u64);
    if parts < batch {
        notes.push(format!(
            "Allowed.Multiplex {parts}{}: {batch} are sent on a connection, as FamilyInfo.Batch has calls of so many",
            given(site.multiplex)
        ));
    }
    notes
}

/// Longest time that settings may hold, in milliseconds: a day.
const LONGEST_MS: f64 = 86_400_000.0;
/// Most classes, most tenants, and most queries and parts in hand: far beyond what anybody means.
const MOST_NAMES: usize = 128;
const MOST_OPEN: u64 = 10_000_000;
const MOST_BROKERS: usize = 1_000_000;

/// Figures that cannot be meant. Each would make the broker fail every query, or none ever.
fn bounds(m: &JsonObject, site: &Site) -> Result<(), String> {
    let time = |ms: f64| ms > 0.0 && ms <= LONGEST_MS;
    let share = |s: f64| (0.0..=1.0).contains(&s);
    for (class, name) in site.settings.classes.iter().zip(&site.class_names) {
        let bad = |field: &str| {
            m.invalid("Services", &format!("holds class {name:?}, whose {field} is out of bounds"))
        };
        if !time(class.give_up) {
            return bad("GiveUp");
        }
        if !time(class.aim) {
            return bad("Aim");
        }
        if matches!(class.semantics, Semantics::Keyed { window } if !time(window)) {
            return bad("MemorySpan");
        }
        if !((0.0..1e9).contains(&class.worth) && share(class.late_worth)) {
            return bad("Gain or LateWorth");
        }
        // Whole with nothing in, or whole with less than an answer may be given from: neither can be kept to.
        let needs = class.need > 0.0 && class.floor <= class.need;
        if !(share(class.need) && share(class.floor) && needs && (0.0..=1e3).contains(&class.partial_earns)) {
            return m
                .inner("FamilyInfo")?
                .invalid("ClassNeed", "or MinShare or PartialEarns is out of bounds");
        }
    }
    for class in m.objects("Services")? {
        let keyed = class.get("Semantics").is_some_and(|s| s == "by_key");
        if keyed && class.get("DedupScope").is_some_and(|scope| scope != "all") {
            return class
                .invalid("DedupScope", "is not \"all\": the holders of a shard would not drop a repeat");
        }
    }
    if !(0.0..=LONGEST_MS).contains(&site.settings.call_work) {
        return m.inner("FamilyInfo")?.invalid("Call", "is out of bounds");
    }
    if !(1..=MOST_BROKERS).contains(&site.settings.aggregators) {
        return m.invalid("PeersTotal", "is out of bounds");
    }
    if !share(site.settings.over_share_worth) {
        return m.invalid("OverShareWorth", "is out of bounds");
    }
    if m.get("WorthBy").is_some_and(|by| by != "work" && by != "request") {
        return m.invalid("WorthBy", "is unknown");
    }
    if site.tenant_names.iter().any(String::is_empty) {
        return m.invalid("Projects", "holds a tenant without a name");
    }
    if site.settings.tenants.iter().any(|t| !(0.0..=1e9).contains(&t.quota_per_s)) {
        return m.invalid("Projects", "holds a tenant whose QuotaPerS is out of bounds");
    }
    for (names, field) in [(&site.class_names, "Services"), (&site.tenant_names, "Projects")] {
        if names.len() > MOST_NAMES {
            return m.invalid(field, &format!("holds more than {MOST_NAMES}"));
        }
        if names.iter().collect::<BTreeSet<_>>().len() < names.len() {
            return m.invalid(field, "names one twice");
        }
    }
    let allowed = m.inner("Allowed")?;
    if !allowed.opt_integer("SendCap")?.is_some_and(|n| (1..=1000).contains(&n)) {
        return allowed.invalid("SendCap", "is out of bounds");
    }
    if site.max_open.is_some_and(|n| !(1..=MOST_OPEN).contains(&n)) {
        return allowed.invalid("MaxOpen", "is out of bounds");
    }
    if site.multiplex.is_some_and(|n| !(1..=MOST_OPEN).contains(&n)) {
        return allowed.invalid("Multiplex", "is out of bounds");
    }
    for (figure, field) in [(site.dial_timeout, "DialTimeout"), (site.keepalive, "Keepalive")] {
        if figure.is_some_and(|ms| !time(ms)) {
            return allowed.invalid(field, "is out of bounds");
        }
    }
    let cold = &site.settings.cold;
    let rules = m.inner("Rules")?;
    if let Some(budget) = site.settings.budget {
        if !time(budget.window) {
            return rules.invalid("RatioSpan", "is out of bounds");
        }
        if !((0.0..=1e9).contains(&budget.free_attempts) && (0.0..=1e3).contains(&budget.per_request)) {
            return rules.invalid("SpareAttempts", "or ExtraRatio is out of bounds");
        }
    }
    if !share(cold.initial_capacity) || !(0.0..=LONGEST_MS).contains(&cold.warm_after) {
        return rules.invalid("ColdFrom", "or Cold is out of bounds");
    }
    if !(cold.overload_factor > 0.0 && cold.overload_factor < 1e6 && time(cold.overload_time)) {
        return rules.invalid("FallMultiple", "or Fall is out of bounds");
    }
    Ok(())
}
