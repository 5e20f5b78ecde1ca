//! Tests of the adapter binary with hand-written lines of the wire protocol.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ENV: &str = r#"{"Allowed":{"Cancel":true,"SendCap":3,"SecondCopies":true,"RetryAfter":true,"MaxRetryAfter":500.0,
"Unheard":[1]},"Clients":{"MarksRetry":true},"FamilyInfo":{"Batch":8,"Call":20.0,"ClassNeed":[1.0],"FetchParts":[0],
"MinShare":[1.0],"PartialEarns":[0.9],"Positions":2,"Shards":2,"Width":2},"MembershipMode":"on_request","PeersTotal":2,
"Rules":{"AskWithin":10000.0,"Cold":9000.0,"ColdFrom":0.2,"Fall":2000.0,"FallMultiple":2.0},"Tick":5.0,
"Services":[{"Aim":1000.0,"GiveUp":4000.0,"Gain":1.0,"LateWorth":0.3,"MemorySpan":5000.0,"Semantics":"repeatable"}]}"#;

const LEDGER: &str = r#"{"t":"Ledger","Slot":3,"MembersList":[{"Node":"10.0.0.1:80","Position":0,"Mode":"in_service"},
{"Node":"10.0.0.2:80","Position":1,"Mode":"in_service","StartTime":0}]}"#;

/// Runs the adapter with these lines as its input.
fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_brookbend-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input: String = lines.iter().map(|l| l.replace('\n', "") + "\n").collect();
    input.push('\n');
    // A process that has exited after an error no longer reads; a failed write is then expected.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn launch(n: u64) -> String {
    format!(r#"{{"t":"Launch","I":{n},"RngSeed":5,"Env":{ENV}}}"#)
}

