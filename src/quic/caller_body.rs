//! The body of a caller's request: small ones whole, so that they can run elsewhere; large ones as
//! a stream.

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

/// How many pieces of a streamed body may wait for the backend server.
const PIECES_AHEAD: usize = 4;

/// The half of a request stream on which the caller's body comes.
pub(crate) type BodyStream = RequestStream<
    <BidiStream<Bytes> as compio::quic::h3::quic::BidiStream<Bytes>>::RecvStream,
    Bytes,
>;

/// A body of which the start has been read.
pub(crate) struct CallerBody {
    start: Bytes,
    rest: Option<BodyStream>,
}

impl CallerBody {
    /// Reads the body to its end, or as far as it could still run elsewhere.
    pub(crate) async fn read(mut stream: BodyStream) -> Result<Self> {
        let mut start = BytesMut::new();
        while start.len() <= MAX_MOVED_BODY_BYTES {
            match next_piece(&mut stream).await? {
                Some(piece) => start.extend_from_slice(&piece),
                None => {
                    return Ok(Self {
                        start: start.freeze(),
                        rest: None,
                    });
                }
            }
        }
        Ok(Self {
            start: start.freeze(),
            rest: Some(stream),
        })
    }

    /// Returns the body if it is known whole, so that it can be sent more than once.
    pub(crate) fn whole(&self) -> Option<&Bytes> {
        self.rest.is_none().then_some(&self.start)
    }

    /// Returns the body for the backend server.
    pub(crate) fn into_request_body(self) -> RequestBody {
        match self.rest {
            None => whole_body(self.start),
            Some(stream) => streamed_body(self.start, stream),
        }
    }
}

/// Makes a body of bytes that are at hand.
pub(crate) fn whole_body(bytes: Bytes) -> RequestBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

async fn next_piece(stream: &mut BodyStream) -> Result<Option<Bytes>> {
    let piece = stream.recv_data().await;
    let piece = piece.map_err(|error| Error::new(Code::Io, error.to_string()))?;
    Ok(piece.map(|mut piece| piece.copy_to_bytes(piece.remaining())))
}

fn streamed_body(start: Bytes, mut stream: BodyStream) -> RequestBody {
    let (mut sender, receiver) = mpsc::channel::<Result<Bytes>>(PIECES_AHEAD);
    compio::runtime::spawn(async move {
        if sender.send(Ok(start)).await.is_err() {
            return;
        }
        loop {
            let piece = next_piece(&mut stream).await.transpose();
            let Some(piece) = piece else {
                return;
            };
            let failed = piece.is_err();
            if sender.send(piece).await.is_err() || failed {
                return;
            }
        }
    })
    .detach();
    let frames = receiver.map(|piece| piece.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
