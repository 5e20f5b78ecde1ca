//! Whole files: what they set, and what they are refused for.

use plover_operator_file::{
    Changes, Effect, KEYWORDS, LogFormat, LogLevel, SECTION_KEYWORDS, Settings, read,
};
use proptest::prelude::*;

const FULL: &str = "\
# An installation with both fronts.
log-format json
log-level  debug
gather-time 500us
listen-http2 127.0.0.1:8081   # without TLS
http2-connections 64
http2-streams 200
http2-connection-window 1MiB
http2-header-list 16KiB
come-back-fleet 30
come-back-lists 60
come-back-ask 3s
come-back-spread 2s
come-back-part 20s
control-listen 127.0.0.1:18000
control-name data.example
control-instances 3
control-instance 2
control-peers 127.0.0.1:18001,127.0.0.1:18002
control-streams 3000
control-server-cores 4
control-request-work 90ms
control-time-to-live 3s
control-longest-pause 5s
control-cut-off 20s
control-ping 4s
";

fn faults(text: &str) -> Vec<String> {
    read("f", text).unwrap_err().0.iter().map(ToString::to_string).collect()
}

#[test]
fn a_file_with_every_keyword_is_read() {
    let settings = read("f", FULL).unwrap();
    assert_eq!((settings.log.format, settings.log.level), (LogFormat::Json, LogLevel::Debug));
    assert_eq!(settings.gather, Some(500));
    let http2 = settings.http2.unwrap();
    assert_eq!((http2.listen.port(), http2.connections, http2.streams), (8081, Some(64), Some(200)));
    assert_eq!((http2.connection_window, http2.header_list), (Some(1 << 20), Some(16 << 10)));
    let back = settings.come_back.unwrap();
    assert_eq!((back.fleet, back.lists), (30, 60));
    assert_eq!((back.ask, back.spread, back.part), (3_000_000, 2_000_000, 20_000_000));
    let control = settings.control.unwrap();
    assert_eq!(
        (control.listen.port(), control.name.as_str(), control.streams),
        (18000, "data.example", 3000)
    );
    assert_eq!((control.instances, control.instance, control.cores), (3, 2, 4));
    assert_eq!((control.request_work, control.time_to_live), (90_000, 3_000_000));
    assert_eq!((control.longest_pause, control.peers.len()), (5_000_000, 2));
    assert_eq!((control.cut_off, control.ping), (Some(20_000_000), 4_000_000));
    let never = read("f", "control-listen [::1]:1\ncontrol-cut-off never\n").unwrap().control.unwrap();
    assert_eq!((never.cut_off, never.ping), (None, 10_000_000));
    let three = faults("control-listen [::1]:1\ncontrol-instances 3\ncontrol-instance 3\ncontrol-name a/b\n");
    assert_eq!(three.len(), 2, "{three:?}");
    assert!(three[0].contains("control-instances, 3") && three[1].contains("letters"), "{three:?}");
    assert!(KEYWORDS.iter().all(|k| FULL.contains(k.name)), "a keyword is not tested");
    assert_eq!(read("f", "").unwrap(), Settings::default());
}

const SECTIONED: &str = "\
log-level warn
defaults
most-in-hand 500
class lookup
time-out 1500ms  # the aim
attempts 3
route slow-reports
match-path /ranking
match-class ranking
match-tenant public-site
match-header X-Kind report
match-header x-other
time-out 3s
attempt-time-out 900ms
rate 100/s 20
";

#[test]
fn sections_are_read_with_their_places() {
    let settings = read("f", SECTIONED).unwrap();
    assert!(SECTION_KEYWORDS.iter().all(|k| SECTIONED.contains(k.name)), "a keyword is not tested");
    let table = &settings.table;
    assert_eq!(table.defaults.max_open.as_ref().map(|s| (s.value, s.at.line)), Some((500, 3)));
    let lookup = &table.classes[0];
    assert_eq!(
        (lookup.name.as_str(), lookup.at.line, &SECTIONED[lookup.at.span.clone()]),
        ("lookup", 4, "lookup")
    );
    assert_eq!(lookup.overrides.time_out.as_ref().map(|s| (s.value, s.at.line)), Some((1_500_000, 5)));
    let route = &table.routes[0];
    let fields = [
        (http::HeaderName::from_static("x-kind"), Some("report".to_owned())),
        (http::HeaderName::from_static("x-other"), None),
    ];
    assert_eq!((route.name.as_str(), route.matcher.headers.as_slice()), ("slow-reports", &fields[..]));
    assert_eq!(route.overrides.rate.as_ref().map(|s| (s.value.per_second, s.value.burst)), Some((100, 20)));
    assert_eq!(route.overrides.attempt_time_out.as_ref().map(|s| s.value), Some(900_000));
    // A comment more is no change, another figure is one.
    let same = read("f", &SECTIONED.replace("# the aim", "")).unwrap();
    assert_eq!(settings.changes(&same), Changes::default());
    let other = read("f", &SECTIONED.replace("500", "501")).unwrap();
    assert_eq!(settings.changes(&other).now, ["sections"]);
    assert_eq!(settings.adopt(&other).table, other.table);
}

