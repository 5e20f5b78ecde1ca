//! HTTP/1.1 framing without sockets (RFC 9112): bytes in, whole messages out, and the other way.
//!
//! A decoder takes what has come and keeps where it stands, so that no byte is looked at for every read that a
//! message arrives in. It is strict where leniency is how requests are smuggled past a front: what RFC 9112 lets a
//! server refuse, it refuses. Discarded on purpose: chunk extensions and trailer fields.
//!
//! ```
//! use plover_http1::{Limits, RequestDecoder, Step};
//!
//! let mut input = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n".to_vec();
//! let mut decoder = RequestDecoder::new(Limits { head: 16 * 1024, body: 64 * 1024 });
//! let Ok(Step::Whole(message)) = decoder.step(&mut input) else { panic!() };
//! assert_eq!((message.value.uri().path(), message.keep_alive, input.len()), ("/-/ready", true, 0));
//! ```

mod body;
mod decode;
mod encode;
mod fault;
mod head;

pub use decode::{Limits, Message, RequestDecoder, ResponseDecoder, Step};
pub use encode::{Reader, encode_response};
pub use fault::Fault;
