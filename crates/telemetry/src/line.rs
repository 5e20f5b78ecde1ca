//! One line of the log.

use serde_json::{Map, Value};
use std::fmt::{Debug, Write};
use tracing::Level;
use tracing::field::{Field, Visit};

/// Longest value; what is beyond it is cut off.
const VALUE: usize = 512;

/// The fields of an event or span.
#[derive(Default)]
pub(crate) struct Pairs(Vec<(&'static str, Value)>);

impl Pairs {
    /// Adds those of an outer span; inner ones go first.
    pub(crate) fn extend(&mut self, outer: &Pairs) {
        for (key, value) in &outer.0 {
            if !self.0.iter().any(|(k, _)| k == key) {
                self.0.push((key, value.clone()));
            }
        }
    }

    fn put(&mut self, field: &Field, value: Value) {
        match self.0.iter_mut().find(|(key, _)| *key == field.name()) {
            Some((_, old)) => *old = value,
            None => self.0.push((field.name(), value)),
        }
    }

    fn put_text(&mut self, field: &Field, mut text: String) {
        if text.len() > VALUE {
            text.truncate(text.floor_char_boundary(VALUE));
            text.push('\u{2026}');
        }
        self.put(field, Value::String(text));
    }
}

impl Visit for Pairs {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.put_text(field, format!("{value:?}"));
    }
    fn record_str(&mut self, field: &Field, value: &str) {
        self.put_text(field, value.to_owned());
    }
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.put(field, value.into());
    }
    fn record_i64(&mut self, field: &Field, value: i64) {
        self.put(field, value.into());
    }
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.put(field, value.into());
    }
    fn record_bool(&mut self, field: &Field, value: bool) {
        self.put(field, value.into());
    }
}

/// What a line says.
pub(crate) struct Line<'a> {
    pub(crate) level: &'a Level,
    pub(crate) event: &'a str,
    pub(crate) pairs: &'a Pairs,
    pub(crate) left_out: u64,
}

impl Line<'_> {
    fn level(&self) -> &'static str {
        match *self.level {
            Level::ERROR => "error",
            Level::WARN => "warn",
            Level::INFO => "info",
            Level::DEBUG => "debug",
            Level::TRACE => "trace",
        }
    }

    pub(crate) fn logfmt(&self) -> String {
        let mut line = format!("level={} event={}", self.level(), self.event);
        for (key, value) in &self.pairs.0 {
            let text = match value {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            // Words from outside are quoted, so that they cannot forge a pair or a line.
            let plain = |b: u8| b.is_ascii_graphic() && b != b'"' && b != b'=' && b != b'\\';
            let plain = !text.is_empty() && text.bytes().all(plain);
            let _ = if plain { write!(line, " {key}={text}") } else { write!(line, " {key}={text:?}") };
        }
        if self.left_out > 0 {
            let _ = write!(line, " left_out={}", self.left_out);
        }
        line + "\n"
    }

    pub(crate) fn json(&self) -> String {
        let mut object = Map::new();
        object.insert("level".into(), self.level().into());
        object.insert("event".into(), self.event.into());
        for (key, value) in &self.pairs.0 {
            object.insert((*key).to_owned(), value.clone());
        }
        if self.left_out > 0 {
            object.insert("left_out".into(), self.left_out.into());
        }
        Value::Object(object).to_string() + "\n"
    }
}
