//! The operator's own file: what an installation sets beside the platform's configuration.
//!
//! The form is that of classic daemons: a keyword and its arguments a line, blanks between them, `#` begins a
//! comment, units are written out (`250ms`, `64KiB`). [`grammar`] splits the text into words and their places,
//! [`keywords`] says which keywords there are, what they take and when they take effect, [`settings`] makes typed
//! values of it and refuses what contradicts itself. All faults of a file are found at once, each with its place.
//!
//! ```
//! let text = "listen-http2 127.0.0.1:8443\nhttp2-streams 100 # a connection\n";
//! let settings = plover_operator_file::read("ploverport.conf", text).unwrap();
//! assert_eq!(settings.http2.unwrap().streams, Some(100));
//! let faults = plover_operator_file::read("ploverport.conf", "http2-stream 100").unwrap_err();
//! assert!(faults.to_string().contains("ploverport.conf:1:1: unknown keyword http2-stream"));
//! ```

mod fault;
pub mod grammar;
mod keywords;
mod sections;
mod settings;
pub mod values;

pub use fault::{Fault, Faults};
pub use keywords::{Effect, KEYWORDS, Keyword, SECTION_KEYWORDS, SECTIONS, nearest_of};
pub use settings::{Changes, ComeBack, Control, Http2, Log, LogFormat, LogLevel, Settings, read};

/// Longest file that is read, in bytes.
pub const LONGEST: usize = 1 << 20;
