//! The agent, which makes the final decision on flows and requests for the targets on its host.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, RwLock};

use compio::net::UdpSocket;
use compio::quic::ServerConfig;
use serde_json::{Value, json};

use crate::config::sealed_id::{SealedBytes, SealedId, SealedIdKind};
use crate::config::service_id::ServiceId;
use crate::controllers::control_plane::ControlPlane;
use crate::controllers::relay::RevisionPuller;
use crate::error::Result;
use crate::process::udp;
use crate::quic::envelope::EnvelopeKey;
use crate::quic::flow_socket::FlowSocket;
use crate::quic::quic_endpoint;
use crate::quic::return_path::ReturnPath;
use crate::quic::target::Target;
use crate::quic::token_generator::SharedKeyRing;

/// The state of an agent: its targets, sockets and keys.
pub(crate) struct Agent {
    pub(crate) control: Rc<ControlPlane>,
    pub(crate) targets: RefCell<Vec<Rc<Target>>>,
    pub(crate) key_ring: SharedKeyRing,
    pub(crate) next_exchange_index: Cell<usize>,
    pub(crate) envelope_key: EnvelopeKey,
    pub(crate) reset_key: ring::hmac::Key,
    pub(crate) server_config: ServerConfig,
    pub(crate) socket: UdpSocket,
    pub(crate) flow_sockets: RefCell<Vec<Rc<FlowSocket>>>,
    pub(crate) return_path: RefCell<ReturnPath>,
    pub(crate) revision_puller: RevisionPuller,
}

impl Agent {
    /// Creates the agent and binds its datagram socket.
    pub(crate) fn new(control: &Rc<ControlPlane>) -> Result<Rc<Self>> {
        let settings = &control.settings;
        let address = SocketAddr::from((settings.host, settings.datagram_port));
        let key_ring = control.store.borrow().key_ring().clone();
        Ok(Rc::new(Self {
            targets: RefCell::default(),
            key_ring: Arc::new(RwLock::new(key_ring)),
            next_exchange_index: Cell::new(0),
            envelope_key: EnvelopeKey::new(&settings.cluster_key),
            reset_key: settings.cluster_key.reset_key(),
            server_config: quic_endpoint::server_config(settings)?,
            socket: udp::bind(address)?,
            flow_sockets: RefCell::default(),
            return_path: RefCell::default(),
            revision_puller: RevisionPuller::new(control),
            control: control.clone(),
        }))
    }

    /// Calls `action` with each target. The list is cloned, so that `action` may change the
    /// targets.
    pub(crate) fn for_each_target(&self, action: impl Fn(&Rc<Target>)) {
        let targets = self.targets.borrow().clone();
        targets.iter().for_each(action);
    }

    /// Returns this host's target of a service.
    pub(crate) fn target(&self, service: ServiceId) -> Option<Rc<Target>> {
        let targets = self.targets.borrow();
        let index = targets.binary_search_by_key(&service, |target| target.service);
        index.ok().map(|index| targets[index].clone())
    }

    /// Decrypts a ticket of `service`. Returns `None` if it is invalid.
    pub(crate) fn open_ticket(&self, service: ServiceId, ticket: &[u8]) -> Option<SealedId> {
        let store = self.control.store.borrow();
        SealedId::open(store.key_ring(), SealedIdKind::Ticket, service, ticket)
    }

    /// Issues a ticket that binds one request to this incarnation. Returns `None` once this
    /// incarnation has issued all ticket counters.
    pub(crate) fn issue_ticket(&self, target: &Target) -> Option<SealedBytes> {
        let ticket = SealedId {
            host: target.host,
            incarnation: self.control.incarnation,
            service: target.service,
            nonce: target.ledger.borrow_mut().issue_ticket()?,
        };
        let store = self.control.store.borrow();
        Some(ticket.seal(store.key_ring(), SealedIdKind::Ticket, rand::random()))
    }

    /// Returns whether this incarnation issued the token or ticket.
    pub(crate) fn is_issued_here(&self, id: &SealedId) -> bool {
        id.host == self.control.settings.host && id.incarnation == self.control.incarnation
    }

    /// Returns the number of open flows of all targets.
    pub(crate) fn open_flows(&self) -> u32 {
        let targets = self.targets.borrow();
        let open_flows = |target: &Rc<Target>| target.admission.borrow().open_flows();
        targets.iter().map(open_flows).sum()
    }

    /// Returns the state dump.
    pub(crate) fn state(&self) -> Value {
        let now_ms = self.control.now_ms();
        let targets: Vec<Value> = self.targets.borrow().iter().map(|t| t.state()).collect();
        let balancers = self.return_path.borrow().ages_ms(now_ms);
        let balancer_json = |(host, age_ms)| json!({"host": host, "age_ms": age_ms});
        let mut state = self.control.state("agent");
        state["targets"] = Value::from(targets);
        state["flow_sockets"] = json!(self.flow_sockets.borrow().len());
        state["balancers"] = balancers.into_iter().map(balancer_json).collect();
        state["packets"] = self.control.metrics.packet_counts();
        state
    }
}
