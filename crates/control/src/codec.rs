//! Responses go out as bytes that are made already; requests are decoded as usual.

use bytes::{BufMut, Bytes};
use std::marker::PhantomData;
use tonic::Status;
use tonic::codec::{BufferSettings, Codec, EncodeBuf, Encoder};
use tonic_prost::ProstDecoder;

/// A stream's own buffer, and how much of what waits is sent together. Most responses are longer, and bring their own.
const BUFFER: (usize, usize) = (1024, 32 * 1024);

/// Decodes requests of this type.
pub(crate) struct Wire<T>(PhantomData<T>);

impl<T> Default for Wire<T> {
    fn default() -> Self {
        Wire(PhantomData)
    }
}

pub(crate) struct Made;

fn settings() -> BufferSettings {
    BufferSettings::new(BUFFER.0, BUFFER.1)
}

impl Encoder for Made {
    type Item = Bytes;
    type Error = Status;

    fn encode(&mut self, item: Bytes, into: &mut EncodeBuf<'_>) -> Result<(), Status> {
        into.reserve(item.len());
        into.put(item);
        Ok(())
    }

    fn buffer_settings(&self) -> BufferSettings {
        settings()
    }
}

impl<T: prost::Message + Default + Send + 'static> Codec for Wire<T> {
    type Encode = Bytes;
    type Decode = T;
    type Encoder = Made;
    type Decoder = ProstDecoder<T>;

    fn encoder(&mut self) -> Made {
        Made
    }

    fn decoder(&mut self) -> ProstDecoder<T> {
        ProstDecoder::new(settings())
    }
}
