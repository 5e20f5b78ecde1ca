//! `ploverport check`.

use crate::cli::CheckArguments;
use http::{HeaderMap, HeaderName, HeaderValue};
use miette::{GraphicalReportHandler, GraphicalTheme};
use plover_broker::operator::{platform, read_checked, read_text};
use plover_operator_file::{Effect, Faults, KEYWORDS, SECTION_KEYWORDS, SECTIONS};
use plover_routes::{QueryAttributes, RouteTable};
use plover_rules::PlatformSettings;
use serde_json::{Value, json};
use std::io::{IsTerminal, Write};
use std::path::Path;
use std::process::ExitCode;

/// Says whether a file can be used, and why not.
pub(crate) fn run(arguments: &CheckArguments) -> ExitCode {
    let Some(file) = &arguments.file else {
        say(&keywords());
        return ExitCode::SUCCESS;
    };
    let name = file.display().to_string();
    let platform = platform_rules(arguments.platform.as_deref());
    let (settings, faults, text) = match (read_text(file), &platform) {
        (_, Err(error)) => (None, None, Some(error.clone())),
        (Ok(text), Ok(platform)) => match read_checked(&name, &text, platform.as_ref()) {
            Ok(settings) => (Some(settings), None, None),
            Err(faults) => (None, Some(faults), None),
        },
        (Err(error), _) => (None, None, Some(error)),
    };
    let count = faults.as_ref().map_or(usize::from(text.is_some()), |f| f.0.len());
    if arguments.json {
        say(&(report(file, faults.as_ref(), text.as_deref()).to_string() + "\n"));
    } else if let Some(error) = text {
        complain(&format!("{error}\n"));
    } else if let Some(faults) = faults {
        complain(&pictures(&faults));
    } else {
        let unknown = "; the platform's rules were not looked at, since neither --platform nor RELAY_CONFIG names its configuration";
        let rules = if matches!(platform, Ok(Some(_))) { "" } else { unknown };
        say(&format!("{name}: it can be used{rules}\n"));
        for remark in settings.iter().flat_map(|s| plover_rules::remarks(&s.table)) {
            say(&format!("{name}:{}: {}\n", remark.line, remark.text));
        }
    }
    if let (Some(query), Some(settings)) = (&arguments.explain, &settings) {
        match explain(&settings.table, query) {
            Ok(text) => say(&text),
            Err(error) => {
                complain(&format!("--explain: {error}\n"));
                return ExitCode::FAILURE;
            }
        }
    }
    if count == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The rules of the platform's configuration, if one is named; the error says why it cannot be read.
fn platform_rules(file: Option<&Path>) -> Result<Option<PlatformSettings>, String> {
    let file = file.map(|f| f.display().to_string());
    let named = move |key: &str| match key {
        "RELAY_CONFIG" => file.clone().or_else(|| plover_config::environment(key)),
        _ => plover_config::environment(key),
    };
    if named("RELAY_CONFIG").is_none() {
        return Ok(None);
    }
    Ok(Some(platform(&plover_config::read(named)?)))
}

/// Which line decides which value for a query that is described in words.
fn explain(table: &RouteTable, query: &str) -> Result<String, String> {
    let mut words = query.split_whitespace();
    let class = words.next().ok_or("expected a class, as in \"lookup tenant=public-site\"")?;
    let (mut path, mut tenant, mut headers) = (format!("/{class}"), "", HeaderMap::new());
    for word in words {
        let (name, value) = word.split_once('=').ok_or_else(|| format!("{word}: expected NAME=VALUE"))?;
        match name {
            "path" => path = value.to_owned(),
            "tenant" => tenant = value,
            _ => {
                let name = HeaderName::try_from(name).map_err(|_| format!("{name} is no name of a field"))?;
                let value =
                    HeaderValue::try_from(value).map_err(|_| format!("{value:?} is no value of a field"))?;
                headers.append(name, value);
            }
        }
    }
    let (route, lines) = table.explain(&QueryAttributes { path: &path, class, tenant, headers: &headers });
    let mut text = format!("{query}: {}\n", route.map_or("no route".to_owned(), |r| format!("route {r}")));
    for l in lines {
        let value = l.value.unwrap_or_else(|| "-".to_owned());
        let from = l
            .source
            .map_or("as the platform has it".to_owned(), |(owner, line)| format!("{owner}, line {line}"));
        text += &format!("{:<18} {value:<12} {from}\n", l.keyword);
    }
    Ok(text)
}

/// Standard output may be a pipe whose reader has gone: that is no fault of the file.
fn say(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn complain(text: &str) {
    let _ = std::io::stderr().write_all(text.as_bytes());
}

fn report(file: &Path, faults: Option<&Faults>, error: Option<&str>) -> Value {
    let one = |f: &plover_operator_file::Fault| json!({"line": f.line, "column": f.column, "what": f.what, "expected": f.expected});
    let mut list: Vec<Value> = faults.map(|f| f.0.iter().map(one).collect()).unwrap_or_default();
    list.extend(error.map(|e| json!({"what": e})));
    json!({"file": file.display().to_string(), "usable": list.is_empty(), "faults": list})
}

/// Every fault with its line and the word underlined.
fn pictures(faults: &Faults) -> String {
    let theme =
        if std::io::stderr().is_terminal() { GraphicalTheme::unicode() } else { GraphicalTheme::none() };
    let handler = GraphicalReportHandler::new_themed(theme);
    let mut text = String::new();
    for fault in &faults.0 {
        if handler.render_report(&mut text, fault).is_err() {
            text += &format!("{fault}\n");
        }
    }
    text + &format!(
        "{} to mend\n",
        if faults.0.len() == 1 { "one fault".into() } else { format!("{} faults", faults.0.len()) }
    )
}

fn keywords() -> String {
    let effect = |e| match e {
        Effect::AtOnce => "at once",
        Effect::NewConnections => "for new connections",
        Effect::Restart => "at a restart",
    };
    let row = |a: &str, b: &str, c: &str, d: &str| format!("{a:<24} {b:<38} {c:<20} {d}\n");
    let mut text = row("keyword", "takes", "a change holds", "what it is");
    for k in KEYWORDS {
        text += &row(k.name, k.takes, effect(k.effect), k.about);
    }
    for (name, takes, about) in SECTIONS {
        text += &row(name, takes, "begins a section", about);
    }
    for k in SECTION_KEYWORDS {
        text += &row(k.name, k.takes, "for new queries", k.about);
    }
    text
}
