//! Responses are written straight into the stream's buffer, resource by resource, from the bytes that all streams share; until
//! then a response is a list of these, so that one that waits for its proxy costs next to nothing.

use plover_xds::{Answer, Variant, wire};
use std::marker::PhantomData;
use std::sync::Arc;
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

/// A response, with what it takes to write it.
pub(crate) struct Out {
    pub(crate) answer: Answer,
    pub(crate) variant: Variant,
    pub(crate) identifier: Arc<str>,
}

/// Writes responses.
pub(crate) struct Writer;

fn settings() -> BufferSettings {
    BufferSettings::new(BUFFER.0, BUFFER.1)
}

impl Encoder for Writer {
    type Item = Out;
    type Error = Status;

    fn encode(&mut self, item: Out, into: &mut EncodeBuf<'_>) -> Result<(), Status> {
        into.reserve(wire::room(&item.answer));
        wire::put(&item.answer, item.variant, &item.identifier, into);
        Ok(())
    }

    fn buffer_settings(&self) -> BufferSettings {
        settings()
    }
}

impl<T: prost::Message + Default + Send + 'static> Codec for Wire<T> {
    type Encode = Out;
    type Decode = T;
    type Encoder = Writer;
    type Decoder = ProstDecoder<T>;

    fn encoder(&mut self) -> Writer {
        Writer
    }

    fn decoder(&mut self) -> ProstDecoder<T> {
        ProstDecoder::new(settings())
    }
}
