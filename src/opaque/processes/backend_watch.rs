//! Notices at once when the process of the backend server ends, without a request to it.
//!
//! A connection is kept open on which nothing is sent. When it breaks, a refused new one proves that
//! nothing listens any more, so that every flow of that process is gone. See docs/OPAQUE.md, "When a
//! flow is reset".

use std::net::SocketAddrV4;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::TcpStream;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::{Either, select};

/// What a connection to the backend server shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionEvent {
    /// It accepted a connection.
    Accepted,
    /// The connection broke: its process ended, or closed what was idle.
    Broken,
    /// Nothing listens at its address.
    Refused,
}

/// How long a connection may take; a host that answers does so within a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How soon a refused connection is tried again.
const RETRY: Duration = Duration::from_millis(100);

/// Watches forever and says what it sees; each word in `doubts` makes it connect anew.
///
/// A connection may go silent for good and not show the end of the other side.
pub(crate) async fn run(
    backend: SocketAddrV4,
    see: impl Fn(ConnectionEvent),
    mut doubts: mpsc::Receiver<()>,
) {
    loop {
        match compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(backend)).await {
            Ok(Ok(stream)) => {
                see(ConnectionEvent::Accepted);
                let closed = Box::pin(wait_until_closed(stream));
                match select(closed, doubts.next()).await {
                    Either::Left(_) => see(ConnectionEvent::Broken),
                    Either::Right(_) => log::debug!("event=backend_doubted backend={backend}"),
                }
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                see(ConnectionEvent::Refused);
                compio::time::sleep(RETRY).await;
            }
            // A host that does not answer shows nothing about its process.
            Ok(Err(_)) | Err(_) => compio::time::sleep(RETRY).await,
        }
    }
}

async fn wait_until_closed(mut stream: TcpStream) {
    loop {
        let BufResult(result, _) = stream.read(Vec::with_capacity(64)).await;
        match result {
            Ok(0) | Err(_) => return,
            // Whatever it says there is no answer to anything.
            Ok(_) => {}
        }
    }
}
