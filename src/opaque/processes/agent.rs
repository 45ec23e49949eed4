//! The agent process of opaque flows: runs beside one backend server and sends what [`FlowAgent`]
//! decides.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use futures_channel::mpsc;

use crate::code::Code;
use crate::config::service_id::ServiceId;
use crate::controllers::control_plane::ControlPlane;
use crate::decisions::stall::STALL_CHECK_INTERVAL_MS;
use crate::error::{Error, Result};
use crate::opaque::flow_agent::{AgentContext, AgentIdentity, FlowAgent};
use crate::opaque::flows::lookup::queries_all_agents;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::processes::backend_watch::{self, ConnectionEvent};
use crate::opaque::processes::readiness;
use crate::opaque::processes::ticker::Ticker;
use crate::opaque::values::settle_state::START_SETTLE_MS;
use crate::opaque::{Node, PlatformAdapter};
use crate::process::udp::{self, BUFFER_BYTES};

/// The time for which a stopping agent still delivers packets to its backend server while it hands
/// openers on. The first opener that it hands on shows its balancer that it stops.
const STOP_GRACE: Duration = Duration::from_millis(200);
/// The interval at which expired flows are removed, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;
/// The interval at which an agent announces a backend server that is not published, in
/// milliseconds: twice in the time for which starting processes wait for announcements.
const ANNOUNCE_INTERVAL_MS: u64 = START_SETTLE_MS / 2;

/// The interval at which an agent greets quiet balancers, in milliseconds: a balancer that starts
/// while the platform is unreachable serves after about this time.
const GREET_INTERVAL_MS: u64 = 100;

struct AgentProcess {
    node: Rc<Node>,
    flow_agent: RefCell<FlowAgent>,
    backend: SocketAddrV4,
    backend_sender: std::net::UdpSocket,
    reconnect_requests: RefCell<mpsc::Sender<()>>,
    ticker: Rc<Ticker>,
}

/// Runs an agent until `stop` completes.
pub(crate) async fn run(
    control: Rc<ControlPlane>,
    adapter: PlatformAdapter,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let node = Node::new(&control, adapter)?;
    let identity = identity(&control)?;
    let outbound = control.settings.opaque.outbound;
    let outbound =
        outbound.ok_or_else(|| Error::new(Code::SettingsMissing, "[opaque] outbound"))?;
    let (from_backend, backend_sender) = udp::bind_pair(outbound)?;
    let ready = readiness::serve(&control).await?;
    let is_fresh_site = control.settings.opaque.fresh_site;
    let (reconnect_sender, reconnect_requests) = mpsc::channel(1);
    let agent = Rc::new(AgentProcess {
        flow_agent: RefCell::new(FlowAgent::new(
            node.wire,
            identity,
            is_fresh_site,
            &control.metrics.opaque,
        )),
        node: node.clone(),
        backend: identity.backend,
        backend_sender,
        reconnect_requests: RefCell::new(reconnect_sender),
        ticker: Rc::default(),
    });
    agent.clone().receive(from_backend);
    agent.clone().watch_backend(reconnect_requests);
    // The greeting lets balancers send packets of open flows to this agent before a configuration
    // is in force.
    node.wait_for_configuration(&[MessageKind::Beat, MessageKind::Greeting])
        .await;
    agent.start_timers();
    readiness::set_ready(&control, &ready);
    stop.await;
    agent.decide(|agent, context| Ok(agent.leave(context)));
    log::info!("event=leaving grace_ms={}", STOP_GRACE.as_millis());
    compio::time::sleep(STOP_GRACE).await;
    Ok(())
}

fn identity(control: &ControlPlane) -> Result<AgentIdentity> {
    let settings = &control.settings.opaque;
    let missing = |key: &str| Error::new(Code::SettingsMissing, format!("[opaque] {key}"));
    let service = settings.service.as_deref();
    Ok(AgentIdentity {
        host: control.settings.host,
        backend: settings.backend.ok_or_else(|| missing("backend"))?,
        service: ServiceId::from_name(service.ok_or_else(|| missing("service"))?),
        flow_lifetime_ms: settings.flow_lifetime_ms(),
    })
}

impl AgentProcess {
    fn receive(self: Rc<Self>, from_backend: UdpSocket) {
        let agent = self.clone();
        compio::runtime::spawn(async move { agent.receive_from_backend(&from_backend).await })
            .detach();
        compio::runtime::spawn(async move {
            let node = self.node.clone();
            node.receive(|from, message, payload| self.handle_message(from, message, payload))
                .await;
        })
        .detach();
    }

