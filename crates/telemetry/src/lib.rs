//! The log: `tracing` events as lines on standard error, logfmt or JSON.
//!
//! An event goes by its name (`tracing::warn!(name: "front_full", open)`), which is what on-call staff look up. Each
//! event is limited to one line a second, so that a trouble that repeats cannot flood the log; what was left out is
//! counted in the next line of its event. Words from outside cannot forge a pair or a line. Only the project's own
//! events are logged; libraries' are not, at any level.

mod limiter;
mod line;

use limiter::Limiter;
use line::{Line, Pairs};
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;
use tracing::level_filters::LevelFilter;
use tracing::span::{Attributes, Id, Record};
use tracing::subscriber::Interest;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

/// Form of the lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `key=value` pairs.
    #[default]
    Logfmt,
    /// One JSON object a line.
    Json,
}

/// What can change while the program runs.
struct Mode {
    json: AtomicBool,
    /// Index in [`LEVELS`].
    level: AtomicU8,
}

const LEVELS: [Level; 5] = [Level::ERROR, Level::WARN, Level::INFO, Level::DEBUG, Level::TRACE];

static MODE: Mode = Mode { json: AtomicBool::new(false), level: AtomicU8::new(2) };
static INSTALLED: OnceLock<()> = OnceLock::new();

/// Logs to standard error from now on, for the whole process. A second call changes the mode alone.
pub fn init(format: Format, level: Level) {
    set(format, level);
    INSTALLED.get_or_init(|| {
        let layer = Log { out: Mutex::new(std::io::stderr()), limiter: Limiter::default() };
        let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(layer));
    });
}

/// Changes form and level while the program runs.
pub fn set(format: Format, level: Level) {
    MODE.json.store(format == Format::Json, Ordering::Relaxed);
    let index = LEVELS.iter().position(|l| *l == level).unwrap_or(2);
    MODE.level.store(index as u8, Ordering::Relaxed);
    tracing::callsite::rebuild_interest_cache();
}

fn level() -> Level {
    LEVELS[usize::from(MODE.level.load(Ordering::Relaxed)).min(LEVELS.len() - 1)]
}

/// Whether an event or span is the project's own, and of a level that is logged.
fn is_wanted(metadata: &Metadata<'_>) -> bool {
    *metadata.level() <= level() && metadata.target().starts_with("plover")
}

/// Writes lines.
struct Log<W> {
    out: Mutex<W>,
    limiter: Limiter,
}

impl<S, W> Layer<S> for Log<W>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    W: Write + Send + 'static,
{
    fn register_callsite(&self, metadata: &'static Metadata<'static>) -> Interest {
        if is_wanted(metadata) { Interest::always() } else { Interest::never() }
    }

    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        is_wanted(metadata)
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::from_level(level()))
    }

    fn on_new_span(&self, attributes: &Attributes<'_>, id: &Id, context: Context<'_, S>) {
        let mut pairs = Pairs::default();
        attributes.record(&mut pairs);
        if let Some(span) = context.span(id) {
            span.extensions_mut().insert(pairs);
        }
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, context: Context<'_, S>) {
        if let Some(span) = context.span(id)
            && let Some(pairs) = span.extensions_mut().get_mut::<Pairs>()
        {
            values.record(pairs);
        }
    }

    fn on_event(&self, event: &Event<'_>, context: Context<'_, S>) {
        let metadata = event.metadata();
        let Some(left_out) = self.limiter.admit(metadata.name(), Instant::now()) else { return };
        let mut pairs = Pairs::default();
        event.record(&mut pairs);
        for span in context.event_scope(event).into_iter().flatten() {
            if let Some(outer) = span.extensions().get::<Pairs>() {
                pairs.extend(outer);
            }
        }
        let line = Line { level: metadata.level(), event: metadata.name(), pairs: &pairs, left_out };
        let text = if MODE.json.load(Ordering::Relaxed) { line.json() } else { line.logfmt() };
        // A reader of the log that has gone must not bring the program down, as a panicking print would.
        if let Ok(mut out) = self.out.lock() {
            let _ = out.write_all(text.as_bytes());
        }
    }
}