#[test]
fn faults_of_sections_have_their_places_and_are_found_together() {
    let text = "attempts 3\nclass lookup\nattempts 3\nattempts 2\nlog-level warn\nmatch-path /a\ntime-out 3\n\
        class lookup\ntime-out 1s\nroute\nroute a b\nroute r\nrate 100 20\nrate 1/s\nmatch-path a\nmatch-header a:b\n\
        defaults x\nmatch-tenant t\nattempt 3\nroute q/q\n";
    let all = faults(text);
    for expected in [
        "f:1:1: attempts stands in no section",
        "f:4:1: attempts is given twice in its section; it stands on line 3",
        "f:5:1: log-level stands in a section",
        "f:6:1: match-path stands in no route",
        "f:7:10: 3 is no argument for time-out",
        "f:8:1: class lookup is given twice; it begins on line 2",
        "f:10:1: route lacks its name",
        "f:11:9: b is one too many for route",
        "f:13:6: 100 is no argument for rate; expected a rate and a burst, as 100/s 20",
        "f:14:1: rate is given twice",
        "f:15:12: a is no argument for match-path",
        "f:16:14: a:b is no argument for match-header",
        "f:17:10: x is one too many for defaults",
        "f:19:1: unknown keyword attempt; did you mean attempts?",
        "f:20:7: q/q is no name",
    ] {
        assert!(all.iter().any(|f| f.starts_with(expected)), "{expected}: {all:#?}");
    }
}

/// A faulty file is owed all its faults at once: each round of mending and trying again takes a person's time.
#[test]
fn every_fault_has_its_place_and_says_what_is_right() {
    let text = "log-levle info\nlog-level loud\nlog-format json json\nhttp2-streams 0\nlog-level info\ngather-time\nx\u{e9}\"y 1\n";
    assert_eq!(
        faults(text),
        [
            "f:1:1: unknown keyword log-levle; did you mean log-level?",
            "f:2:11: loud is no argument for log-level; expected one of error, warn, info, debug, trace",
            "f:3:17: json is one too many for log-format; expected logfmt or json and no more",
            "f:4:1: http2-streams says something of what is not there; it needs listen-http2",
            "f:4:15: 0 is no argument for http2-streams; expected a whole number from 1 to 65536",
            "f:5:1: log-level is given twice; it stands on line 2",
            "f:6:1: gather-time lacks its argument; expected a time, 0us to 50ms",
            "f:7:1: unknown keyword \"x\u{e9}\\\"y\"",
        ]
    );
}

#[test]
fn a_change_is_told_by_when_it_takes_effect_and_a_restart_is_waited_for() {
    let old = read("f", FULL).unwrap();
    let text = FULL.replace("8081", "9091").replace("streams 200", "streams 100").replace("debug", "info");
    let new = read("f", &text).unwrap();
    let changes = old.changes(&new);
    assert_eq!((changes.now, changes.restart), (vec!["log-level", "http2-streams"], vec!["listen-http2"]));
    let adopted = old.adopt(&new);
    let http2 = adopted.http2.unwrap();
    assert_eq!((http2.listen.port(), http2.streams, adopted.log.level), (8081, Some(100), LogLevel::Info));
    // What waits for the restart is told again with each file until it comes.
    assert_eq!(adopted.changes(&new).restart, ["listen-http2"]);
    assert_eq!(old.adopt(&read("f", "").unwrap()).http2, old.http2);
    assert!(KEYWORDS.iter().any(|k| k.effect == Effect::NewConnections));
}

proptest! {
    /// Whatever stands in a file: settings or faults, each within the text, and no panic.
    #[test]
    fn any_text_is_read_or_has_faults(text in "(log-level|listen-http2|http2-connection-window|[a-z-]{0,12}|\\PC{0,6}|#| |\t|\r|\n|7|64KiB|127.0.0.1:1){0,40}") {
        match read("f", &text) {
            Ok(settings) => prop_assert_eq!(settings.changes(&settings), Default::default()),
            Err(faults) => for fault in faults.0 {
                prop_assert!(text.get(fault.span.clone()).is_some());
                prop_assert!(!fault.to_string().contains('\n'));
            }
        }
    }
}

/// A fleet that takes longer to ask than any of its brokers waits would go by what it remembers.
#[test]
fn a_fleet_has_time_to_ask_for_its_list() {
    let good = read("f", "come-back-fleet 300\n").unwrap().come_back.unwrap();
    assert_eq!((good.fleet, good.lists, good.ask, good.spread), (300, 100, 5_000_000, 1_000_000));
    let faults = read("f", "come-back-fleet 4096\n").unwrap_err().to_string();
    assert!(faults.contains("f:1:1") && faults.contains("come-back-lists 820 or more"), "{faults}");
    let faults = read("f", "come-back-ask 1s\n").unwrap_err().to_string();
    assert!(faults.contains("it needs come-back-fleet"), "{faults}");
}
