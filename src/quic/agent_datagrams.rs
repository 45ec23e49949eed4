//! The datagram path of an agent: it decides on openers, delivers packets to flows and forwards
//! answers to balancers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

use compio::BufResult;
use compio::net::UdpSocket;

use crate::code::Code;
use crate::config::sealed_id::{SealedId, SealedIdKind};
use crate::config::service_id::ServiceId;
use crate::decisions::admission::{Decision, Opener, OpenerSource};
use crate::error::{Error, Result};
use crate::process::udp::BUFFER_BYTES;
use crate::quic::agent::Agent;
use crate::quic::envelope::{Envelope, EnvelopeKind};
use crate::quic::flow_socket::{FlowKey, FlowSocket};
use crate::quic::packet::{self, PacketView};
use crate::quic::stateless_reset::stateless_reset;
use crate::quic::target::Target;

/// The number of flow sockets that an agent may open beyond the connections that its rows allow.
const SPARE_FLOW_SOCKETS: usize = 1_024;

/// An opener that has arrived in an envelope.
struct ArrivedOpener<'a> {
    envelope: &'a Envelope,
    hash: u64,
    packet: &'a [u8],
    sender: SocketAddr,
}

impl ArrivedOpener<'_> {
    fn source(&self) -> OpenerSource {
        match self.envelope.kind {
            EnvelopeKind::Deflected => OpenerSource::DeflectingOwner,
            EnvelopeKind::Returned => OpenerSource::ReturningPeer,
            _ => OpenerSource::Balancer,
        }
    }
}

