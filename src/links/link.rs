//! A control link: an authenticated TCP connection that carries `capnp-rpc`.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use compio::net::{TcpSocket, TcpStream};
use compio::runtime::JoinHandle;
use futures_util::AsyncReadExt;

use crate::code::Code;
use crate::config::keys::ClusterKey;
use crate::error::{Error, Result};
use crate::links::link_auth::{self, LinkSide};
use crate::node_capnp::node;
use crate::process::counted_stream::CountedStream;
use crate::process::metrics::Metrics;

/// The timeout of connecting, in milliseconds.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// The largest control message, in 8-byte words: four times the largest published value.
const MAX_MESSAGE_WORDS: usize = 512 * 1024;

/// An open link to a peer; dropping it closes it.
pub(crate) struct Link {
    pub(crate) client: node::Client,
    _driver: JoinHandle<()>,
}

impl Link {
    /// Connects to the peer at `address`, from the address of the process's own host, by which the
    /// peer identifies it.
    pub(crate) async fn connect(
        own_host: Ipv4Addr,
        address: SocketAddr,
        cluster_key: &ClusterKey,
        metrics: &Rc<Metrics>,
    ) -> Result<Link> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connected = compio::time::timeout(timeout, connect_from(own_host, address)).await;
        let closed = |what: String| Error::new(Code::LinkClosed, format!("{address}: {what}"));
        let stream = connected
            .map_err(|_| closed(format!("no connection within {CONNECT_TIMEOUT_MS} ms")))?;
        let mut stream = stream.map_err(|error| closed(error.to_string()))?;
        stream.set_nodelay(true)?;
        link_auth::authenticate(&mut stream, cluster_key, LinkSide::Client).await?;
        let network = network(stream, Side::Client, metrics);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: node::Client = system.bootstrap(Side::Server);
        let driver = compio::runtime::spawn(async move {
            // The error is ignored here, since each call on a broken link fails with its own.
            let _ = system.await;
        });
        Ok(Link {
            client,
            _driver: driver,
        })
    }
}

async fn connect_from(own_host: Ipv4Addr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4().await?;
    socket.bind(SocketAddr::from((own_host, 0))).await?;
    socket.connect(address).await
}

/// Serves an authenticated connection until it closes.
pub(crate) async fn serve(stream: TcpStream, metrics: &Rc<Metrics>, client: node::Client) {
    let system = RpcSystem::new(
        Box::new(network(stream, Side::Server, metrics)),
        Some(client.client),
    );
    // The error is ignored, since the peer reconnects.
    let _ = system.await;
}

fn network(
    stream: TcpStream,
    side: Side,
    metrics: &Rc<Metrics>,
) -> twoparty::VatNetwork<impl futures_util::AsyncRead + 'static + Unpin> {
    let (reader, writer) = CountedStream::new(stream, metrics).split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    twoparty::VatNetwork::new(reader, writer, side, options)
}

/// Returns the address of the control port on `host`.
pub(crate) fn control_address(host: Ipv4Addr, control_port: u16) -> SocketAddr {
    SocketAddr::from((host, control_port))
}
