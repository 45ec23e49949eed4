//! The balancer, which forwards datagrams from callers to agents and back and keeps no state of
//! flows.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use compio::runtime::JoinHandle;
use serde_json::Value;

use crate::code::Code;
use crate::config::config_store::TABLE_PREFIX;
use crate::config::revision::Revision;
use crate::config::service_id::ServiceId;
use crate::controllers::control_plane::ControlPlane;
use crate::controllers::node_server;
use crate::controllers::relay::RevisionPuller;
use crate::error::Result;
use crate::process::udp::{self, BUFFER_BYTES, MAX_PACKET_BYTES};
use crate::quic::envelope::{ENVELOPE_BYTES, Envelope, EnvelopeKey, EnvelopeKind};
use crate::quic::steering;

/// The time for which a balancer keeps forwarding after it announced that it leaves.
const LEAVING_GRACE: Duration = Duration::from_millis(300);

/// The socket that receives the callers' datagrams of a service.
struct ServicePort {
    service: ServiceId,
    address: SocketAddr,
    socket: Rc<UdpSocket>,
    _receive_task: JoinHandle<()>,
}

struct Balancer {
    control: Rc<ControlPlane>,
    envelope_key: EnvelopeKey,
    socket: UdpSocket,
    ports: RefCell<Vec<ServicePort>>,
    agents: RefCell<Vec<Ipv4Addr>>,
    revision_puller: RevisionPuller,
}

/// Runs a balancer until `stop` completes.
pub(crate) async fn run(control: Rc<ControlPlane>, stop: impl Future<Output = ()>) -> Result<()> {
    let datagram_address =
        SocketAddr::from((control.settings.host, control.settings.datagram_port));
    let balancer = Rc::new(Balancer {
        envelope_key: EnvelopeKey::new(&control.settings.cluster_key),
        socket: udp::bind(datagram_address)?,
        ports: RefCell::default(),
        agents: RefCell::default(),
        revision_puller: RevisionPuller::new(&control),
        control: control.clone(),
    });
    balancer.sync_ports();
    balancer.clone().subscribe();
    let forwarder = balancer.clone();
    let answer_task =
        compio::runtime::spawn(async move { forwarder.forward_outbound_packets().await });
    stop.await;
    balancer.announce_leaving().await;
    compio::time::sleep(LEAVING_GRACE).await;
    drop(answer_task);
    Ok(())
}

/// Returns the handlers of a balancer for calls on control links.
pub(crate) fn hooks(control: &Rc<ControlPlane>) -> node_server::NodeHooks {
    let control = control.clone();
    node_server::hooks_without_flows(move || state(&control))
}

fn state(control: &ControlPlane) -> Value {
    let metrics = &control.metrics;
    let mut state = control.state("balancer");
    state["packets"] = metrics.packet_counts();
    state
}

impl Balancer {
    fn subscribe(self: Rc<Self>) {
        let control = self.control.clone();
        let balancer = self.clone();
        control.on_change(move |names| {
            if names.iter().any(|name| name.starts_with(TABLE_PREFIX)) {
                balancer.sync_ports();
            }
        });
        let control = self.control.clone();
        self.control.timers.every(1_000, move || {
            let now_ms = control.now_ms();
            control.suspicion.borrow_mut().prune(now_ms);
        });
    }

    /// Binds a socket for each service, and closes the sockets of services that were removed or
    /// whose address has changed.
    fn sync_ports(self: &Rc<Self>) {
        let wanted = self.wanted_ports();
        let mut ports = self.ports.borrow_mut();
        ports.retain(|port| wanted.contains(&(port.service, port.address)));
        for (service, address) in wanted {
            let found = ports.binary_search_by_key(&service, |port| port.service);
            let Err(index) = found else {
                continue;
            };
            match self.open_port(service, address) {
                Ok(port) => ports.insert(index, port),
                Err(error) => log::error!("event=port_failed service={service} error={error}"),
            }
        }
        self.control.metrics.services_open.set(ports.len() as i64);
    }

    /// Returns the services with the addresses to bind, at most one service per address.
    ///
    /// If two tables claim the same address, the service with the lower ID gets it, so that all
    /// balancers agree.
    fn wanted_ports(&self) -> Vec<(ServiceId, SocketAddr)> {
        let store = self.control.store.borrow();
        let mut wanted: Vec<(ServiceId, SocketAddr)> = Vec::new();
        for table in store.tables() {
            let mut address = table.address;
            if let Some(ip) = self.control.settings.bind_ip {
                address.set_ip(ip.into());
            }
            if wanted.iter().any(|(_, taken)| *taken == address) {
                log::error!(
                    "event=address_taken service={} address={address}",
                    table.service
                );
                continue;
            }
            wanted.push((table.service_id(), address));
        }
        wanted
    }

