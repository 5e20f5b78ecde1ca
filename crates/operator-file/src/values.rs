//! Arguments as typed values. An error is what would be right.

use plover_model::time::{MILLI, Micros, SECOND};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

pub(crate) fn address(word: &str) -> Result<SocketAddr, String> {
    word.parse().map_err(|_| "expected an address with a port, as 127.0.0.1:8081 or [::1]:8081".to_owned())
}

/// A whole number within these bounds, digits alone.
pub fn whole(word: &str, within: &RangeInclusive<u64>) -> Result<u64, String> {
    let number = word.bytes().all(|b| b.is_ascii_digit()).then(|| word.parse().ok()).flatten();
    number
        .filter(|n| within.contains(n))
        .ok_or_else(|| format!("expected a whole number from {} to {}", within.start(), within.end()))
}

/// A name that may stand in a log and in a resource's name.
pub fn name(word: &str) -> Result<String, String> {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b == b'.' || b == b'-';
    let good = (1..=64).contains(&word.len()) && word.bytes().all(fits);
    good.then(|| word.to_owned()).ok_or_else(|| "expected 1 to 64 letters, digits, dots or dashes".to_owned())
}

/// A size with its unit, in bytes.
pub(crate) fn size(word: &str, within: &RangeInclusive<u64>) -> Result<u64, String> {
    let units = [("KiB", 1 << 10), ("MiB", 1 << 20), ("B", 1)];
    with_unit(word, &units, within).ok_or_else(|| {
        let show = |n: &u64| {
            units[..2]
                .iter()
                .rev()
                .find(|(_, u)| n.is_multiple_of(*u) && n >= u)
                .map_or(format!("{n}B"), |(unit, u)| format!("{}{unit}", n / u))
        };
        format!(
            "expected a size from {} to {} with its unit (B, KiB, MiB)",
            show(within.start()),
            show(within.end())
        )
    })
}

/// A span of time with its unit.
pub fn span(word: &str, within: &RangeInclusive<Micros>) -> Result<Micros, String> {
    let units = [("us", 1), ("ms", MILLI), ("s", SECOND), ("min", 60 * SECOND)];
    with_unit(word, &units, within).ok_or_else(|| {
        let show = |n: &u64| {
            units
                .iter()
                .rev()
                .find(|(_, u)| n.is_multiple_of(*u) && n >= u)
                .map_or(format!("{n}us"), |(unit, u)| format!("{}{unit}", n / u))
        };
        format!(
            "expected a time from {} to {} with its unit (us, ms, s, min)",
            show(within.start()),
            show(within.end())
        )
    })
}

/// A whole number with one of these units, times the unit; `None` where it is none or out of bounds.
pub fn with_unit(word: &str, units: &[(&str, u64)], within: &RangeInclusive<u64>) -> Option<u64> {
    let digits = word.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = word.split_at(digits);
    let (_, each) = units.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*each).filter(|n| within.contains(n))
}

/// One of these words.
pub fn choice<T: Copy>(word: &str, choices: &[(&str, T)]) -> Result<T, String> {
    choices.iter().find(|(name, _)| *name == word).map(|(_, value)| *value).ok_or_else(|| {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        format!("expected one of {}", names.join(", "))
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn units_are_written_out_and_bounds_hold() {
        assert_eq!(span("250ms", &(0..=SECOND)), Ok(250_000));
        assert_eq!(size("64KiB", &(0..=1 << 20)), Ok(65_536));
        for word in
            ["250", "ms", "-1ms", "1.5ms", "2s", "1 ms", "99999999999999999999ms", "18446744073709551615s"]
        {
            let expected = "expected a time from 1us to 1s with its unit (us, ms, s, min)";
            assert_eq!(span(word, &(1..=SECOND)), Err(expected.to_owned()), "{word}");
        }
        assert_eq!(
            size("1kb", &(1..=3 << 20)),
            Err("expected a size from 1B to 3MiB with its unit (B, KiB, MiB)".into())
        );
        assert!(whole("+1", &(0..=9)).is_err() && whole("10", &(0..=9)).is_err());
    }
}
