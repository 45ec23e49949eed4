//! The agent of opaque flows: stands beside one backend server, asks [`FlowAgent`], sends.

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
use crate::decisions::stall::LOOK_MS;
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

/// How long an agent that stops still hands packets to its backend server while openers go
/// elsewhere: their balancers hear of it with the first one.
const LEAVING: Duration = Duration::from_millis(200);
/// How often flows are tidied, in milliseconds.
const TIDY_MS: u64 = 1_000;
/// How often an agent tells others of a backend server that is not published, in milliseconds: twice in
/// the time for which processes that start wait for it.
const ANNOUNCE_MS: u64 = START_SETTLE_MS / 2;

/// How often an agent greets balancers that have gone quiet, in milliseconds: a balancer that starts without
/// the platform serves after about this time.
const GREET_MS: u64 = 100;

struct AgentProcess {
    node: Rc<Node>,
    flow_agent: RefCell<FlowAgent>,
    backend: SocketAddrV4,
    backend_sender: std::net::UdpSocket,
    doubts: RefCell<mpsc::Sender<()>>,
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
    let fresh = control.settings.opaque.fresh_site;
    let (doubts, doubted) = mpsc::channel(1);
    let side = Rc::new(AgentProcess {
        flow_agent: RefCell::new(FlowAgent::new(
            node.wire,
            identity,
            fresh,
            &control.metrics.opaque,
        )),
        node: node.clone(),
        backend: identity.backend,
        backend_sender,
        doubts: RefCell::new(doubts),
        ticker: Rc::default(),
    });
    side.clone().receive(from_backend);
    side.clone().watch_backend(doubted);
    // The greeting lets balancers show it packets of open flows before there is a configuration.
    node.start(&[MessageKind::Beat, MessageKind::Greeting])
        .await;
    side.subscribe();
    readiness::announce(&control, &ready);
    stop.await;
    side.decide(|agent, context| Ok(agent.leave(context)));
    log::info!("event=leaving grace_ms={}", LEAVING.as_millis());
    compio::time::sleep(LEAVING).await;
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
        let side = self.clone();
        compio::runtime::spawn(async move { side.receive_from_backend(&from_backend).await })
            .detach();
        compio::runtime::spawn(async move {
            let node = self.node.clone();
            node.receive(|from, message, payload| self.peer_says(from, message, payload))
                .await;
        })
        .detach();
    }

    fn subscribe(self: &Rc<Self>) {
        self.node.subscribe();
        let side = self.clone();
        let look = move || side.decide(|agent, context| Ok(agent.handle_published_change(context)));
        look();
        self.node.control.on_change(move |_| look());
        let side = self.clone();
        let announce = move || side.announce_unlisted();
        self.node.control.timers.every(ANNOUNCE_MS, announce);
        let side = self.clone();
        let seeds = self.node.control.settings.seeds.clone();
        let greet = move || side.decide(|agent, context| Ok(agent.greet(context, &seeds)));
        self.node.control.timers.every(GREET_MS, greet);
        let side = self.clone();
        let look = move || side.decide(|agent, context| Ok(agent.check_for_stall(context)));
        self.node.control.timers.every(LOOK_MS, look);
        let side = self.clone();
        let lifetime_ms = self.node.control.settings.opaque.flow_lifetime_ms();
        self.node.control.timers.every(TIDY_MS, move || {
            let now_ms = side.node.control.now_ms();
            let mut agent = side.flow_agent.borrow_mut();
            agent.expire(now_ms);
            if now_ms > lifetime_ms {
                agent.set_knows_all_flows();
            }
        });
    }

    /// Tells all others of a backend server that is not published.
    ///
    /// Without it, processes that start while lapsed entries are not back yet reset flows that it holds.
    fn announce_unlisted(&self) {
        let directory = self.node.directory.borrow();
        let hosts = directory.current_hosts();
        if !queries_all_agents(&directory)
            || !self.flow_agent.borrow().is_backend_unlisted(&directory)
        {
            return;
        }
        let own = self.node.control.settings.host;
        let others: Vec<Ipv4Addr> = hosts.iter().copied().filter(|host| *host != own).collect();
        drop(directory);
        for host in others {
            let message = Message::new(MessageKind::Unlisted);
            self.node.send(host, message, Vec::new());
        }
    }

    fn watch_backend(self: Rc<Self>, doubts: mpsc::Receiver<()>) {
        compio::runtime::spawn(async move {
            let backend = self.backend;
            backend_watch::run(backend, |sign| self.backend_sign(sign), doubts).await;
        })
        .detach();
    }

    fn backend_sign(self: &Rc<Self>, sign: ConnectionEvent) {
        match sign {
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

    fn peer_says(self: &Rc<Self>, from: Ipv4Addr, message: &Message, payload: &[u8]) {
        if self.node.take_beat(from, message) || message.kind == MessageKind::Holds {
            return;
        }
        self.node.control.metrics.packets_in.inc();
        self.decide(|agent, context| agent.handle_peer_message(context, from, message, payload));
    }

    /// Runs one decision of the agent and performs its actions.
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
                is_settled: self.node.values.is_settled(),
                now_ms: control.now_ms(),
            };
            let mut agent = self.flow_agent.borrow_mut();
            let result = decision(&mut agent, &context);
            self.node.load_permille.set(agent.load_permille(&context));
            if agent.take_reconnect_request() {
                // One that waits already says the same.
                let _ = self.doubts.borrow_mut().try_send(());
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
        let (waiting, ticked) = (self.clone(), self.clone());
        let is_waiting = move || waiting.flow_agent.borrow().needs_tick();
        self.ticker.start(is_waiting, move || {
            ticked.decide(|agent, context| Ok(agent.tick(context)))
        });
    }
}