    fn open_port(self: &Rc<Self>, service: ServiceId, address: SocketAddr) -> Result<ServicePort> {
        let socket = Rc::new(udp::bind(address)?);
        let balancer = self.clone();
        let receive_socket = socket.clone();
        let receive_task = compio::runtime::spawn(async move {
            balancer
                .forward_inbound_packets(service, &receive_socket)
                .await;
        });
        log::info!("event=port_open service={service} address={address}");
        Ok(ServicePort {
            service,
            address,
            socket,
            _receive_task: receive_task,
        })
    }

    async fn forward_inbound_packets(&self, service: ServiceId, socket: &UdpSocket) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = socket.recv_from(buffer).await;
            buffer = received;
            let Ok((bytes, caller)) = result else {
                continue;
            };
            buffer = self.forward_inbound(service, caller, bytes, buffer).await;
        }
    }

    async fn forward_inbound(
        &self,
        service: ServiceId,
        caller: SocketAddr,
        bytes: usize,
        mut buffer: Vec<u8>,
    ) -> Vec<u8> {
        self.control.metrics.packets_in.inc();
        if bytes > MAX_PACKET_BYTES {
            self.control.metrics.packets_dropped.inc(Code::PacketShort);
            return buffer;
        }
        let host = match self.route(service, &buffer) {
            Ok(host) => host,
            Err(error) => {
                self.control.metrics.packets_dropped.inc(error.code);
                return buffer;
            }
        };
        self.envelope_key.append(
            &mut buffer,
            &self.envelope(EnvelopeKind::Inbound, service, caller),
        );
        self.send(buffer, host).await
    }

    fn route(&self, service: ServiceId, packet: &[u8]) -> Result<Ipv4Addr> {
        let now_ms = self.control.now_ms();
        let mut suspicion = self.control.suspicion.borrow_mut();
        let store = self.control.store.borrow();
        let route = steering::steer(&store, &suspicion, service, packet, now_ms)?;
        if !route.may_open {
            return Ok(route.host);
        }
        self.control.metrics.openers.inc();
        suspicion.record_sent(route.host, now_ms);
        // If this opener made its owner suspected, it already goes to the runner-up.
        steering::steer(&store, &suspicion, service, packet, now_ms).map(|route| route.host)
    }

    fn envelope(&self, kind: EnvelopeKind, service: ServiceId, caller: SocketAddr) -> Envelope {
        Envelope {
            kind,
            service,
            caller,
            balancer: self.control.settings.host,
            revision: self.control.store.borrow().digest().highest,
        }
    }

    async fn send(&self, buffer: Vec<u8>, host: Ipv4Addr) -> Vec<u8> {
        let address = SocketAddr::from((host, self.control.settings.datagram_port));
        let BufResult(result, buffer) = self.socket.send_to(buffer, address).await;
        if result.is_ok() {
            self.control.metrics.packets_out.inc();
        }
        buffer
    }

    async fn forward_outbound_packets(&self) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = self.socket.recv_from(buffer).await;
            buffer = received;
            let Ok((_, agent)) = result else {
                continue;
            };
            buffer = self.forward_outbound(agent, buffer).await;
        }
    }

    async fn forward_outbound(&self, agent: SocketAddr, mut buffer: Vec<u8>) -> Vec<u8> {
        self.control.metrics.packets_in.inc();
        let envelope = match self.envelope_key.open(&buffer) {
            Ok((envelope, _)) if envelope.kind == EnvelopeKind::Outbound => envelope,
            _ => {
                self.control
                    .metrics
                    .packets_dropped
                    .inc(Code::EnvelopeForged);
                return buffer;
            }
        };
        if let SocketAddr::V4(agent) = agent {
            self.record_agent(*agent.ip(), envelope.revision);
        }
        let Some(socket) = self.service_socket(envelope.service) else {
            self.control
                .metrics
                .packets_dropped
                .inc(Code::ServiceUnknown);
            return buffer;
        };
        buffer.truncate(buffer.len() - ENVELOPE_BYTES);
        let BufResult(result, buffer) = socket.send_to(buffer, envelope.caller).await;
        if result.is_ok() {
            self.control.metrics.packets_out.inc();
        }
        buffer
    }

    fn record_agent(&self, host: Ipv4Addr, revision: Revision) {
        self.control.suspicion.borrow_mut().record_answer(host);
        self.revision_puller.observe(host, revision);
        let mut agents = self.agents.borrow_mut();
        if let Err(index) = agents.binary_search(&host) {
            agents.insert(index, host);
        }
    }

    fn service_socket(&self, service: ServiceId) -> Option<Rc<UdpSocket>> {
        let ports = self.ports.borrow();
        let index = ports.binary_search_by_key(&service, |port| port.service);
        index.ok().map(|index| ports[index].socket.clone())
    }

    /// Announces to every agent that answered through this balancer that the balancer is about to
    /// stop, so that the agent sends its answers through another one.
    async fn announce_leaving(&self) {
        let agents = self.agents.borrow().clone();
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let envelope = self.envelope(EnvelopeKind::Leaving, ServiceId(0), unspecified);
        for host in agents {
            let mut buffer = Vec::with_capacity(ENVELOPE_BYTES);
            self.envelope_key.append(&mut buffer, &envelope);
            self.send(buffer, host).await;
        }
    }
}
