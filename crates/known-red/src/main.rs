//! Plays the list of known failures: `known-red [LIST] [SOURCES]`, by default `KNOWN-RED.txt` and `crates` in this folder.
//!
//! Fails if the list cannot be read, if an entry names no test, if a test is ignored as known red and not listed, if an entry
//! that fails always passes, or if an entry could not be played.

use plover_known_red::{Entry, Verdict, ignored_as_known_red, judge, names_a_test, parse, play, unlisted};
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let list = arguments.next().unwrap_or_else(|| "KNOWN-RED.txt".to_owned());
    let sources = arguments.next().unwrap_or_else(|| "crates".to_owned());
    match check(Path::new(&list), Path::new(&sources)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("known red: {error}");
            ExitCode::FAILURE
        }
    }
}

/// True: the list is true.
fn check(list: &Path, sources: &Path) -> Result<bool, Box<dyn std::error::Error>> {
    // No list: nothing is known red.
    let text = if list.exists() { std::fs::read_to_string(list)? } else { String::new() };
    let entries = parse(&text)?;
    let mut is_true = true;
    for name in unlisted(&entries, &ignored_as_known_red(sources)?) {
        println!("known red: {name} is ignored as known red, and has no entry");
        is_true = false;
    }
    for entry in &entries {
        is_true &= play_one(entry)?;
    }
    println!("known red: {} listed", entries.len());
    Ok(is_true)
}

fn play_one(entry: &Entry) -> Result<bool, Box<dyn std::error::Error>> {
    let (test, issue) = (&entry.test, entry.issue);
    let listing: Vec<String> = entry.command.iter().cloned().chain(["--list".to_owned()]).collect();
    if !names_a_test(entry, &play::run(&listing)?) {
        println!("known red: {test} (issue {issue}) names no test that is ignored");
        return Ok(false);
    }
    let verdict = judge(entry, &play::run(&entry.command)?);
    match &verdict {
        Verdict::StillRed(lines) => println!("still red: {test} (issue {issue}): {}", lines.join(" ")),
        Verdict::PassedThisTime => {
            println!("passes this time: {test} (issue {issue}), listed as failing at times")
        }
        Verdict::TakeItOff => println!("passes: take it off: {test} (issue {issue})"),
        Verdict::NotPlayed(lines) => println!("not played: {test} (issue {issue}): {}", lines.join(" ")),
    }
    Ok(verdict.is_as_listed())
}
