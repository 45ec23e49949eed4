//! The local socket that stands for one caller at a target's QUIC endpoint.
//!
//! The endpoint sees each flow under an address of its own, so that it can tell flows apart and
//! validate a path that changes; see docs/DESIGN.md, "Agent".

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use compio::BufResult;
use compio::net::UdpSocket;
use compio::runtime::JoinHandle;

use crate::config::revision::Revision;
use crate::config::service_id::ServiceId;
use crate::error::Result;
use crate::quic::envelope::{Envelope, EnvelopeKind};

/// How long a flow may be silent before its socket is closed: longer than QUIC's idle timeout, in
/// milliseconds.
pub(crate) const FLOW_IDLE_MS: u64 = 60_000;

/// What tells flow sockets apart.
pub(crate) type FlowKey = (SocketAddr, ServiceId);

/// One caller's socket.
pub(crate) struct FlowSocket {
    pub(crate) key: FlowKey,
    pub(crate) socket: Rc<UdpSocket>,
    pub(crate) last_balancer: Cell<Ipv4Addr>,
    pub(crate) last_ms: Cell<u64>,
    receiver: Cell<Option<JoinHandle<()>>>,
}

impl FlowSocket {
    /// Opens a socket towards `endpoint`.
    pub(crate) async fn open(
        key: FlowKey,
        endpoint: SocketAddr,
        balancer: Ipv4Addr,
    ) -> Result<Rc<Self>> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        socket.connect(endpoint).await?;
        Ok(Rc::new(Self {
            key,
            socket: Rc::new(socket),
            last_balancer: Cell::new(balancer),
            last_ms: Cell::new(0),
            receiver: Cell::new(None),
        }))
    }

    /// Keeps the task that reads the endpoint's answers; it ends with this socket.
    pub(crate) fn set_receiver(&self, receiver: JoinHandle<()>) {
        self.receiver.set(Some(receiver));
    }

    /// Notes through which balancer the caller was heard.
    pub(crate) fn heard(&self, balancer: Ipv4Addr, now_ms: u64) {
        self.last_balancer.set(balancer);
        self.last_ms.set(now_ms);
    }

    /// Hands a packet of the caller to the endpoint.
    pub(crate) async fn deliver(&self, packet: Vec<u8>) {
        let BufResult(result, _) = self.socket.send(packet).await;
        // A full socket drops the packet, as the network might; QUIC sends it again.
        let _ = result;
    }

    /// Returns the envelope of an answer to the caller.
    pub(crate) fn envelope(&self, balancer: Ipv4Addr, revision: Revision) -> Envelope {
        Envelope {
            kind: EnvelopeKind::Outbound,
            service: self.key.1,
            caller: self.key.0,
            balancer,
            revision,
        }
    }
}
