//! The body of a caller's request. A small body is read whole, so that the request can run at a
//! peer or be retried; a large one is streamed.

use bytes::{Buf, Bytes, BytesMut};
use compio::quic::h3::BidiStream;
use compio::quic::h3::server::RequestStream;
use futures_channel::mpsc;
use futures_util::{SinkExt, StreamExt};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;

use crate::code::Code;
use crate::error::{Error, Result};
use crate::links::peer_request::MAX_MOVED_BODY_BYTES;
use crate::quic::backend::RequestBody;

/// The number of chunks of a streamed body that are buffered for the backend server.
const MAX_BUFFERED_CHUNKS: usize = 4;

/// The receiving half of a request stream.
pub(crate) type BodyStream = RequestStream<
    <BidiStream<Bytes> as compio::quic::h3::quic::BidiStream<Bytes>>::RecvStream,
    Bytes,
>;

/// A body that was read whole, or a prefix of more than [`MAX_MOVED_BODY_BYTES`] and the stream of
/// the remainder.
pub(crate) struct CallerBody {
    prefix: Bytes,
    remainder: Option<BodyStream>,
}

impl CallerBody {
    /// Reads the body to its end, or until it is too large for a peer.
    pub(crate) async fn read(mut stream: BodyStream) -> Result<Self> {
        let mut prefix = BytesMut::new();
        while prefix.len() <= MAX_MOVED_BODY_BYTES {
            match next_chunk(&mut stream).await? {
                Some(chunk) => prefix.extend_from_slice(&chunk),
                None => {
                    return Ok(Self {
                        prefix: prefix.freeze(),
                        remainder: None,
                    });
                }
            }
        }
        Ok(Self {
            prefix: prefix.freeze(),
            remainder: Some(stream),
        })
    }

    /// Returns the body if it was read whole, so that it can be sent more than once.
    pub(crate) fn whole(&self) -> Option<&Bytes> {
        self.remainder.is_none().then_some(&self.prefix)
    }

    /// Converts the body for the request to the backend server.
    pub(crate) fn into_request_body(self) -> RequestBody {
        match self.remainder {
            None => whole_body(self.prefix),
            Some(stream) => streamed_body(self.prefix, stream),
        }
    }
}

/// Creates a request body from bytes.
pub(crate) fn whole_body(bytes: Bytes) -> RequestBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

async fn next_chunk(stream: &mut BodyStream) -> Result<Option<Bytes>> {
    let chunk = stream.recv_data().await;
    let chunk = chunk.map_err(|error| Error::new(Code::Io, error.to_string()))?;
    Ok(chunk.map(|mut chunk| chunk.copy_to_bytes(chunk.remaining())))
}

fn streamed_body(prefix: Bytes, mut stream: BodyStream) -> RequestBody {
    let (mut sender, receiver) = mpsc::channel::<Result<Bytes>>(MAX_BUFFERED_CHUNKS);
    compio::runtime::spawn(async move {
        if sender.send(Ok(prefix)).await.is_err() {
            return;
        }
        loop {
            let chunk = next_chunk(&mut stream).await.transpose();
            let Some(chunk) = chunk else {
                return;
            };
            let has_failed = chunk.is_err();
            if sender.send(chunk).await.is_err() || has_failed {
                return;
            }
        }
    })
    .detach();
    let frames = receiver.map(|chunk| chunk.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
