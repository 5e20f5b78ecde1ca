//! A client that sends ever new names at full speed: nothing that the broker keeps or tells grows with them.

use crate::rig::{ask, exchange, figures, fleet, start};
use plover_load::Ask;
use std::time::Duration;

const REQUESTS: usize = 2_000;
/// Bytes by which the process may grow, whatever comes: far below what a name a request would take with its entry in a table.
const MOST_GROWTH: u64 = 4 << 20;

/// Requests of one connection, sent ahead: each with names that were never seen. None can be used.
fn requests(kind: &str) -> Vec<u8> {
    let body = r#"{"ranges":[{"range":0,"portion":1.0}],"predicate":"p"}"#;
    let request = |n: usize| {
        let name = format!("{kind}-{n:08x}-{}", "n".repeat(64));
        let (path, class, tenant, text) = match kind {
            "path" => (format!("/{name}"), "lookup".to_owned(), "acme".to_owned(), body),
            "class" => (format!("/{name}"), name.clone(), "acme".to_owned(), body),
            "tenant" => ("/lookup".to_owned(), "lookup".to_owned(), name.clone(), "{"),
            _ => ("/lookup".to_owned(), "lookup".to_owned(), "acme".to_owned(), "{"),
        };
        let last = if n + 1 == REQUESTS { "Connection: close\r\n" } else { "" };
        format!(
            "POST {path} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {name}\r\nX-Class: {class}\r\nX-Tenant: {tenant}\r\n\
             X-Deadline: 3000m\r\nIdempotency-Key: {name}\r\n{last}Content-Length: {}\r\n\r\n{text}",
            text.len()
        )
    };
    (0..REQUESTS).flat_map(|n| request(n).into_bytes()).collect()
}

/// Guards against the operators' picture (b): memory, or what is told of the process, grew without end under new names.
#[test]
fn new_names_leave_nothing_behind() {
    let fleet = fleet(Duration::ZERO);
    let mut program = start(&fleet, "");
    ask(program.http1, &Ask::new("first".to_owned(), "lookup", &[0]));
    // What a first crowd of requests makes the process take, it keeps.
    exchange(program.http1, &requests("warm"));
    let (names, memory) = (figures(&program).into_keys().collect::<Vec<_>>(), program.memory().unwrap());
    let logged = program.seen().len();
    for kind in ["path", "class", "tenant", "id"] {
        let answers = exchange(program.http1, &requests(kind));
        assert_eq!(answers.matches("HTTP/1.1 4").count(), REQUESTS, "{kind}");
    }
    let after: Vec<String> = figures(&program).into_keys().collect();
    assert_eq!(after, names);
    let grown = program.memory().unwrap().saturating_sub(memory);
    assert!(grown < MOST_GROWTH, "{grown} bytes more");
    assert!(program.seen().len() < logged + 100, "{:?}", program.seen());
    ask(program.http1, &Ask::new("last".to_owned(), "lookup", &[0]));
}
