//! The balancer process of opaque flows: receives packets of callers and sends what [`Forwarder`]
//! decides.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;

use crate::code::Code;
use crate::controllers::control_plane::ControlPlane;
use crate::error::{Error, Result};
use crate::opaque::forwarder::{Forwarder, decode_flow, decode_steady_load, decode_wait_ms};
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::FlowKey;
use crate::opaque::processes::readiness;
use crate::opaque::processes::ticker::Ticker;
use crate::opaque::{Node, PlatformAdapter};
use crate::process::udp::{self, BUFFER_BYTES};

/// The time for which a balancer keeps forwarding after it stops being ready: the platform checks
/// readiness twice a second and acts on the second negative answer.
const STOP_GRACE: Duration = Duration::from_millis(1_800);
/// The interval at which expired hints are removed, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

struct BalancerProcess {
    node: Rc<Node>,
    forwarder: RefCell<Forwarder>,
    ticker: Rc<Ticker>,
}

/// Runs a balancer until `stop` completes.
pub(crate) async fn run(
    control: Rc<ControlPlane>,
    adapter: PlatformAdapter,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let node = Node::new(&control, adapter)?;
    let listen = control.settings.opaque.listen;
    let listen = listen.ok_or_else(|| Error::new(Code::SettingsMissing, "[opaque] listen"))?;
    let callers = udp::bind(listen)?;
    let ready = readiness::serve(&control).await?;
    let balancer = Rc::new(BalancerProcess {
        forwarder: RefCell::new(Forwarder::new(
            node.wire,
            control.settings.host,
            &control.settings.zone,
            control.settings.opaque.flow_lifetime_ms(),
            &control.metrics.opaque,
        )),
        node: node.clone(),
        ticker: Rc::default(),
    });
    let receiver = balancer.clone();
    compio::runtime::spawn(async move {
        let node = receiver.node.clone();
        node.receive(|from, message, payload| receiver.handle_message(from, message, payload))
            .await;
    })
    .detach();
    let observer = balancer.clone();
    control.on_change(move |_| observer.offer_early());
    let receiver = balancer.clone();
    compio::runtime::spawn(async move { receiver.receive(&callers).await }).detach();
    node.wait_for_configuration(&[MessageKind::Beat]).await;
    node.start_sync();
    let expiring = balancer.clone();
    control.timers.every(EXPIRY_INTERVAL_MS, move || {
        let now_ms = expiring.node.control.now_ms();
        expiring.forwarder.borrow_mut().expire(now_ms);
    });
    readiness::set_ready(&control, &ready);
    stop.await;
    ready.set(false);
    log::info!("event=leaving grace_ms={}", STOP_GRACE.as_millis());
    compio::time::sleep(STOP_GRACE).await;
    Ok(())
}

