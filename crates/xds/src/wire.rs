//! Responses as bytes (`envoy/service/discovery/v3/discovery.proto`).
//!
//! Resources are encoded already; only the frame round them is made here, so that a thousand streams that are sent the
//! same cost a thousand copies of bytes and no encoding.

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

fn head(tag: u32, length: usize, into: &mut impl BufMut) {
    encode_key(tag, WireType::LengthDelimited, into);
    encode_varint(length as u64, into);
}

fn text(tag: u32, text: &str, into: &mut impl BufMut) {
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

fn put_resource(r: &Resource, version: &str, ttl: &[u8], into: &mut impl BufMut) {
    text(1, version, into);
    head(2, r.any.len(), into);
    into.put_slice(&r.any);
    text(3, &r.name, into);
    if !ttl.is_empty() {
        head(6, ttl.len(), into);
        into.put_slice(ttl);
    }
}

/// About how long a response is, and no less: so much room spares its buffer from growing.
pub fn room(answer: &Answer) -> usize {
    let body: usize = answer.resources.iter().map(|r| r.any.len() + r.name.len() + 192).sum();
    let removed: usize = answer.removed.iter().map(|n| n.len() + 8).sum();
    body + removed + 512
}

/// Writes a response. `identifier` names the control instance.
pub fn put(answer: &Answer, variant: Variant, identifier: &str, into: &mut impl BufMut) {
    let (version, nonce) = (answer.version.to_string(), answer.nonce.to_string());
    text(1, &version, into);
    for r in &answer.resources {
        let ttl = r.ttl_ms.map(duration).unwrap_or_default();
        let version = r.version.to_string();
        match variant {
            Variant::Sotw if ttl.is_empty() => {
                head(2, r.any.len(), into);
                into.put_slice(&r.any);
            }
            Variant::Sotw => {
                let length = resource_len(r, &version, &ttl);
                head(2, field_len(1, WRAPPER.len()) + field_len(2, length), into);
                text(1, WRAPPER, into);
                head(2, length, into);
                put_resource(r, &version, &ttl, into);
            }
            Variant::Delta => {
                head(2, resource_len(r, &version, &ttl), into);
                put_resource(r, &version, &ttl, into);
            }
        }
    }
    text(4, answer.kind.type_url(), into);
    text(5, &nonce, into);
    if variant == Variant::Delta {
        answer.removed.iter().for_each(|name| text(6, name, into));
    }
    if !identifier.is_empty() {
        head(if variant == Variant::Delta { 7 } else { 6 }, text_len(1, identifier), into);
        text(1, identifier, into);
    }
}

/// The bytes of a response.
pub fn response(answer: &Answer, variant: Variant, identifier: &str) -> Bytes {
    let mut bytes = BytesMut::with_capacity(room(answer));
    put(answer, variant, identifier, &mut bytes);
    bytes.freeze()
}