fn known(n: u64) -> String {
    format!(r#"{{"t":"PeersKnown","I":{n},"Mode":"disk","Stamp":1,"Slot":3}}"#)
}

fn order(n: u64, id: &str, slice: i32) -> String {
    format!(
        r#"{{"t":"Order","I":{n},"OpId":"{id}","Service":0,"Team":0,"GiveUpAt":4100.5,"GroupNo":1,"Slice":{slice},"Measure":1.0}}"#
    )
}

fn tick(n: u64, at: f64) -> String {
    format!(r#"{{"t":"Tick","Moment":{at},"n":{n}}}"#)
}

const END: &str = r#"{"t":"EofBatch"}"#;

/// The lines that the adapter has printed.
fn output_lines(output: &Output) -> Vec<serde_json::Value> {
    String::from_utf8_lossy(&output.stdout).lines().map(|l| serde_json::from_str(l).unwrap()).collect()
}

#[test]
fn a_query_is_sent_and_answered_and_every_batch_is_ended() {
    let served = r#"{"t":"ReportBack","I":4,"OpId":"t/p","Hop":0,"Node":"10.0.0.1:80","Rc":"served","Rtt":30.0,"Gauge":{"x":1}}"#;
    let (l, k, q, p) = (launch(4), known(4), order(4, "t/q", -1), order(4, "t/p", 0));
    let (a, b, c) = (tick(1, 100.0), tick(2, 105.0), tick(3, 140.0));
    let output = run(&[&a, &l, LEDGER, &k, END, &b, &q, &p, END, &c, served, END]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let lines = output_lines(&output);
    let of_type = |t: &str| lines.iter().filter(|l| l["t"] == t).collect::<Vec<_>>();
    assert_eq!(of_type("KeepInformed").len(), 1);
    assert_eq!(of_type("Issue").len(), 1);
    assert_eq!(of_type("Issue")[0]["OpId"], "t/p");
    assert_eq!(of_type("Issue")[0]["I"], 4);
    assert_eq!(of_type("Answer")[0]["Full"], true);
    let ends: Vec<_> = of_type("End").iter().map(|l| l["n"].as_u64().unwrap()).collect();
    assert_eq!(ends, [1, 2, 3]);
}

#[test]
fn instances_are_independent_and_a_destroyed_one_starts_afresh() {
    let destroy = r#"{"t":"Destroy","I":4}"#;
    let (l, k, q, p) = (launch(4), known(4), order(4, "t/q", -1), order(4, "t/p", 0));
    let (l5, k5) = (launch(5), known(5));
    let (a, b, c) = (tick(1, 100.0), tick(2, 105.0), tick(3, 4200.0));
    let output = run(&[&a, &l, LEDGER, &k, &l5, &k5, END, &b, &q, &p, END, &c, destroy, &l, &k, END]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let lines = output_lines(&output);
    let issues: Vec<_> = lines.iter().filter(|l| l["t"] == "Issue").collect();
    assert!(issues.len() == 1 && issues[0]["I"] == 4);
    assert!(lines.iter().all(|l| l["t"] != "NotNow"), "the queries of the destroyed instance are forgotten");
}

#[test]
fn an_empty_batch_and_empty_input_are_accepted() {
    let output = run(&[&tick(7, 1.0), END]);
    assert!(output.status.success());
    assert_eq!(output_lines(&output), vec![serde_json::json!({"t": "End", "n": 7})]);
    assert!(run(&[]).status.success());
}

#[test]
fn bad_input_is_reported_in_one_line_with_a_failure_exit() {
    let t = tick(12, 100.0);
    let l = launch(4);
    let no_aim = l.replace("\"Aim\"", "\"Game\"");
    let bad_seed = l.replace("\"RngSeed\":5", "\"RngSeed\":\"five\"");
    let k = known(4);
    let no_slice = order(4, "t/q", -1).replace("\"Slice\"", "\"Slicer\"");
    let class = order(4, "t/q", -1).replace("\"Service\":0", "\"Service\":9");
    let cases: Vec<(Vec<&str>, Vec<&str>)> = vec![
        (vec![&t, "{nonsense"], vec!["batch 12", "not JSON"]),
        (vec![&t, "[1]"], vec!["batch 12", "not an object"]),
        (vec![&t, r#"{"t":"Surprise","I":4}"#], vec!["batch 12", "Surprise", "I"]),
        (vec![&t, &l, r#"{"t":"Surprise","I":4}"#], vec!["batch 12", "Surprise", "unknown"]),
        (vec![&t, r#"{"t":"Dropped","I":4,"OpId":"t/q"}"#], vec!["Dropped", "field I", "never launched"]),
        (vec![&t, &l, &k], vec!["PeersKnown", "Slot", "never declared"]),
        (vec![&t, &no_aim], vec!["batch 12", "Aim", "missing"]),
        (vec![&t, &bad_seed], vec!["Launch", "RngSeed", "not a whole number"]),
        (vec![&t, &l, &no_slice], vec!["Order", "Slice", "missing"]),
        (vec![&t, &l, &class], vec!["Order", "Service"]),
        (vec![r#"{"t":"EofBatch"}"#], vec!["EofBatch", "no batch"]),
        (vec![r#"{"t":"Tick","Moment":1.0}"#], vec!["Tick", "field n"]),
    ];
    for (lines, words) in cases {
        let output = run(&lines);
        let err = String::from_utf8_lossy(&output.stderr).to_string();
        assert_eq!(output.status.code(), Some(1), "{err}");
        assert_eq!(err.lines().count(), 1, "{err}");
        assert!(words.iter().all(|w| err.contains(w)), "{err} lacks one of {words:?}");
        assert!(output.stdout.is_empty());
    }
}

#[test]
fn load_reports_reach_the_module_and_malformed_ones_are_ignored() {
    // How many of eight queries that either server could answer go to the one that answered first.
    let sent_to_first = |gauge: &str| {
        let (l, k) = (launch(4), known(4));
        let mut lines = vec![tick(1, 100.0), l, LEDGER.to_string(), k, END.to_string()];
        lines.extend([tick(2, 105.0), order(4, "t/q", -1), order(4, "t/p", 0), END.to_string()]);
        let texts: Vec<&str> = lines.iter().map(String::as_str).collect();
        let first = output_lines(&run(&texts)).into_iter().find(|l| l["t"] == "Issue").unwrap();
        let node = first["Node"].as_str().unwrap().to_string();
        let head = format!(r#""I":4,"OpId":"t/p","Hop":0,"Node":"{node}","Rc":"served","Rtt":30.0"#);
        lines.extend([tick(3, 140.0), format!(r#"{{"t":"ReportBack",{head}{gauge}}}"#), END.to_string()]);
        lines.push(tick(4, 145.0));
        for n in 2..10 {
            let group = |line: String| line.replace("\"GroupNo\":1", &format!("\"GroupNo\":{n}"));
            lines.extend([group(order(4, &format!("t/q{n}"), -1)), group(order(4, &format!("t/p{n}"), 0))]);
        }
        lines.push(END.to_string());
        let texts: Vec<&str> = lines.iter().map(String::as_str).collect();
        let output = run(&texts);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        output_lines(&output).iter().filter(|l| l["t"] == "Issue" && l["Node"] == node.as_str()).count() - 1
    };
    let none = sent_to_first("");
    assert!(none > 0);
    assert_eq!(sent_to_first(r#","Gauge":{"rif":40,"q":38}"#), 0);
    assert_eq!(
        sent_to_first(r#","Gauge":{"q":38}"#),
        0,
        "the number of waiting parts is used if that of held requests is absent"
    );
    for malformed in
        [r#","Gauge":{"rif":"many"}"#, r#","Gauge":{"rif":-5}"#, r#","Gauge":[1]"#, r#","Gauge":{"rate":99}"#]
    {
        assert_eq!(sent_to_first(malformed), none, "{malformed}");
    }
}