impl BalancerProcess {
    async fn receive(self: &Rc<Self>, callers: &UdpSocket) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(result, received) = callers.recv_from(buffer).await;
            buffer = received;
            if result.is_ok() {
                self.node.control.metrics.packets_in.inc();
                self.handle_packet(buffer.clone());
            }
        }
    }

    fn handle_packet(self: &Rc<Self>, packet: Vec<u8>) {
        let now_ms = self.node.control.now_ms();
        if !self.node.value_sync.has_routes() {
            self.handle_without_routes(&packet, now_ms);
            return;
        }
        let result = {
            let directory = self.node.directory.borrow();
            let mut suspicion = self.node.control.suspicion.borrow_mut();
            let mut forwarder = self.forwarder.borrow_mut();
            forwarder.handle(&directory, &mut suspicion, packet, now_ms)
        };
        match result {
            Ok(action) => self.node.perform(vec![action], |_| {}),
            Err(error) => self.node.drop_packet(&error),
        }
        self.start_ticking();
    }

    /// Forwards a packet while no configuration is in force.
    fn handle_without_routes(&self, packet: &[u8], now_ms: u64) {
        let result = {
            let mut search = self.node.search.borrow_mut();
            let mut forwarder = self.forwarder.borrow_mut();
            forwarder.handle_without_routes(&mut search, packet, now_ms)
        };
        match result {
            Ok(actions) => self.node.perform(actions, |_| {}),
            Err(error) => self.node.drop_packet(&error),
        }
    }

    /// Offers the openers that arrived before the configuration was in force.
    fn offer_early(self: &Rc<Self>) {
        if !self.node.value_sync.has_routes() {
            return;
        }
        let now_ms = self.node.control.now_ms();
        let actions = {
            let directory = self.node.directory.borrow();
            let suspicion = self.node.control.suspicion.borrow();
            let mut forwarder = self.forwarder.borrow_mut();
            forwarder.offer_early_openers(&directory, &suspicion, now_ms)
        };
        self.node.perform(actions, |_| {});
        self.start_ticking();
    }

    /// Records which agents run, while no configuration is in force.
    fn record_agents(&self, from: Ipv4Addr, message: &Message, payload: &[u8]) {
        if self.node.value_sync.has_routes() {
            return;
        }
        let now_ms = self.node.control.now_ms();
        let mut search = self.node.search.borrow_mut();
        match message.kind {
            MessageKind::Greeting => search.record_greeting(from, now_ms),
            MessageKind::BeatReply => search.record_agents(payload, now_ms),
            _ => {}
        }
    }

    fn handle_message(self: &Rc<Self>, from: Ipv4Addr, message: &Message, payload: &[u8]) {
        let now_ms = self.node.control.now_ms();
        self.node.control.suspicion.borrow_mut().record_answer(from);
        let load_permille = message.load_permille;
        self.forwarder
            .borrow_mut()
            .record_message(from, load_permille, now_ms);
        self.record_agents(from, message, payload);
        if self.node.handle_common_message(from, message) {
            return;
        }
        let Some(flow) = decode_flow(payload) else {
            return;
        };
        if let Some(permille) = decode_steady_load(payload) {
            let mut forwarder = self.forwarder.borrow_mut();
            forwarder.record_steady_load(from, permille, now_ms);
        }
        if let Some(wait_ms) = decode_wait_ms(payload) {
            let mut forwarder = self.forwarder.borrow_mut();
            forwarder.record_wait(&self.node.directory.borrow(), from, wait_ms, now_ms);
        }
        match message.kind {
            MessageKind::Declined => self.handle_decline(&flow, from, now_ms),
            MessageKind::Holds => {
                let mut forwarder = self.forwarder.borrow_mut();
                if message.has_opened {
                    forwarder.record_opened(flow, message.host, now_ms);
                } else {
                    forwarder.record_holder(flow, message.host, now_ms);
                }
            }
            MessageKind::Found => {
                log::info!("event=flow_found flow={flow} host={from}");
                self.forwarder
                    .borrow_mut()
                    .record_holder(flow, from, now_ms);
            }
            MessageKind::AttemptFailed => {
                let mut forwarder = self.forwarder.borrow_mut();
                forwarder.record_failed_attempt(&flow, message.waited_ms, now_ms);
            }
            MessageKind::Absent => self.forwarder.borrow_mut().record_handed_on(&flow, from),
            _ => {}
        }
    }

    fn handle_decline(&self, flow: &FlowKey, from: Ipv4Addr, now_ms: u64) {
        let action = {
            let directory = self.node.directory.borrow();
            let suspicion = self.node.control.suspicion.borrow();
            let mut forwarder = self.forwarder.borrow_mut();
            forwarder.handle_decline(&directory, &suspicion, flow, from, now_ms)
        };
        self.node.perform(action.into_iter().collect(), |_| {});
    }

    fn start_ticking(self: &Rc<Self>) {
        let (waiting, ticking) = (self.clone(), self.clone());
        let is_waiting = move || waiting.forwarder.borrow().is_waiting();
        self.ticker.start(is_waiting, move || ticking.tick());
    }

    fn tick(&self) {
        let now_ms = self.node.control.now_ms();
        let actions = {
            let directory = self.node.directory.borrow();
            let mut suspicion = self.node.control.suspicion.borrow_mut();
            let mut forwarder = self.forwarder.borrow_mut();
            forwarder.tick(&directory, &mut suspicion, now_ms)
        };
        self.node.perform(actions, |_| {});
    }
}
