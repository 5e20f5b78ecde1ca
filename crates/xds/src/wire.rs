//! Responses as bytes (`envoy/service/discovery/v3/discovery.proto`).
//!
//! Resources are encoded already; only the frame round them is made here. A long resource is not even copied: a response
//! is a list of pieces, of which those are shared by all streams.

use crate::{Answer, Resource, Variant};
use bytes::{BufMut, Bytes, BytesMut};
use prost::encoding::{WireType, encode_key, encode_varint, encoded_len_varint, key_len};

/// The wrapper of a resource with a time to live in a state-of-the-world response.
const WRAPPER: &str = "type.googleapis.com/envoy.service.discovery.v3.Resource";

fn text_len(tag: u32, text: &str) -> usize {
    if text.is_empty() { 0 } else { field_len(tag, text.len()) }
}

fn field_len(tag: u32, length: usize) -> usize {
    key_len(tag) + encoded_len_varint(length as u64) + length
}

fn head(tag: u32, length: usize, into: &mut BytesMut) {
    encode_key(tag, WireType::LengthDelimited, into);
    encode_varint(length as u64, into);
}

fn text(tag: u32, text: &str, into: &mut BytesMut) {
    if !text.is_empty() {
        head(tag, text.len(), into);
        into.put_slice(text.as_bytes());
    }
}

/// `google.protobuf.Any` of an encoded message.
pub fn any(type_url: &str, value: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(field_len(1, type_url.len()) + field_len(2, value.len()));
    text(1, type_url, &mut bytes);
    head(2, value.len(), &mut bytes);
    bytes.put_slice(value);
    bytes.freeze()
}

/// `google.protobuf.Duration`.
fn duration(ms: u64) -> BytesMut {
    let mut bytes = BytesMut::new();
    for (tag, number) in [(1, ms / 1000), (2, ms % 1000 * 1_000_000)] {
        if number > 0 {
            encode_key(tag, WireType::Varint, &mut bytes);
            encode_varint(number, &mut bytes);
        }
    }
    bytes
}

/// The fields of `envoy.service.discovery.v3.Resource`: name 3, version 1, resource 2, ttl 6.
fn resource_len(r: &Resource, version: &str, ttl: &[u8]) -> usize {
    let ttl = if ttl.is_empty() { 0 } else { field_len(6, ttl.len()) };
    text_len(1, version) + field_len(2, r.any.len()) + text_len(3, &r.name) + ttl
}

/// From this length on a resource is a piece of its own.
const LONG: usize = 4096;

/// A response in the making.
#[derive(Default)]
struct Pieces {
    done: Vec<Bytes>,
    open: BytesMut,
}

impl Pieces {
    fn share(&mut self, bytes: &Bytes) {
        if bytes.len() < LONG {
            return self.open.put_slice(bytes);
        }
        if !self.open.is_empty() {
            self.done.push(self.open.split().freeze());
        }
        self.done.push(bytes.clone());
    }

    fn resource(&mut self, r: &Resource, version: &str, ttl: &[u8]) {
        text(1, version, &mut self.open);
        head(2, r.any.len(), &mut self.open);
        self.share(&r.any);
        text(3, &r.name, &mut self.open);
        if !ttl.is_empty() {
            head(6, ttl.len(), &mut self.open);
            self.open.put_slice(ttl);
        }
    }
}

/// The bytes of a response, in pieces. `identifier` names the control instance.
pub fn pieces(answer: &Answer, variant: Variant, identifier: &str) -> Vec<Bytes> {
    let (version, nonce) = (answer.version.to_string(), answer.nonce.to_string());
    let mut pieces = Pieces::default();
    text(1, &version, &mut pieces.open);
    for r in &answer.resources {
        let ttl = r.ttl_ms.map(duration).unwrap_or_default();
        let version = r.version.to_string();
        let length = resource_len(r, &version, &ttl);
        match variant {
            Variant::Sotw if ttl.is_empty() => {
                head(2, r.any.len(), &mut pieces.open);
                pieces.share(&r.any);
            }
            Variant::Sotw => {
                head(2, field_len(1, WRAPPER.len()) + field_len(2, length), &mut pieces.open);
                text(1, WRAPPER, &mut pieces.open);
                head(2, length, &mut pieces.open);
                pieces.resource(r, &version, &ttl);
            }
            Variant::Delta => {
                head(2, length, &mut pieces.open);
                pieces.resource(r, &version, &ttl);
            }
        }
    }
    let open = &mut pieces.open;
    text(4, answer.kind.type_url(), open);
    text(5, &nonce, open);
    if variant == Variant::Delta {
        answer.removed.iter().for_each(|name| text(6, name, open));
    }
    if !identifier.is_empty() {
        head(if variant == Variant::Delta { 7 } else { 6 }, text_len(1, identifier), open);
        text(1, identifier, open);
    }
    pieces.done.push(pieces.open.freeze());
    pieces.done
}

/// The bytes of a response in one piece.
pub fn response(answer: &Answer, variant: Variant, identifier: &str) -> Bytes {
    pieces(answer, variant, identifier).concat().into()
}
