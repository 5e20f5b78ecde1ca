//! An answer's body as a list.

use plover_model::server::{Target, TargetState, Targets};
use serde::Deserialize;
use serde_json::Value;
use std::io;
use tracing::warn;

#[derive(Deserialize)]
struct Loose {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

/// Reads a list. An entry that cannot be read costs nobody else theirs: with a name, the server is taken to drain, since
/// nothing may go where nobody knows whether it may; without one, it is passed over. A list in which no entry can be read
/// is none.
pub(crate) fn read(body: &[u8]) -> io::Result<Targets> {
    if let Ok(sound) = serde_json::from_slice(body) {
        return Ok(sound);
    }
    let loose: Loose = serde_json::from_slice(body)?;
    let (many, mut faulty, mut first) = (loose.targets.len(), 0, None);
    let mut targets = Vec::with_capacity(many);
    for entry in loose.targets {
        let uid = entry.get("uid").and_then(Value::as_str).map(str::to_owned);
        match serde_json::from_value::<Target>(entry) {
            Ok(target) => targets.push(target),
            Err(error) => {
                faulty += 1;
                first.get_or_insert(error);
                targets.extend(uid.map(drains));
            }
        }
    }
    if let Some(error) = first {
        if faulty == many {
            return Err(io::Error::other(format!("no entry can be read: {error}")));
        }
        warn!(name: "entries_unreadable", faulty, many, first = %error);
    }
    Ok(Targets { rev: loose.rev, all: loose.all, targets })
}

fn drains(uid: String) -> Target {
    Target { uid, endpoint: None, az: String::new(), pod_group: 0, state: TargetState::Leaving, boot_ms: 0.0 }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_entry_that_cannot_be_read_costs_no_other_its_news() {
        let text = r#"{ "rev": 7, "all": false, "targets": [
            {"uid": "a", "endpoint": "127.0.0.1:80", "state": "leaving"},
            {"uid": "b", "endpoint": "127.0.0.1:81"},
            {"uid": "c", "endpoint": "nowhere", "state": "active"},
            {"endpoint": "127.0.0.1:82", "state": "active"}, 7 ] }"#;
        let list = read(text.as_bytes()).unwrap();
        let names: Vec<(&str, TargetState)> = list.targets.iter().map(|t| (&*t.uid, t.state)).collect();
        let drains = TargetState::Leaving;
        assert_eq!(names, [("a", drains), ("b", drains), ("c", drains)]);
        // A whole list of another form would end the fleet.
        assert!(read(br#"{"rev":8,"all":true,"targets":[{"uid":"a","status":"up"}]}"#).is_err());
        assert!(read(br#"{"rev":8,"all":true,"targets":[]}"#).unwrap().targets.is_empty());
        assert!(read(br#"{"all":true,"targets":[]}"#).is_err());
    }
}
