//! Detects the end of the backend server's process through an idle connection.
//!
//! Nothing is sent on the connection. When it breaks and a new one is refused, nothing listens any
//! more, so all flows of that process are gone. See docs/OPAQUE.md, "When a flow is reset".

use std::net::SocketAddrV4;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::TcpStream;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::{Either, select};

/// An event of the connection to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionEvent {
    /// The backend server accepted a connection.
    Accepted,
    /// The connection broke: the process ended, or closed an idle connection.
    Broken,
    /// The connection was refused: nothing listens at the address.
    Refused,
}

/// The timeout of a connection attempt; a host that answers does so within a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after a failed connection attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Watches the backend server forever and reports events; each item of `reconnect_requests` makes
/// it reconnect.
///
/// A reconnect is needed since a connection may go silent for good without showing that the other
/// side has ended.
pub(crate) async fn run(
    backend: SocketAddrV4,
    report: impl Fn(ConnectionEvent),
    mut reconnect_requests: mpsc::Receiver<()>,
) {
    loop {
        match compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(backend)).await {
            Ok(Ok(stream)) => {
                report(ConnectionEvent::Accepted);
                let closed = Box::pin(wait_until_closed(stream));
                match select(closed, reconnect_requests.next()).await {
                    Either::Left(_) => report(ConnectionEvent::Broken),
                    Either::Right(_) => log::debug!("event=backend_doubted backend={backend}"),
                }
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                report(ConnectionEvent::Refused);
                compio::time::sleep(RETRY_PAUSE).await;
            }
            // A host that does not answer proves nothing about the process.
            Ok(Err(_)) | Err(_) => compio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn wait_until_closed(mut stream: TcpStream) {
    loop {
        let BufResult(result, _) = stream.read(Vec::with_capacity(64)).await;
        match result {
            Ok(0) | Err(_) => return,
            // Data here answers no request, and is ignored.
            Ok(_) => {}
        }
    }
}
