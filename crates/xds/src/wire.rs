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

fn put_resource(r: &Resource, version: &str, ttl: &[u8], into: &mut BytesMut) {
    text(1, version, into);
    head(2, r.any.len(), into);
    into.put_slice(&r.any);
    text(3, &r.name, into);
    if !ttl.is_empty() {
        head(6, ttl.len(), into);
        into.put_slice(ttl);
    }
}

/// The bytes of a response. `identifier` names the control instance.
pub fn response(answer: &Answer, variant: Variant, identifier: &str) -> Bytes {
    let type_url = answer.kind.type_url();
    let (version, nonce) = (answer.version.to_string(), answer.nonce.to_string());
    let control_plane = text_len(1, identifier);
    let body: usize = answer.resources.iter().map(|r| r.any.len() + r.name.len() + 128).sum();
    let removed: usize = answer.removed.iter().map(|n| n.len() + 8).sum();
    let mut bytes = BytesMut::with_capacity(body + removed + 256);
    text(1, &version, &mut bytes);
    for r in &answer.resources {
        let ttl = r.ttl_ms.map(duration).unwrap_or_default();
        let version = r.version.to_string();
        match variant {
            Variant::Sotw if ttl.is_empty() => {
                head(2, r.any.len(), &mut bytes);
                bytes.put_slice(&r.any);
            }
            Variant::Sotw => {
                let length = resource_len(r, &version, &ttl);
                head(2, field_len(1, WRAPPER.len()) + field_len(2, length), &mut bytes);
                text(1, WRAPPER, &mut bytes);
                head(2, length, &mut bytes);
                put_resource(r, &version, &ttl, &mut bytes);
            }
            Variant::Delta => {
                head(2, resource_len(r, &version, &ttl), &mut bytes);
                put_resource(r, &version, &ttl, &mut bytes);
            }
        }
    }
    text(4, type_url, &mut bytes);
    text(5, &nonce, &mut bytes);
    if variant == Variant::Delta {
        answer.removed.iter().for_each(|name| text(6, name, &mut bytes));
    }
    let tag = if variant == Variant::Delta { 7 } else { 6 };
    if control_plane > 0 {
        head(tag, control_plane, &mut bytes);
        text(1, identifier, &mut bytes);
    }
    bytes.freeze()
}
