//! What balancers and agents of opaque flows share: the directory, messages, beats.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;

use compio::BufResult;
use compio::net::UdpSocket;

use crate::controllers::control_plane::ControlPlane;
use crate::error::{Error, Result};
use crate::opaque::PlatformAdapter;
use crate::opaque::flows::flow_search::FlowSearch;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind, UNKNOWN_LOAD_PERMILLE};
use crate::opaque::packets::segment::WireFormat;
use crate::opaque::values::directory::Directory;
use crate::opaque::values::freshness::BEAT_MS;
use crate::opaque::values::value_change::ValueChange;
use crate::opaque::values::value_sync::ValueSync;
use crate::process::udp::{self, BUFFER_BYTES};

/// How often what is remembered is tidied, in milliseconds.
const TIDY_MS: u64 = 500;
/// For how long a process that asked is told of changes at once, in milliseconds: some beats.
const ASKER_MS: u64 = 4 * BEAT_MS;
/// The most processes that are told of changes at once.
const MAX_ASKERS: usize = 64;

/// The parts of a process on which both roles build.
pub(crate) struct Node {
    pub(crate) control: Rc<ControlPlane>,
    pub(crate) wire: WireFormat,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) values: Rc<ValueSync>,
    receiver: UdpSocket,
    sender: std::net::UdpSocket,
    askers: RefCell<Vec<(Ipv4Addr, u64)>>,
    /// The agents heard of while there is no configuration.
    pub(crate) search: RefCell<FlowSearch>,
    /// The load that messages tell of the backend server beside this process.
    pub(crate) load_permille: Cell<u16>,
}

impl Node {
    /// Makes the node and binds the socket between processes.
    pub(crate) fn new(control: &Rc<ControlPlane>, adapter: PlatformAdapter) -> Result<Rc<Self>> {
        let address = SocketAddr::from((control.settings.host, control.settings.datagram_port));
        let (receiver, sender) = udp::bind_pair(address)?;
        let node = Rc::new(Self {
            control: control.clone(),
            wire: adapter.wire,
            directory: RefCell::default(),
            values: ValueSync::new(control, adapter.source),
            receiver,
            sender,
            askers: RefCell::default(),
            search: RefCell::default(),
            load_permille: Cell::new(UNKNOWN_LOAD_PERMILLE),
        });
        control.pushes_changes.set(false);
        let changed = node.clone();
        control.on_change(move |names| changed.values_changed(names));
        Ok(node)
    }

    /// Returns once a configuration is in force; meanwhile seeds are asked for one, again and again, by
    /// messages of these kinds.
    pub(crate) async fn start(self: &Rc<Self>, kinds: &[MessageKind]) {
        let ask = |host| {
            for kind in kinds {
                self.send(host, Message::new(*kind), Vec::new());
            }
        };
        self.values.start(ask).await;
    }

    /// Starts beats and tidying, once a configuration is in force.
    pub(crate) fn subscribe(self: &Rc<Self>) {
        let node = self.clone();
        self.control.timers.every(BEAT_MS, move || {
            if let Some(parent) = node.values.beat() {
                node.send(parent, Message::new(MessageKind::Beat), Vec::new());
            }
        });
        let node = self.clone();
        self.control.timers.every(TIDY_MS, move || {
            let now_ms = node.control.now_ms();
            let clock_ms = node.values.lapse_clock_ms();
            node.directory.borrow_mut().expire(clock_ms, now_ms);
            node.control.suspicion.borrow_mut().prune(now_ms);
        });
        let values = self.values.clone();
        compio::runtime::spawn(async move { values.run().await }).detach();
    }

    fn values_changed(&self, names: &[&str]) {
        let now_ms = self.control.now_ms();
        let mut directory = self.directory.borrow_mut();
        let store = self.control.store.borrow();
        let values = names.iter().filter_map(|name| store.get(name));
        let changes: Vec<ValueChange<'_>> = values.filter_map(ValueChange::of).collect();
        let has_backends = changes.iter().any(ValueChange::is_backend);
        directory.apply_changes(changes, now_ms);
        let metrics = &self.control.metrics.opaque;
        metrics
            .entries_unusable
            .set(directory.unusable_count() as i64);
        let evacuated = directory.evacuated_zones().len();
        metrics.zones_evacuated.set(evacuated as i64);
        drop(store);
        if has_backends {
            let hosts = directory.host_list();
            self.control.store.borrow_mut().set_hosts(hosts);
        }
        drop(directory);
        self.push_change();
    }