impl Agent {
    /// Receives datagrams from balancers and peers forever.
    pub(crate) async fn receive_datagrams(self: &Rc<Self>) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = self.socket.recv_from(buffer).await;
            buffer = received;
            let Ok((_, sender)) = result else {
                continue;
            };
            self.control.metrics.packets_in.inc();
            if let Err(error) = self.handle_datagram(&buffer, sender).await {
                self.control.metrics.packets_dropped.inc(error.code);
            }
        }
    }

    async fn handle_datagram(self: &Rc<Self>, datagram: &[u8], sender: SocketAddr) -> Result<()> {
        let (envelope, packet) = self.envelope_key.open(datagram)?;
        let now_ms = self.control.now_ms();
        match envelope.kind {
            EnvelopeKind::Leaving => {
                self.return_path.borrow_mut().set_leaving(envelope.balancer);
                return Ok(());
            }
            EnvelopeKind::Outbound => {
                return Err(Error::new(
                    Code::EnvelopeForged,
                    format!("{sender} sent an outbound envelope, which only balancers take"),
                ));
            }
            EnvelopeKind::Inbound | EnvelopeKind::Deflected | EnvelopeKind::Returned => {}
        }
        self.return_path
            .borrow_mut()
            .record_datagram(envelope.balancer, now_ms);
        self.revision_puller
            .observe(envelope.balancer, envelope.revision);
        let target = self.target(envelope.service);
        let unknown = || Error::new(Code::ServiceUnknown, envelope.service.to_string());
        let target = target.ok_or_else(unknown)?;
        let view = packet::parse(packet)?;
        match self.open_token(&view, envelope.service) {
            Some(token) if self.is_issued_here(&token) => {
                self.deliver(&target, &envelope, packet).await
            }
            Some(_) => {
                self.send_stateless_reset(&envelope, &view, packet.len())
                    .await
            }
            None if view.may_open => {
                let arrived = ArrivedOpener {
                    envelope: &envelope,
                    hash: view.opener_hash(),
                    packet,
                    sender,
                };
                self.handle_opener(&target, &arrived).await
            }
            None => Err(Error::new(
                Code::PacketUnroutable,
                format!("for service {}", envelope.service),
            )),
        }
    }

    fn open_token(&self, view: &PacketView<'_>, service: ServiceId) -> Option<SealedId> {
        let store = self.control.store.borrow();
        SealedId::open(
            store.key_ring(),
            SealedIdKind::Token,
            service,
            view.connection_id,
        )
    }

    async fn handle_opener(
        self: &Rc<Self>,
        target: &Rc<Target>,
        arrived: &ArrivedOpener<'_>,
    ) -> Result<()> {
        self.control.metrics.openers.inc();
        let opener = Opener {
            hash: arrived.hash,
            source: arrived.source(),
            health_permille: target.health.borrow().share_permille(),
        };
        if let (OpenerSource::ReturningPeer, IpAddr::V4(peer)) =
            (opener.source, arrived.sender.ip())
        {
            target.peer_loads.borrow_mut().record_returned_opener(peer);
        }
        match self.decide(target, &opener) {
            Decision::Deflect(host) => {
                self.control.metrics.flows_deflected.inc();
                self.hand_on_opener(arrived, EnvelopeKind::Deflected, host)
                    .await;
                Ok(())
            }
            Decision::Return => {
                if let IpAddr::V4(owner) = arrived.sender.ip() {
                    self.hand_on_opener(arrived, EnvelopeKind::Returned, owner)
                        .await;
                }
                Ok(())
            }
            // A refused opener is delivered too, since the endpoint answers it with QUIC's refusal.
            Decision::Accept | Decision::Refuse(_) => {
                self.deliver(target, arrived.envelope, arrived.packet).await
            }
        }
    }

    /// Decides on an opener, which is refused if the service has no table.
    fn decide(&self, target: &Target, opener: &Opener) -> Decision {
        let store = self.control.store.borrow();
        let Some(table) = store.table(target.service) else {
            return Decision::Refuse(Code::NoTarget);
        };
        let mut admission = target.admission.borrow_mut();
        let mut peer_loads = target.peer_loads.borrow_mut();
        let now_ms = self.control.now_ms();
        admission.decide(opener, table, &mut peer_loads, now_ms, &mut rand::rng())
    }

    async fn hand_on_opener(
        &self,
        arrived: &ArrivedOpener<'_>,
        kind: EnvelopeKind,
        host: Ipv4Addr,
    ) {
        let envelope = Envelope {
            kind,
            ..*arrived.envelope
        };
        self.send(arrived.packet.to_vec(), &envelope, host).await;
    }

    async fn deliver(
        self: &Rc<Self>,
        target: &Rc<Target>,
        envelope: &Envelope,
        packet: &[u8],
    ) -> Result<()> {
        let key = (envelope.caller, envelope.service);
        let flow_socket = match self.flow_socket(&key) {
            Some(flow_socket) => flow_socket,
            None => {
                self.open_flow_socket(key, target, envelope.balancer)
                    .await?
            }
        };
        flow_socket.record_packet(envelope.balancer, self.control.now_ms());
        flow_socket.deliver(packet.to_vec()).await;
        Ok(())
    }

    fn flow_socket(&self, key: &FlowKey) -> Option<Rc<FlowSocket>> {
        let flow_sockets = self.flow_sockets.borrow();
        let index = flow_sockets.binary_search_by_key(key, |flow_socket| flow_socket.key);
        index.ok().map(|index| flow_sockets[index].clone())
    }

    async fn open_flow_socket(
        self: &Rc<Self>,
        key: FlowKey,
        target: &Rc<Target>,
        balancer: Ipv4Addr,
    ) -> Result<Rc<FlowSocket>> {
        if self.flow_sockets.borrow().len() >= self.max_flow_sockets() {
            return Err(Error::new(Code::NoTarget, "too many flow sockets are open"));
        }
        let flow_socket = FlowSocket::open(key, target.endpoint_address, balancer).await?;
        let mut flow_sockets = self.flow_sockets.borrow_mut();
        let index = flow_sockets.partition_point(|known| known.key < key);
        flow_sockets.insert(index, flow_socket.clone());
        drop(flow_sockets);
        let agent = self.clone();
        let weak = Rc::downgrade(&flow_socket);
        let socket = flow_socket.socket.clone();
        flow_socket.set_answer_task(compio::runtime::spawn(async move {
            agent.forward_answers(&socket, weak).await;
        }));
        Ok(flow_socket)
    }

    fn max_flow_sockets(&self) -> usize {
        let targets = self.targets.borrow();
        let allowed: usize = targets
            .iter()
            .map(|target| target.max_connections.get() as usize)
            .sum();
        allowed + SPARE_FLOW_SOCKETS
    }

    /// Forwards the endpoint's packets to the caller until the flow socket is dropped.
    async fn forward_answers(&self, socket: &UdpSocket, flow_socket: std::rc::Weak<FlowSocket>) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = socket.recv(buffer).await;
            buffer = received;
            if result.is_err() {
                continue;
            }
            let Some(flow_socket) = flow_socket.upgrade() else {
                return;
            };
            flow_socket.last_packet_ms.set(self.control.now_ms());
            buffer = self.forward_answer(buffer, &flow_socket).await;
        }
    }

    async fn forward_answer(&self, buffer: Vec<u8>, flow_socket: &FlowSocket) -> Vec<u8> {
        let balancer = self.choose_balancer(flow_socket.last_balancer.get());
        let revision = self.control.store.borrow().digest().highest;
        let envelope = flow_socket.envelope(balancer, revision);
        self.send(buffer, &envelope, balancer).await
    }

    /// Chooses the balancer for an answer to a flow whose packets last came through `last`.
    fn choose_balancer(&self, last: Ipv4Addr) -> Ipv4Addr {
        let listed = self.control.entry_hosts();
        let now_ms = self.control.now_ms();
        self.return_path.borrow_mut().choose(last, now_ms, &listed)
    }

    async fn send(&self, mut buffer: Vec<u8>, envelope: &Envelope, host: Ipv4Addr) -> Vec<u8> {
        self.envelope_key.append(&mut buffer, envelope);
        let address = SocketAddr::from((host, self.control.settings.datagram_port));
        let BufResult(result, buffer) = self.socket.send_to(buffer, address).await;
        if result.is_ok() {
            self.control.metrics.packets_out.inc();
        }
        buffer
    }

    /// Ends a flow of an earlier incarnation or another host at once, so that the caller need not
    /// wait for a timeout.
    async fn send_stateless_reset(
        &self,
        envelope: &Envelope,
        view: &PacketView<'_>,
        received_bytes: usize,
    ) -> Result<()> {
        let reset = stateless_reset(
            &self.reset_key,
            view.connection_id,
            received_bytes,
            &mut rand::rng(),
        );
        if let Some(reset) = reset {
            self.control.metrics.stateless_resets.inc();
            let outbound = Envelope {
                kind: EnvelopeKind::Outbound,
                ..*envelope
            };
            self.send(reset, &outbound, envelope.balancer).await;
        }
        Err(Error::new(
            Code::TokenForeign,
            "the token was issued by another incarnation",
        ))
    }
}
