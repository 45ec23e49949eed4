//! The balancer of opaque flows: reads packets of callers, asks [`Forwarder`], sends.

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

/// How long a balancer goes on forwarding after it said that it takes no traffic: the platform asks
/// twice a second and believes the second answer.
const LEAVING: Duration = Duration::from_millis(1_800);
/// How often hints are tidied, in milliseconds.
const TIDY_MS: u64 = 5_000;

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
    let entry = Rc::new(BalancerProcess {
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
    let peers = entry.clone();
    compio::runtime::spawn(async move {
        let node = peers.node.clone();
        node.receive(|from, message, payload| peers.peer_says(from, message, payload))
            .await;
    })
    .detach();
    let informed = entry.clone();
    control.on_change(move |_| informed.offer_early());
    let receiving = entry.clone();
    compio::runtime::spawn(async move { receiving.receive(&callers).await }).detach();
    node.start(&[MessageKind::Beat]).await;
    node.subscribe();
    let tidied = entry.clone();
    control.timers.every(TIDY_MS, move || {
        let now_ms = tidied.node.control.now_ms();
        tidied.forwarder.borrow_mut().expire(now_ms);
    });
    readiness::announce(&control, &ready);
    stop.await;
    ready.set(false);
    log::info!("event=leaving grace_ms={}", LEAVING.as_millis());
    compio::time::sleep(LEAVING).await;
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
                self.take(buffer.clone());
            }
        }
    }

    fn take(self: &Rc<Self>, packet: Vec<u8>) {
        let now_ms = self.node.control.now_ms();
        if !self.node.values.has_routes() {
            self.search(&packet, now_ms);
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

    /// Forwards a packet while there is no configuration.
    fn search(&self, packet: &[u8], now_ms: u64) {
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

    /// Offers what came before the configuration that is in force now.
    fn offer_early(self: &Rc<Self>) {
        if !self.node.values.has_routes() {
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

    /// Notes which agents run, for as long as no configuration tells.
    fn note_agents(&self, from: Ipv4Addr, message: &Message, payload: &[u8]) {
        if self.node.values.has_routes() {
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

    fn peer_says(self: &Rc<Self>, from: Ipv4Addr, message: &Message, payload: &[u8]) {
        let now_ms = self.node.control.now_ms();
        self.node.control.suspicion.borrow_mut().answered(from);
        let load_permille = message.load_permille;
        self.forwarder
            .borrow_mut()
            .record_message(from, load_permille, now_ms);
        self.note_agents(from, message, payload);
        if self.node.take_beat(from, message) {
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
            MessageKind::Declined => self.declined(&flow, from, now_ms),
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

    fn declined(&self, flow: &FlowKey, from: Ipv4Addr, now_ms: u64) {
        let action = {
            let directory = self.node.directory.borrow();
            let suspicion = self.node.control.suspicion.borrow();
            let mut forwarder = self.forwarder.borrow_mut();
            forwarder.handle_decline(&directory, &suspicion, flow, from, now_ms)
        };
        self.node.perform(action.into_iter().collect(), |_| {});
    }

    fn start_ticking(self: &Rc<Self>) {
        let (waiting, ticked) = (self.clone(), self.clone());
        let is_waiting = move || waiting.forwarder.borrow().is_waiting();
        self.ticker.start(is_waiting, move || ticked.tick());
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
