//! The local socket that represents one caller at a target's QUIC endpoint.
//!
//! Each caller has a separate local address, by which the endpoint distinguishes flows and
//! validates a changed path; see docs/DESIGN.md, "Agent".

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

/// The idle time after which a flow socket is closed, in milliseconds. It is longer than QUIC's
/// idle timeout.
pub(crate) const FLOW_IDLE_MS: u64 = 60_000;

/// The caller's address and the service, which identify a flow socket.
pub(crate) type FlowKey = (SocketAddr, ServiceId);

/// The socket of one caller.
pub(crate) struct FlowSocket {
    pub(crate) key: FlowKey,
    pub(crate) socket: Rc<UdpSocket>,
    pub(crate) last_balancer: Cell<Ipv4Addr>,
    pub(crate) last_packet_ms: Cell<u64>,
    answer_task: Cell<Option<JoinHandle<()>>>,
}

impl FlowSocket {
    /// Opens a socket that is connected to `endpoint`.
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
            last_packet_ms: Cell::new(0),
            answer_task: Cell::new(None),
        }))
    }

    /// Stores the task that reads the endpoint's answers, which is cancelled when this socket is
    /// dropped.
    pub(crate) fn set_answer_task(&self, answer_task: JoinHandle<()>) {
        self.answer_task.set(Some(answer_task));
    }

    /// Records the time of a packet and the balancer that forwarded it.
    pub(crate) fn record_packet(&self, balancer: Ipv4Addr, now_ms: u64) {
        self.last_balancer.set(balancer);
        self.last_packet_ms.set(now_ms);
    }

    /// Sends a packet of the caller to the endpoint.
    pub(crate) async fn deliver(&self, packet: Vec<u8>) {
        let BufResult(result, _) = self.socket.send(packet).await;
        // A packet that a full socket drops is retransmitted by QUIC.
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
