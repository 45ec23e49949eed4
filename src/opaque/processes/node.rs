//! The common parts of balancer and agent processes: the directory, messages and beats.

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

/// The interval at which expired state is removed, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 500;
/// The time after its last beat for which a process is notified of changes at once, in
/// milliseconds: several beats.
const SUBSCRIPTION_MS: u64 = 4 * BEAT_MS;
/// The most processes that are notified of changes at once.
const MAX_SUBSCRIBERS: usize = 64;

/// The parts that balancer and agent processes have in common.
pub(crate) struct Node {
    pub(crate) control: Rc<ControlPlane>,
    pub(crate) wire: WireFormat,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) value_sync: Rc<ValueSync>,
    receiver: UdpSocket,
    sender: std::net::UdpSocket,
    /// The processes that send beats here and the time of the last one of each, sorted by host.
    subscribers: RefCell<Vec<(Ipv4Addr, u64)>>,
    /// The agents that are known while no configuration is in force.
    pub(crate) search: RefCell<FlowSearch>,
    /// The load of the backend server beside this process, which messages report.
    pub(crate) load_permille: Cell<u16>,
}

impl Node {
    /// Makes the node and binds the socket for messages between processes.
    pub(crate) fn new(control: &Rc<ControlPlane>, adapter: PlatformAdapter) -> Result<Rc<Self>> {
        let address = SocketAddr::from((control.settings.host, control.settings.datagram_port));
        let (receiver, sender) = udp::bind_pair(address)?;
        let node = Rc::new(Self {
            control: control.clone(),
            wire: adapter.wire,
            directory: RefCell::default(),
            value_sync: ValueSync::new(control, adapter.source),
            receiver,
            sender,
            subscribers: RefCell::default(),
            search: RefCell::default(),
            load_permille: Cell::new(UNKNOWN_LOAD_PERMILLE),
        });
        control.pushes_changes.set(false);
        let observer = node.clone();
        control.on_change(move |names| observer.apply_changed_values(names));
        Ok(node)
    }

    /// Returns once a configuration is in force; until then, sends messages of these kinds to the
    /// seeds to ask for one.
    pub(crate) async fn wait_for_configuration(self: &Rc<Self>, kinds: &[MessageKind]) {
        let ask_seed = |host| {
            for kind in kinds {
                self.send(host, Message::new(*kind), Vec::new());
            }
        };
        self.value_sync.wait_for_configuration(ask_seed).await;
    }

    /// Starts beats, reads of the platform and the removal of expired state; call it once a
    /// configuration is in force.
    pub(crate) fn start_sync(self: &Rc<Self>) {
        let node = self.clone();
        self.control.timers.every(BEAT_MS, move || {
            if let Some(parent) = node.value_sync.next_beat() {
                node.send(parent, Message::new(MessageKind::Beat), Vec::new());
            }
        });
        let node = self.clone();
        self.control.timers.every(EXPIRY_INTERVAL_MS, move || {
            let now_ms = node.control.now_ms();
            let clock_ms = node.value_sync.lapse_clock_ms();
            node.directory.borrow_mut().expire(clock_ms, now_ms);
            node.control.suspicion.borrow_mut().prune(now_ms);
        });
        let value_sync = self.value_sync.clone();
        compio::runtime::spawn(async move { value_sync.run().await }).detach();
    }

    fn apply_changed_values(&self, names: &[&str]) {
        let now_ms = self.control.now_ms();
        let mut directory = self.directory.borrow_mut();
        let store = self.control.store.borrow();
        let values = names.iter().filter_map(|name| store.get(name));
        let changes: Vec<ValueChange<'_>> = values.filter_map(ValueChange::parse).collect();
        let has_backends = changes.iter().any(ValueChange::is_backend);
        directory.apply_changes(changes, now_ms);
        let metrics = &self.control.metrics.opaque;
        metrics
            .entries_unusable
            .set(directory.unusable_count() as i64);
        let evacuated_count = directory.evacuated_zones().len();
        metrics.zones_evacuated.set(evacuated_count as i64);
        drop(store);
        if has_backends {
            let hosts = directory.host_list();
            self.control.store.borrow_mut().set_hosts(hosts);
        }
        drop(directory);
        self.notify_subscribers();
    }

    /// Notifies the processes that poll this one that its values changed.
    fn notify_subscribers(&self) {
        let now_ms = self.control.now_ms();
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|(_, last_beat_ms)| now_ms < last_beat_ms + SUBSCRIPTION_MS);
        let subscribers = subscribers.clone();
        for (host, _) in subscribers {
            self.send(host, Message::new(MessageKind::BeatReply), Vec::new());
        }
    }

    /// Receives messages of other processes forever, and passes them to `handle`.
    pub(crate) async fn receive(&self, mut handle: impl FnMut(Ipv4Addr, &Message, &[u8])) {
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
                    self.value_sync.handle_peer_state(*from.ip(), &message);
                    handle(*from.ip(), &message, payload);
                }
                Err(error) => self.drop_packet(&error),
            }
        }
    }

    /// Handles the message kinds that both roles handle alike; returns whether this was one of
    /// them.
    pub(crate) fn handle_common_message(
        self: &Rc<Self>,
        from: Ipv4Addr,
        message: &Message,
    ) -> bool {
        match message.kind {
            MessageKind::Beat => {
                self.add_subscriber(from);
                let reply = Message::new(MessageKind::BeatReply);
                self.send(from, reply, self.agent_list());
                true
            }
            MessageKind::BeatReply => {
                self.value_sync.handle_beat_reply(from, message);
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

    /// Returns the payload of a reply to a beat: the known agents, while no configuration is in
    /// force.
    fn agent_list(&self) -> Vec<u8> {
        if self.value_sync.has_routes() {
            return Vec::new();
        }
        let now_ms = self.control.now_ms();
        self.search.borrow().agent_list(now_ms)
    }

    fn add_subscriber(&self, host: Ipv4Addr) {
        let now_ms = self.control.now_ms();
        let mut subscribers = self.subscribers.borrow_mut();
        match subscribers.binary_search_by_key(&host, |(subscriber, _)| *subscriber) {
            Ok(index) => subscribers[index].1 = now_ms,
            Err(index) if subscribers.len() < MAX_SUBSCRIBERS => {
                subscribers.insert(index, (host, now_ms))
            }
            Err(_) => {}
        }
    }

    /// Performs actions; `send_to_backend` sends a packet to the backend server beside this
    /// process.
    pub(crate) fn perform(&self, actions: Vec<Action>, send_to_backend: impl Fn(&[u8])) {
        for action in actions {
            match action {
                Action::ToBackend(packet) => send_to_backend(&packet),
                Action::ToCaller(caller, packet) => self.send_to_caller(caller, &packet),
                Action::ToPeer(host, message, payload) => self.send(host, message, payload),
            }
        }
    }

    /// Sends a message to the process on another host.
    pub(crate) fn send(&self, host: Ipv4Addr, mut message: Message, mut payload: Vec<u8>) {
        self.value_sync.fill_in_state(&mut message);
        // A process that starts now does not know which entries lapsed just before; the remaining
        // grace period lets it wait for their return.
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

    /// Sends a datagram; counts it as dropped if the socket buffer is full.
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

    /// Counts a dropped packet.
    pub(crate) fn drop_packet(&self, error: &Error) {
        self.control.metrics.packets_dropped.inc(error.code);
        log::debug!("event=packet_dropped error={error}");
    }
}
