//! Which tests the sources pass over as known red.

use crate::MARK;
use std::io;
use std::path::Path;

/// The names of all functions under this folder that are ignored as known red.
pub fn ignored_as_known_red(folder: &Path) -> io::Result<Vec<String>> {
    let mut found = Vec::new();
    let mut folders = vec![folder.to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder)? {
            let path = entry?.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|ending| ending == "rs") {
                found.extend(ignored_in(&std::fs::read_to_string(&path)?));
            }
        }
    }
    found.sort();
    Ok(found)
}

/// The same in the text of one file.
fn ignored_in(text: &str) -> Vec<String> {
    let attribute = format!("#[ignore = \"{MARK}");
    let mut waits = false;
    let mut found = Vec::new();
    for line in text.lines().map(str::trim_start) {
        waits |= line.starts_with(&attribute);
        let name = line.split_once("fn ").and_then(|(_, rest)| rest.split(['(', '<']).next());
        if let Some(name) = name.filter(|_| waits && !line.starts_with("//") && !line.starts_with('#')) {
            found.push(name.to_owned());
            waits = false;
        }
    }
    found
}
