//! The one place where the environment and the configuration file are read, checked and given defaults.

use brookbend::api::Settings;
use brookbend::settings::{self, Message};
use plover_admission::budget::Given;
use plover_model::limits::PoolLimits;
use plover_model::query::Names;
use plover_model::server::Targets;
use plover_model::time::millis;
use serde_json::Value;
use std::net::SocketAddr;

/// Sockets where the configuration names no limit: the least that deployments give.
const SOCKETS: u64 = 1024;
/// Most descriptors that are neither a client's nor a data server's connection: listener, discovery, the event
/// queue, signals, standard streams, and connections that are just being refused.
const OWN_SOCKETS: u64 = 32;
/// Descriptors for operators, where they have a door: its listener, its seats, and one that is being turned away.
const OPS_SOCKETS: u64 = 18;
/// The least descriptors to serve with.
const LEAST_SOCKETS: u64 = 64;
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
    pub clients: Given,
    /// The limits for connections to data servers.
    pub pool: PoolLimits,
}

/// A variable of the program's environment; an empty one counts as unset.
pub fn environment(key: &str) -> Option<String> {
    std::env::var(key).ok().filter(|v| !v.is_empty())
}

/// Reads the configuration again, as SIGHUP asks. The file was written later than the environment, so that its
/// `discovery` is the one that holds now.
pub fn reread(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    read(|key| if key == "RELAY_DISCOVERY" { None } else { env(key) })
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
    let m = Message::new("RELAY_CONFIG", fields);
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
    let seed = u64::from_str_radix(seed, 16).or_else(|_| m.bad("seed", "is not 16 hex digits"))?;
    let env_of = |key: &str| env(key);
    let env = m.inner("settings")?;
    let site = settings::decode(&env)?;
    if site.class_names.is_empty() || site.class_names.iter().any(String::is_empty) {
        return env.bad("Services", "is empty or holds a class without a name");
    }
    if site.settings.classes.iter().any(|c| c.second_step) {
        return env.bad("FamilyInfo", "asks for a second step (FetchParts), which the protocol cannot carry");
    }
    for (field, figure) in
        [("Positions", site.settings.cells), ("Shards", site.settings.shards), ("Batch", site.settings.batch)]
    {
        if !(1..=1_000_000).contains(&figure) {
            return env.inner("FamilyInfo")?.bad(field, "is out of bounds");
        }
    }
    if !(site.settings.tick > 0.0 && site.settings.tick <= 1000.0) {
        return env.bad("Tick", "is out of bounds");
    }
    let sockets = match m.get("limits") {
        Some(_) => m.inner("limits")?.opt_whole("sockets")?.unwrap_or(SOCKETS),
        None => SOCKETS,
    };
    if sockets < LEAST_SOCKETS {
        return m.inner("limits")?.bad("sockets", "is too small to serve with");
    }
    let memory_mb = match m.get("limits") {
        Some(_) => m.inner("limits")?.opt_whole("memory_mb")?,
        None => None,
    };
    // Descriptors alone would let half-sent requests fill a small machine's memory.
    let memory = memory_mb.map(|mb| mb.saturating_mul(1 << 20) / CLIENT_MEMORY.1 * CLIENT_MEMORY.0);
    if memory.is_some_and(|bytes| bytes < CLIENT_HOLDS) {
        return m.inner("limits")?.bad("memory_mb", "is too small to serve with");
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
    let own = OWN_SOCKETS + ops.map_or(0, |_| OPS_SOCKETS);
    let shared = sockets.min(SOCKETS) - own;
    let known = m.get("known").ok_or("RELAY_CONFIG: field known is missing")?;
    let known: Targets =
        serde_json::from_value(known.clone()).map_err(|e| format!("RELAY_CONFIG: field known: {e}"))?;
    Ok(Config {
        name: text("RELAY_NAME", "name")?,
        listen: address("RELAY_LISTEN", "listen")?,
        ops,
        inherited,
        discovery: address("RELAY_DISCOVERY", "discovery")?,
        seed,
        known,
        max_open: site.max_open.unwrap_or(MAX_OPEN) as usize,
        clients: Given { sockets: shared * 2 / 3, memory, http1_holds: CLIENT_HOLDS },
        pool: PoolLimits {
            sockets: (shared / 3) as usize,
            batch: site.settings.batch,
            multiplex: (site.multiplex.unwrap_or(MULTIPLEX) as usize).max(site.settings.batch),
            dial_timeout: millis(site.dial_timeout.unwrap_or(DIAL_TIMEOUT_MS)),
            keepalive: millis(site.keepalive.unwrap_or(KEEPALIVE_MS)),
        },
        names: Names { classes: site.class_names, tenants: site.tenant_names, zones: site.zones },
        settings: site.settings,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use plover_admission::budget::divide;
    use serde_json::json;

    fn config() -> Value {
        let settings: Value = serde_json::from_str(include_str!("../../model/tests/settings.json")).unwrap();
        json!({"name": "n3", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 4096, "memory_mb": 2048}, "known": {"rev": 1, "all": true, "targets": []}, "settings": settings})
    }

    #[test]
    fn the_environment_goes_before_the_file_and_limits_have_defaults() {
        let env = |key: &str| (key == "RELAY_LISTEN").then(|| "127.0.0.1:3".to_owned());
        let config = check(&config(), env).unwrap();
        assert_eq!((config.listen.port(), config.discovery.port(), config.name.as_str()), (3, 2, "n3"));
        assert!(config.clients.sockets + (config.pool.sockets as u64) < SOCKETS);
        assert_eq!((config.pool.batch, config.pool.dial_timeout, config.max_open), (2, 250_000, 100));
    }

    /// As many clients as there are seats for, each in the middle of the longest request, must fit the memory.
    #[test]
    fn client_connections_fit_the_memory() {
        let mut config = config();
        let seats = |config: &Value| -> usize {
            divide(check(config, |_| None).unwrap().clients, None).unwrap().http1_connections
        };
        assert_eq!(seats(&config), 661);
        config["limits"]["memory_mb"] = json!(32);
        assert_eq!(seats(&config), 153);
    }

    #[test]
    fn an_error_names_the_key() {
        for (pointer, value, name) in [
            ("/seed", json!("xyz"), "seed"),
            ("/listen", json!("nowhere"), "listen"),
            ("/known/rev", json!("a"), "known"),
            ("/limits/sockets", json!(10), "sockets"),
            ("/limits/sockets", json!("many"), "sockets"),
            ("/limits/memory_mb", json!(0), "memory_mb"),
            ("/settings/Tick", json!(0), "Tick"),
            ("/settings/Tick", json!(null), "Tick"),
            ("/settings/FamilyInfo/Shards", json!(0), "Shards"),
            ("/settings/FamilyInfo/FetchParts", json!([0, 2, 0]), "FetchParts"),
            ("/settings/Services/0/Name", json!(null), "Services"),
            ("/settings/Allowed/MaxOpen", json!("x"), "MaxOpen"),
        ] {
            let mut config = config();
            *config.pointer_mut(pointer).unwrap() = value;
            let error = check(&config, |_| None).expect_err(pointer);
            assert!(error.contains(name), "{pointer}: {error}");
        }
        assert!(read(|_| None).unwrap_err().contains("RELAY_CONFIG"));
    }
}
