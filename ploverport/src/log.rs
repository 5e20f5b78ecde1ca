//! Log lines on standard error: a level, an event and `key=value` pairs. Each event is limited in rate, so that
//! a trouble that repeats cannot flood the log; what was left out is counted in the next line of its event.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::{Display, Write as _};
use std::io::Write as _;
use std::time::{Duration, Instant};

/// One line of an event in this time; the start and the end of the program are logged whatever came before.
const EVERY: Duration = Duration::from_secs(1);

thread_local! {
    static SEEN: RefCell<BTreeMap<&'static str, (Instant, u64)>> = const { RefCell::new(BTreeMap::new()) };
}

/// Something an operator may want to know.
pub fn info(event: &'static str, pairs: &[(&str, &dyn Display)]) {
    write("info", event, pairs);
}

/// Something that costs service or may come to.
pub fn warn(event: &'static str, pairs: &[(&str, &dyn Display)]) {
    write("warn", event, pairs);
}

/// Something that ends the program.
pub fn error(event: &'static str, pairs: &[(&str, &dyn Display)]) {
    write("error", event, pairs);
}

fn write(level: &str, event: &'static str, pairs: &[(&str, &dyn Display)]) {
    let Some(left_out) = admit(event, Instant::now()) else { return };
    // A reader of the log that has gone must not bring the program down, as a panicking print would.
    let _ = writeln!(std::io::stderr(), "{}", line(level, event, pairs, left_out));
}

/// Whether a line of this event may go out; if so, how many did not since the last.
fn admit(event: &'static str, now: Instant) -> Option<u64> {
    SEEN.with_borrow_mut(|seen| match seen.get_mut(event) {
        Some((last, left_out)) if now.duration_since(*last) < EVERY => {
            *left_out += 1;
            None
        }
        _ => Some(seen.insert(event, (now, 0)).map_or(0, |(_, left_out)| left_out)),
    })
}

fn line(level: &str, event: &str, pairs: &[(&str, &dyn Display)], left_out: u64) -> String {
    let mut line = format!("level={level} event={event}");
    for (key, value) in pairs {
        let value = value.to_string();
        // Words from outside are quoted, so that they cannot forge a pair or a line.
        let plain =
            !value.is_empty() && value.bytes().all(|b| b.is_ascii_graphic() && b != b'"' && b != b'=');
        let _ = if plain { write!(line, " {key}={value}") } else { write!(line, " {key}={value:?}") };
    }
    if left_out > 0 {
        let _ = write!(line, " left_out={left_out}");
    }
    line
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn odd_values_are_quoted() {
        let text = line("warn", "x", &[("a", &"1"), ("b", &"two\nlevel=info")], 3);
        assert_eq!(text, "level=warn event=x a=1 b=\"two\\nlevel=info\" left_out=3");
    }

    #[test]
    fn repeats_within_a_second_are_counted_not_printed() {
        let start = Instant::now();
        assert_eq!(admit("limit", start), Some(0));
        assert_eq!(admit("limit", start + EVERY / 2), None);
        assert_eq!(admit("limit", start + EVERY), Some(1));
    }
}
