//! `ploverport check`.

use crate::cli::CheckArguments;
use miette::{GraphicalReportHandler, GraphicalTheme};
use plover_broker::operator::read_text;
use plover_operator_file::{Effect, Faults, KEYWORDS, read};
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
    let (faults, text) = match read_text(file) {
        Ok(text) => (read(&name, &text).err(), None),
        Err(error) => (None, Some(error)),
    };
    let count = faults.as_ref().map_or(usize::from(text.is_some()), |f| f.0.len());
    if arguments.json {
        say(&(report(file, faults.as_ref(), text.as_deref()).to_string() + "\n"));
    } else if let Some(error) = text {
        complain(&format!("{error}\n"));
    } else if let Some(faults) = faults {
        complain(&pictures(&faults));
    } else {
        say(&format!("{name}: it can be used\n"));
    }
    if count == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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
    text
}
