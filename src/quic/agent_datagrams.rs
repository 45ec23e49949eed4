//! What an agent does with datagrams: openers are decided, flows are fed, answers go back.

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

/// How many sockets an agent keeps beyond the connections that its rows allow.
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
    /// Takes envelopes forever.
    pub(crate) async fn take_envelopes(self: &Rc<Self>) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = self.socket.recv_from(buffer).await;
            buffer = received;
            let Ok((_, sender)) = result else {
                continue;
            };
            self.control.metrics.packets_in.inc();
            if let Err(error) = self.take_envelope(&buffer, sender).await {
                self.control.metrics.packets_dropped.inc(error.code);
            }
        }
    }

    async fn take_envelope(self: &Rc<Self>, datagram: &[u8], sender: SocketAddr) -> Result<()> {
        let (envelope, packet) = self.key.open(datagram)?;
        let now_ms = self.control.now_ms();
        match envelope.kind {
            EnvelopeKind::Leaving => {
                self.return_path.borrow_mut().set_leaving(envelope.balancer);
                return Ok(());
            }
            EnvelopeKind::Outbound => {
                return Err(Error::new(
                    Code::EnvelopeForged,
                    "an answer sent to an agent",
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
        match self.token(&view, envelope.service) {
            Some(token) if self.is_own(&token) => self.deliver(&target, &envelope, packet).await,
            Some(_) => self.reset(&envelope, &view, packet.len()).await,
            None if view.may_open => {
                let arrived = ArrivedOpener {
                    envelope: &envelope,
                    hash: view.opener_hash(),
                    packet,
                    sender,
                };
                self.take_opener(&target, &arrived).await
            }
            None => Err(Error::new(Code::PacketUnroutable, "no token")),
        }
    }

    fn token(&self, view: &PacketView<'_>, service: ServiceId) -> Option<SealedId> {
        let store = self.control.store.borrow();
        SealedId::open(store.key_ring(), SealedIdKind::Token, service, view.id)
    }

    async fn take_opener(
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
                self.hand_on(arrived, EnvelopeKind::Deflected, host).await;
                Ok(())
            }
            Decision::Return => {
                if let IpAddr::V4(owner) = arrived.sender.ip() {
                    self.hand_on(arrived, EnvelopeKind::Returned, owner).await;
                }
                Ok(())
            }
            // The endpoint answers a refused opener too, with a refusal that QUIC defines.
            Decision::Accept | Decision::Refuse(_) => {
                self.deliver(target, arrived.envelope, arrived.packet).await
            }
        }
    }

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

    async fn hand_on(&self, arrived: &ArrivedOpener<'_>, kind: EnvelopeKind, host: Ipv4Addr) {
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
        let flow = match self.flow(&key) {
            Some(flow) => flow,
            None => self.open_flow(key, target, envelope.balancer).await?,
        };
        flow.heard(envelope.balancer, self.control.now_ms());
        flow.deliver(packet.to_vec()).await;
        Ok(())
    }

    fn flow(&self, key: &FlowKey) -> Option<Rc<FlowSocket>> {
        let flows = self.flows.borrow();
        let index = flows.binary_search_by_key(key, |flow| flow.key);
        index.ok().map(|index| flows[index].clone())
    }

    async fn open_flow(
        self: &Rc<Self>,
        key: FlowKey,
        target: &Rc<Target>,
        balancer: Ipv4Addr,
    ) -> Result<Rc<FlowSocket>> {
        if self.flows.borrow().len() >= self.flow_limit() {
            return Err(Error::new(Code::NoTarget, "too many callers"));
        }
        let flow = FlowSocket::open(key, target.endpoint_address, balancer).await?;
        let mut flows = self.flows.borrow_mut();
        let index = flows.partition_point(|known| known.key < key);
        flows.insert(index, flow.clone());
        drop(flows);
        let agent = self.clone();
        let weak = Rc::downgrade(&flow);
        let socket = flow.socket.clone();
        flow.set_receiver(compio::runtime::spawn(async move {
            agent.hand_back(&socket, weak).await;
        }));
        Ok(flow)
    }

    fn flow_limit(&self) -> usize {
        let targets = self.targets.borrow();
        let allowed: usize = targets
            .iter()
            .map(|target| target.connections.get() as usize)
            .sum();
        allowed + SPARE_FLOW_SOCKETS
    }

    async fn hand_back(&self, socket: &UdpSocket, flow: std::rc::Weak<FlowSocket>) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = socket.recv(buffer).await;
            buffer = received;
            if result.is_err() {
                continue;
            }
            let Some(flow) = flow.upgrade() else {
                return;
            };
            flow.last_ms.set(self.control.now_ms());
            buffer = self.answer(buffer, &flow).await;
        }
    }

    async fn answer(&self, buffer: Vec<u8>, flow: &FlowSocket) -> Vec<u8> {
        let balancer = self.answering_balancer(flow.last_balancer.get());
        let revision = self.control.store.borrow().digest().highest;
        let envelope = flow.envelope(balancer, revision);
        self.send(buffer, &envelope, balancer).await
    }

    fn answering_balancer(&self, last: Ipv4Addr) -> Ipv4Addr {
        let listed = self.control.entry_hosts();
        let now_ms = self.control.now_ms();
        self.return_path.borrow_mut().choose(last, now_ms, &listed)
    }

    async fn send(&self, mut buffer: Vec<u8>, envelope: &Envelope, host: Ipv4Addr) -> Vec<u8> {
        self.key.append(&mut buffer, envelope);
        let address = SocketAddr::from((host, self.control.settings.datagram_port));
        let BufResult(result, buffer) = self.socket.send_to(buffer, address).await;
        if result.is_ok() {
            self.control.metrics.packets_out.inc();
        }
        buffer
    }

    /// Ends a flow of an earlier incarnation or another host at once, instead of by a timeout.
    async fn reset(
        &self,
        envelope: &Envelope,
        view: &PacketView<'_>,
        received_bytes: usize,
    ) -> Result<()> {
        let reset = stateless_reset(&self.reset_key, view.id, received_bytes, &mut rand::rng());
        if let Some(reset) = reset {
            self.control.metrics.stateless_resets.inc();
            let outbound = Envelope {
                kind: EnvelopeKind::Outbound,
                ..*envelope
            };
            self.send(reset, &outbound, envelope.balancer).await;
        }
        Err(Error::new(Code::TokenForeign, "of another incarnation"))
    }
}