    fn start_timers(self: &Rc<Self>) {
        self.node.start_sync();
        let agent = self.clone();
        let check_published =
            move || agent.decide(|agent, context| Ok(agent.handle_published_change(context)));
        check_published();
        self.node.control.on_change(move |_| check_published());
        let agent = self.clone();
        let announce = move || agent.announce_unlisted();
        self.node
            .control
            .timers
            .every(ANNOUNCE_INTERVAL_MS, announce);
        let agent = self.clone();
        let seeds = self.node.control.settings.seeds.clone();
        let greet = move || agent.decide(|agent, context| Ok(agent.greet(context, &seeds)));
        self.node.control.timers.every(GREET_INTERVAL_MS, greet);
        let agent = self.clone();
        let check_stall = move || agent.decide(|agent, context| Ok(agent.check_for_stall(context)));
        self.node
            .control
            .timers
            .every(STALL_CHECK_INTERVAL_MS, check_stall);
        let agent = self.clone();
        let lifetime_ms = self.node.control.settings.opaque.flow_lifetime_ms();
        self.node.control.timers.every(EXPIRY_INTERVAL_MS, move || {
            let now_ms = agent.node.control.now_ms();
            let mut agent = agent.flow_agent.borrow_mut();
            agent.expire(now_ms);
            if now_ms > lifetime_ms {
                agent.set_knows_all_flows();
            }
        });
    }

    /// Announces the backend server to all agents if it is not published.
    ///
    /// Otherwise processes that start before lapsed entries are back would reset flows that it
    /// holds.
    fn announce_unlisted(&self) {
        let directory = self.node.directory.borrow();
        let hosts = directory.current_hosts();
        if !queries_all_agents(&directory)
            || !self.flow_agent.borrow().is_backend_unlisted(&directory)
        {
            return;
        }
        let own_host = self.node.control.settings.host;
        let other_hosts: Vec<Ipv4Addr> = hosts
            .iter()
            .copied()
            .filter(|host| *host != own_host)
            .collect();
        drop(directory);
        for host in other_hosts {
            let message = Message::new(MessageKind::Unlisted);
            self.node.send(host, message, Vec::new());
        }
    }

    fn watch_backend(self: Rc<Self>, reconnect_requests: mpsc::Receiver<()>) {
        compio::runtime::spawn(async move {
            let backend = self.backend;
            backend_watch::run(
                backend,
                |event| self.handle_connection_event(event),
                reconnect_requests,
            )
            .await;
        })
        .detach();
    }

    fn handle_connection_event(self: &Rc<Self>, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Accepted => {
                let now_ms = self.node.control.now_ms();
                self.flow_agent
                    .borrow_mut()
                    .handle_backend_listening(now_ms);
            }
            ConnectionEvent::Broken => {
                let now_ms = self.node.control.now_ms();
                self.flow_agent
                    .borrow_mut()
                    .handle_backend_disconnected(now_ms);
            }
            ConnectionEvent::Refused => {
                self.decide(|agent, context| Ok(agent.handle_backend_refused(context)))
            }
        }
    }

    async fn receive_from_backend(self: &Rc<Self>, socket: &UdpSocket) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = socket.recv_from(buffer).await;
            buffer = received;
            if result.is_err() {
                continue;
            }
            self.node.control.metrics.packets_in.inc();
            let packet = buffer.clone();
            self.decide(|agent, context| agent.handle_backend_packet(context, packet));
        }
    }

    fn handle_message(self: &Rc<Self>, from: Ipv4Addr, message: &Message, payload: &[u8]) {
        if self.node.handle_common_message(from, message) || message.kind == MessageKind::Holds {
            return;
        }
        self.node.control.metrics.packets_in.inc();
        self.decide(|agent, context| agent.handle_peer_message(context, from, message, payload));
    }

    /// Runs a decision of the agent and performs the actions that it returns.
    fn decide(
        self: &Rc<Self>,
        decision: impl FnOnce(&mut FlowAgent, &AgentContext<'_>) -> Result<Vec<Action>>,
    ) {
        let control = &self.node.control;
        let result = {
            let directory = self.node.directory.borrow();
            let suspicion = control.suspicion.borrow();
            let context = AgentContext {
                directory: &directory,
                suspicion: &suspicion,
                revision: control.store.borrow().digest().highest,
                is_settled: self.node.value_sync.is_settled(),
                now_ms: control.now_ms(),
            };
            let mut agent = self.flow_agent.borrow_mut();
            let result = decision(&mut agent, &context);
            self.node.load_permille.set(agent.load_permille(&context));
            if agent.take_reconnect_request() {
                // If the channel is full, a request to reconnect is already pending.
                let _ = self.reconnect_requests.borrow_mut().try_send(());
            }
            result
        };
        match result {
            Ok(actions) => self.node.perform(actions, |packet| {
                self.node
                    .send_datagram(&self.backend_sender, self.backend, packet);
            }),
            Err(error) => self.node.drop_packet(&error),
        }
        self.start_ticking();
    }

    fn start_ticking(self: &Rc<Self>) {
        let (waiting, ticking) = (self.clone(), self.clone());
        let is_waiting = move || waiting.flow_agent.borrow().needs_tick();
        self.ticker.start(is_waiting, move || {
            ticking.decide(|agent, context| Ok(agent.tick(context)))
        });
    }
}
