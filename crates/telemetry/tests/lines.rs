//! The lines as they leave the process: this test runs itself with the log on and reads what it wrote.

use plover_telemetry::{Format, init, set};
use std::process::{Command, Stdio};
use tracing::{Level, debug, debug_span, error, info, warn};

/// Not a test by itself: what the child of the tests below logs.
#[test]
fn child() {
    let Ok(format) = std::env::var("PLOVER_TEST_LOG") else { return };
    let format = if format == "json" { Format::Json } else { Format::Logfmt };
    init(format, Level::INFO);
    info!(name: "plain", target: "plover::test", count = 3, words = "two", server = %"s1");
    warn!(name: "forged", target: "plover::test", words = "x\nlevel=error event=fire a=\"b\"");
    debug!(name: "below", target: "plover::test", n = 1);
    (0..3).for_each(|n| error!(name: "often", target: "plover::test", n));
    set(format, Level::DEBUG);
    let span = debug_span!(target: "plover::test", "query", query = 7, conn = 2);
    span.in_scope(|| debug!(name: "sent", target: "plover::test", conn = 9, part = 1));
    warn!(name: "foreign", target: "h2::proto", n = 1);
    info!(name: "long", target: "plover::test", words = "\u{e9}".repeat(600));
}

fn logged(format: &str) -> Vec<String> {
    let out = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "child", "--nocapture", "--test-threads=1"])
        .env("PLOVER_TEST_LOG", format)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .output()
        .unwrap();
    String::from_utf8(out.stderr).unwrap().lines().map(str::to_owned).collect()
}

#[test]
fn logfmt_lines_hold_what_was_said_and_cannot_be_forged() {
    let lines = logged("logfmt");
    let expected = [
        "level=info event=plain count=3 words=two server=s1",
        "level=warn event=forged words=\"x\\nlevel=error event=fire a=\\\"b\\\"\"",
        "level=error event=often n=0",
        "level=debug event=sent conn=9 part=1 query=7",
    ];
    assert_eq!(lines[..4], expected);
    assert!(lines[4].starts_with("level=info event=long words=\"") && lines[4].chars().count() < 300);
    assert_eq!(lines.len(), 5);
}

#[test]
fn json_lines_hold_the_same() {
    let lines = logged("json");
    let values: Vec<serde_json::Value> = lines.iter().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert_eq!(values[0]["count"], 3);
    assert_eq!(values[1]["words"], "x\nlevel=error event=fire a=\"b\"");
    assert_eq!((&values[3]["query"], &values[3]["conn"]), (&7.into(), &9.into()));
    assert_eq!(values.len(), 5);
}