    /// Tells those who ask this process that it holds something newer.
    fn push_change(&self) {
        let now_ms = self.control.now_ms();
        let mut askers = self.askers.borrow_mut();
        askers.retain(|(_, asked_ms)| now_ms < asked_ms + ASKER_MS);
        let askers = askers.clone();
        for (host, _) in askers {
            self.send(host, Message::new(MessageKind::BeatReply), Vec::new());
        }
    }

    /// Receives datagrams of other processes forever.
    pub(crate) async fn receive(&self, mut take: impl FnMut(Ipv4Addr, &Message, &[u8])) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = self.receiver.recv_from(buffer).await;
            buffer = received;
            let Ok((_, SocketAddr::V4(from))) = result else {
                continue;
            };
            match Message::split(&buffer) {
                Ok((payload, message)) => {
                    self.values.noticed(*from.ip(), &message);
                    take(*from.ip(), &message, payload);
                }
                Err(error) => self.drop_packet(&error),
            }
        }
    }

    /// Takes what both roles answer alike; says whether it was that.
    pub(crate) fn take_beat(self: &Rc<Self>, from: Ipv4Addr, message: &Message) -> bool {
        match message.kind {
            MessageKind::Beat => {
                self.note_asker(from);
                let reply = Message::new(MessageKind::BeatReply);
                self.send(from, reply, self.running_agents());
                true
            }
            MessageKind::BeatReply => {
                self.values.beat_answered(from, message);
                true
            }
            MessageKind::Unlisted => {
                let now_ms = self.control.now_ms();
                self.directory.borrow_mut().record_unlisted(from, now_ms);
                true
            }
            _ => false,
        }
    }

    /// Returns the list of agents for a balancer that asks while neither has a configuration.
    fn running_agents(&self) -> Vec<u8> {
        if self.values.has_routes() {
            return Vec::new();
        }
        let now_ms = self.control.now_ms();
        self.search.borrow().agent_list(now_ms)
    }

    fn note_asker(&self, host: Ipv4Addr) {
        let now_ms = self.control.now_ms();
        let mut askers = self.askers.borrow_mut();
        match askers.binary_search_by_key(&host, |(asker, _)| *asker) {
            Ok(index) => askers[index].1 = now_ms,
            Err(index) if askers.len() < MAX_ASKERS => askers.insert(index, (host, now_ms)),
            Err(_) => {}
        }
    }

    /// Does what a decision asks; `backend` sends to the backend server beside this process.
    pub(crate) fn perform(&self, actions: Vec<Action>, backend: impl Fn(&[u8])) {
        for action in actions {
            match action {
                Action::ToBackend(packet) => backend(&packet),
                Action::ToCaller(caller, packet) => self.send_to_caller(caller, &packet),
                Action::ToPeer(host, message, payload) => self.send(host, message, payload),
            }
        }
    }

    /// Sends a message to the process on another host.
    pub(crate) fn send(&self, host: Ipv4Addr, mut message: Message, mut payload: Vec<u8>) {
        self.values.sign(&mut message);
        // A process that starts now does not know what vanished a moment ago; who saw it tells it.
        let lapse_grace_left_ms = self.directory.borrow().lapse_grace_left_ms();
        message.settle_remaining_ms = message.settle_remaining_ms.max(lapse_grace_left_ms as u16);
        if message.load_permille == UNKNOWN_LOAD_PERMILLE {
            message.load_permille = self.load_permille.get();
        }
        message.append(&mut payload);
        let address = SocketAddrV4::new(host, self.control.settings.datagram_port);
        self.send_datagram(&self.sender, address, &payload);
    }

    /// Sends a packet to its caller.
    pub(crate) fn send_to_caller(&self, caller: SocketAddrV4, packet: &[u8]) {
        let port = self
            .control
            .settings
            .opaque
            .listen
            .map_or(0, |listen| listen.port());
        let address = SocketAddrV4::new(*caller.ip(), port);
        self.send_datagram(&self.sender, address, packet);
    }

    /// Sends a datagram; where the socket is full it is lost, as on any link, and counted.
    pub(crate) fn send_datagram(
        &self,
        socket: &std::net::UdpSocket,
        to: SocketAddrV4,
        bytes: &[u8],
    ) {
        match socket.send_to(bytes, to) {
            Ok(_) => {
                self.control.metrics.packets_out.inc();
            }
            Err(error) => self.drop_packet(&Error::from(error)),
        }
    }

    /// Counts a packet that goes no further.
    pub(crate) fn drop_packet(&self, error: &Error) {
        self.control.metrics.packets_dropped.inc(error.code);
        log::debug!("event=packet_dropped error={error}");
    }
}
