//! What is taken from a configuration, and what is turned down.

use plover_admission::budget::divide;
use plover_config::{check, read, reread};
use serde_json::{Value, json};

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
    assert_eq!((config.clients.sockets, config.pool.max_connections), (2706, 1353));
    assert_eq!(
        (config.pool.max_parts_per_call, config.pool.dial_timeout, config.max_open),
        (2, 250_000, 100)
    );
}

/// What the platform gives is what is gone by, up to the system's own limit; what no process can hold is named.
#[test]
fn descriptors_have_no_ceiling_but_the_platforms_and_the_systems() {
    let mut config = config();
    for (sockets, system, most) in [
        (4096, None, 4096),
        (12_000, Some(20_000), 12_000),
        (12_000, Some(4096), 4096),
        (1 << 20, Some(1 << 30), 1 << 20),
    ] {
        config["limits"]["sockets"] = json!(sockets);
        let config = check(&config, |_| None).unwrap().within(system, None).unwrap();
        assert_eq!((config.sockets, config.descriptors.max), (sockets, most));
        let shared = most - config.descriptors.reserve;
        let divided = config.clients.sockets + config.pool.max_connections as u64;
        assert!(divided <= shared && divided + 1 >= shared, "{divided} of {shared}");
    }
    config["limits"].as_object_mut().unwrap().remove("sockets");
    assert_eq!(check(&config, |_| None).unwrap().descriptors.max, 1024);
    for too_many in [json!(u64::from(u32::MAX)), json!(u64::MAX)] {
        config["limits"]["sockets"] = too_many.clone();
        let error = check(&config, |_| None).unwrap_err();
        assert!(error.contains("sockets") && error.contains(&too_many.to_string()), "{error}");
    }
}

/// As many clients as there are seats for, each in the middle of the longest request, must fit the memory.
#[test]
fn client_connections_fit_the_memory() {
    let mut config = config();
    let seats = |config: &Value| -> usize {
        divide(check(config, |_| None).unwrap().clients, None).unwrap().http1_connections
    };
    config["limits"]["sockets"] = json!(1024);
    assert_eq!(seats(&config), 658);
    config["limits"]["sockets"] = json!(1 << 20);
    assert_eq!(seats(&config), 9830);
    config["limits"]["sockets"] = json!(4096);
    assert_eq!(seats(&config), 2706);
    config["limits"]["memory_mb"] = json!(32);
    assert_eq!(seats(&config), 153);
}

/// A file that was cut anywhere, as by a disk that ran full: none of it is taken, wherever the cut falls.
#[test]
fn a_file_cut_at_any_byte_is_turned_down() {
    let whole = config().to_string();
    let in_force = check(&config(), |_| None).unwrap().in_force;
    let file = std::env::temp_dir().join(format!("ploverport-config-{}.json", std::process::id()));
    let env = |key: &str| (key == "RELAY_CONFIG").then(|| file.display().to_string());
    for cut in 0..whole.len() {
        std::fs::write(&file, &whole[..cut]).unwrap();
        assert!(reread(&in_force, env).is_err(), "cut at {cut}");
    }
    std::fs::write(&file, &whole).unwrap();
    assert!(reread(&in_force, env).is_ok());
    std::fs::remove_file(file).unwrap();
}

/// Whatever key is gone that the file in force has, also one that has a default at a start.
#[test]
fn a_file_that_lacks_any_key_is_turned_down() {
    let in_force = check(&config(), |_| None).unwrap().in_force;
    let mut keys = 0;
    let file = std::env::temp_dir().join(format!("ploverport-keys-{}.json", std::process::id()));
    let env = |key: &str| (key == "RELAY_CONFIG").then(|| file.display().to_string());
    for parent in [
        "",
        "/limits",
        "/settings",
        "/settings/Allowed",
        "/settings/Rules",
        "/settings/FamilyInfo",
        "/settings/Services/0",
        "/settings/Projects/0",
    ] {
        let names: Vec<String> =
            config().pointer(parent).unwrap().as_object().unwrap().keys().cloned().collect();
        for name in names {
            let mut broken = config();
            broken.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(&name);
            std::fs::write(&file, broken.to_string()).unwrap();
            assert!(reread(&in_force, env).is_err(), "{parent}/{name}");
            keys += 1;
        }
    }
    assert!(keys > 50, "{keys}");
    std::fs::remove_file(file).unwrap();
}

/// Figures that cannot be meant, of a wrong type, or names given twice.
#[test]
fn figures_that_cannot_be_meant_are_turned_down() {
    for (pointer, values) in [
        (
            "/settings/Services/0/GiveUp",
            vec![json!(0), json!(-1), json!(1e300), json!("1"), json!([]), json!(null)],
        ),
        ("/settings/Services/0/Aim", vec![json!(0), json!(1e12)]),
        ("/settings/Services/1/MemorySpan", vec![json!(0), json!(-5)]),
        ("/settings/Services/1/Name", vec![json!("lookup"), json!(""), json!(7)]),
        ("/settings/Allowed/SendCap", vec![json!(0), json!(-1), json!(4_294_967_297_u64), json!(1.5)]),
        ("/settings/Allowed/MaxOpen", vec![json!(0), json!(1e18)]),
        ("/settings/Rules/FallMultiple", vec![json!(0), json!(-2)]),
        ("/settings/FamilyInfo/MinShare", vec![json!([1.0, 1.0, 1.5]), json!([1.0, 1.0])]),
    ] {
        for value in values {
            let mut config = config();
            *config.pointer_mut(pointer).unwrap() = value.clone();
            assert!(check(&config, |_| None).is_err(), "{pointer} = {value}");
        }
    }
    // What no number of JSON's is, is no JSON.
    assert!(serde_json::from_str::<Value>("{\"GiveUp\": NaN}").is_err());
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

/// What is taken and cannot be kept to is told with its key and its figures, and nothing else is.
#[test]
fn what_cannot_be_kept_to_is_noted() {
    let notes = |change: &dyn Fn(&mut Value)| {
        let mut config = config();
        config["settings"]["FamilyInfo"]["Shards"] = json!(690);
        config["settings"]["Allowed"]["MaxOpen"] = json!(691);
        change(&mut config);
        check(&config, |_| None).unwrap().notes
    };
    assert_eq!(notes(&|_| ()), Vec::<String>::new());
    let few = notes(&|c| c["settings"]["Allowed"]["MaxOpen"] = json!(690));
    assert!(few.len() == 1 && few[0].contains("MaxOpen 690") && few[0].contains("691"), "{few:?}");
    let none = notes(&|c| _ = c["settings"]["Allowed"].as_object_mut().unwrap().remove("MaxOpen"));
    assert!(none.len() == 1 && none[0].contains("256") && none[0].contains("not given"), "{none:?}");
    let thin = notes(&|c| {
        c["settings"]["Allowed"]["Multiplex"] = json!(3);
        c["settings"]["FamilyInfo"]["Batch"] = json!(8);
    });
    assert!(thin.len() == 1 && thin[0].contains("Multiplex 3") && thin[0].contains('8'), "{thin:?}");
}
