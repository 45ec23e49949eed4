//! A balancer's decision about a caller's packet: which agent gets it.
//!
//! Balancers hold hints, never truth: a wrong one costs a hop, and a lost one costs a hop or a
//! question among agents, which find each flow's holder without them. See docs/OPAQUE.md, "Finding a
//! flow".

mod offers;
mod watched;
mod without_routes;

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use crate::code::Code;
use crate::decisions::early_openers::EarlyOpeners;
use crate::decisions::reported_waits::ReportedWaits;
use crate::decisions::suspicion::Suspicion;
use crate::error::{Error, Result};
use crate::opaque::finding::flow_map::FlowMap;
use crate::opaque::forwarder::watched::Watched;
use crate::opaque::openers::candidates;
use crate::opaque::openers::expected_retries::ExpectedRetries;
use crate::opaque::openers::known_loads::KnownLoads;
use crate::opaque::openers::service_means::ServiceMeans;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind, UNKNOWN_LOAD};
use crate::opaque::packets::segment::{FLOW_KEY_BYTES, FlowKey, Segment, WireFormat};
use crate::opaque::values::directory::Directory;
use crate::process::opaque_metrics::OpaqueMetrics;

/// How many hints a balancer keeps; the brief speaks of hundreds of thousands of flows for each.
const MAX_HINTS: usize = 262_144;

/// How far apart the numbers may be that two packets of one flow acknowledge: some times what may be on its way.
const MAX_ACKNOWLEDGED_APART: u32 = 1 << 20;

#[derive(Debug, Clone, Copy)]
struct Hint {
    host: Ipv4Addr,
    seen_ms: u64,
    /// Whether the flow is known to have opened there.
    has_opened: bool,
    /// The number that its caller acknowledged last, where a packet of an open flow was seen.
    acknowledgement: Option<u32>,
}

impl Hint {
    /// Forgets where the flow opened: an opener may begin another one between the same ends.
    fn forget_opened(&mut self) {
        self.has_opened = false;
        self.acknowledgement = None;
    }

    /// Takes a packet of an open flow; says whether its flow is known to have opened at the host.
    ///
    /// A packet whose number is far from the last one belongs to a later flow between the same ends.
    fn take_packet(&mut self, segment: &Segment, now_ms: u64) -> bool {
        self.seen_ms = now_ms;
        let seen = self.acknowledgement.replace(segment.acknowledgement);
        let is_near = |seen: u32| {
            let ahead = segment.acknowledgement.wrapping_sub(seen);
            ahead.min(ahead.wrapping_neg()) <= MAX_ACKNOWLEDGED_APART
        };
        self.has_opened &= seen.is_none_or(is_near);
        self.has_opened
    }
}

/// What a balancer remembers of flows.
#[derive(Debug)]
pub struct Forwarder {
    wire: WireFormat,
    host: Ipv4Addr,
    zone: String,
    metrics: OpaqueMetrics,
    flow_lifetime_ms: u64,
    hints: FlowMap<Hint>,
    watched: VecDeque<Watched>,
    unanswered: Vec<(Ipv4Addr, u32)>,
    loads: KnownLoads,
    /// The loads over a longer time, of which agents are told the mean.
    steady_loads: KnownLoads,
    means: ServiceMeans,
    waits: ReportedWaits,
    /// Openers that came before a configuration.
    early: EarlyOpeners<FlowKey, Vec<u8>>,
    retries: ExpectedRetries,
}

impl Forwarder {
    /// Makes the forwarder of the balancer on `host`, which stands in an availability zone.
    ///
    /// Hints live as long as a flow may, `flow_lifetime_ms` after its last packet.
    pub fn new(
        wire: WireFormat,
        host: Ipv4Addr,
        zone: &str,
        flow_lifetime_ms: u64,
        metrics: &OpaqueMetrics,
    ) -> Self {
        Self {
            wire,
            host,
            zone: zone.to_owned(),
            metrics: metrics.clone(),
            flow_lifetime_ms,
            hints: FlowMap::new(MAX_HINTS),
            watched: VecDeque::new(),
            unanswered: Vec::new(),
            loads: KnownLoads::default(),
            steady_loads: KnownLoads::default(),
            means: ServiceMeans::default(),
            waits: ReportedWaits::default(),
            early: EarlyOpeners::default(),
            retries: ExpectedRetries::new(),
        }
    }

    /// Decides about a caller's packet.
    ///
    /// # Errors
    ///
    /// Returns the code for which the packet is dropped.
    pub fn handle(
        &mut self,
        directory: &Directory,
        suspicion: &mut Suspicion,
        packet: Vec<u8>,
        now_ms: u64,
    ) -> Result<Action> {
        let segment = (self.wire.decode)(&packet)?;
        let flow = segment.flow_from_caller();
        if directory.routes().get(flow.called).is_none() {
            return self.refuse(&segment, Code::RouteUnknown);
        }
        if !segment.opens {
            let (host, has_opened) = self.packet_host(directory, suspicion, &segment, now_ms)?;
            let mut message = self.message(0);
            message.has_opened = has_opened;
            return Ok(Action::ToPeer(host, message, packet));
        }
        if let Some(hint) = self.hints.get_mut(&flow) {
            hint.forget_opened();
        }
        let attempt = segment.acknowledgement as usize;
        if directory.has_deadline(flow.called) {
            return self.offer(directory, suspicion, &segment, packet, 0, now_ms);
        }
        let host = match self.opener_host(directory, suspicion, &flow, attempt, now_ms) {
            Err(_) if is_evacuated_for(directory, &segment) => {
                return self.refuse(&segment, Code::ServiceEvacuated);
            }
            host => host?,
        };
        let waited_ms = self.caller_waited_ms(&flow, attempt, now_ms);
        let watched = Watched::new(&segment, host, waited_ms, packet.clone(), now_ms);
        self.watch(watched);
        let mut message = self.message(waited_ms);
        message.load_permille = self.mean_load(directory, &flow, now_ms);
        Ok(Action::ToPeer(host, message, packet))
    }

    /// Returns for how long the caller of an opener had waited before its first copy, and counts known retries.
    fn caller_waited_ms(&mut self, flow: &FlowKey, attempt: usize, now_ms: u64) -> u64 {
        let waited_ms = self.retries.waited_ms(flow, attempt > 0, now_ms);
        self.metrics
            .retries_known
            .inc_by(u64::from(waited_ms > 0 && attempt == 0));
        waited_ms
    }

    /// Returns the mean load of the backend servers among which a flow's agent was chosen, by which that agent
    /// knows whether it has more to do than others.
    fn mean_load(&mut self, directory: &Directory, flow: &FlowKey, now_ms: u64) -> u16 {
        let service = directory.service_of(flow);
        let table = service.and_then(|service| Some((service, directory.table(service)?)));
        table.map_or(UNKNOWN_LOAD, |(service, table)| {
            self.means
                .permille(service, table, &self.steady_loads, now_ms)
        })
    }

    /// Notes that an attempt of a caller failed after it had waited for so long.
    pub fn attempt_failed(&mut self, flow: &FlowKey, waited_ms: u16, now_ms: u64) {
        let caller = *flow.caller.ip();
        self.retries
            .attempt_failed(caller, u64::from(waited_ms), now_ms);
    }

    /// Notes that an agent said something, whatever it was, and the load that it told.
    pub fn heard(&mut self, host: Ipv4Addr, load_permille: u16, now_ms: u64) {
        self.loads.heard(host, load_permille, now_ms);
        if let Ok(index) = self
            .unanswered
            .binary_search_by_key(&host, |(host, _)| *host)
        {
            self.unanswered.remove(index);
        }
    }

    /// Notes the load of an agent's backend server over a longer time.
    pub fn heard_steady(&mut self, host: Ipv4Addr, load_permille: u16, now_ms: u64) {
        self.steady_loads.heard(host, load_permille, now_ms);
    }

    /// Notes who holds a flow.
    pub fn holds(&mut self, flow: FlowKey, host: Ipv4Addr, now_ms: u64) {
        let held = self.hints.get_mut(&flow);
        // Who took an opener too late says so when the flow has opened elsewhere.
        if let Some(hint) = held.filter(|hint| hint.has_opened) {
            hint.seen_ms = now_ms;
            return;
        }
        self.set_hint(flow, host, false, now_ms);
    }

    /// Notes that a flow has opened at a host.
    pub fn opened(&mut self, flow: FlowKey, host: Ipv4Addr, now_ms: u64) {
        self.set_hint(flow, host, true, now_ms);
    }

    fn set_hint(&mut self, flow: FlowKey, host: Ipv4Addr, has_opened: bool, now_ms: u64) {
        let hint = Hint {
            host,
            seen_ms: now_ms,
            has_opened,
            acknowledgement: None,
        };
        if self.hints.get(&flow).is_some_and(|held| held.host != host) {
            self.metrics.hints_wrong.inc();
        }
        self.hints.insert(flow, hint);
        self.metrics.hints_held.set(self.hints.len() as i64);
    }

    /// Forgets flows of which nothing was heard for as long as a flow lives.
    pub fn expire(&mut self, now_ms: u64) {
        self.loads.expire(now_ms);
        self.waits.remove_expired(now_ms);
        self.early.remove_expired(now_ms);
        self.steady_loads.expire(now_ms);
        self.retries.expire(now_ms);
        let lifetime_ms = self.flow_lifetime_ms;
        self.hints
            .retain(|_, hint| now_ms < hint.seen_ms + lifetime_ms);
    }

    /// Returns the number of hints.
    pub fn hints(&self) -> usize {
        self.hints.len()
    }

    /// Ends a flow that can't be served, at once: its caller need not wait.
    fn refuse(&self, segment: &Segment, code: Code) -> Result<Action> {
        if segment.resets {
            return Err(Error::new(code, segment.destination.to_string()));
        }
        let flow = segment.flow_from_caller();
        log::info!(
            "event=flow_reset flow={flow} code={} opens={}",
            code.number(),
            segment.opens
        );
        self.metrics.flows_reset.inc(code);
        let reset = (self.wire.reset)(&flow, segment.acknowledgement);
        Ok(Action::ToCaller(flow.caller, reset))
    }

    /// Returns the agent for a copy of an opener: the one that has it already, or the next that has not.
    ///
    /// Of the two first in the order of the flow the one whose backend server has clearly less to do
    /// comes first. Bounded by two, so that balancers which heard different loads send one flow to two
    /// agents at most; imbalance of a rush falls as with any choice of two.
    fn opener_host(
        &self,
        directory: &Directory,
        suspicion: &Suspicion,
        flow: &FlowKey,
        attempt: usize,
        now_ms: u64,
    ) -> Result<Ipv4Addr> {
        if let Some(hint) = self.hints.get(flow)
            && directory.is_current(hint.host)
            && !suspicion.is_suspected(hint.host, now_ms)
        {
            return Ok(hint.host);
        }
        let mut order = candidates::in_order(directory, suspicion, &self.zone, flow, now_ms)?;
        if let [first, second, ..] = order.as_mut_slice()
            && self.loads.prefers(*second, *first, now_ms)
        {
            std::mem::swap(first, second);
        }
        Ok(order[attempt % order.len()])
    }

    /// Returns the agent for any other packet, the holder or one that can find it, and whether the flow is known to
    /// have opened there.
    fn packet_host(
        &mut self,
        directory: &Directory,
        suspicion: &Suspicion,
        segment: &Segment,
        now_ms: u64,
    ) -> Result<(Ipv4Addr, bool)> {
        let flow = segment.flow_from_caller();
        if let Some(hint) = self.hints.get_mut(&flow)
            && directory.is_current(hint.host)
        {
            self.metrics.hints_right.inc();
            return Ok((hint.host, hint.take_packet(segment, now_ms)));
        }
        let order = candidates::in_order(directory, suspicion, &self.zone, &flow, now_ms);
        match order {
            Ok(order) => Ok((order[0], false)),
            // Those that take no new flow hold open ones: a drain or an evacuation of all must not stop them.
            Err(error) => {
                let host = candidates::any_agent(directory, &flow).ok_or(error)?;
                Ok((host, false))
            }
        }
    }

    fn deliver(&self, host: Ipv4Addr, packet: Vec<u8>, waited_ms: u64) -> Action {
        Action::ToPeer(host, self.message(waited_ms), packet)
    }

    /// Makes the message with which a packet of a caller that has waited for so long goes to an agent.
    fn message(&self, waited_ms: u64) -> Message {
        let mut message = Message::new(MessageKind::Deliver);
        message.host = self.host;
        message.waited_ms = u16::try_from(waited_ms).unwrap_or(u16::MAX);
        message
    }
}

/// Tells whether an opener finds its whole service evacuated and no agent can have it.
///
/// Copies come only from callers whose first one went to an agent, which may have taken it since.
fn is_evacuated_for(directory: &Directory, opener: &Segment) -> bool {
    opener.acknowledgement == 0 && candidates::are_evacuated(directory, &opener.flow_from_caller())
}

/// Returns the load over a longer time that the payload of a [`MessageKind::Holds`] or [`MessageKind::Declined`]
/// tells behind its flow.
pub fn steady_load(payload: &[u8]) -> Option<u16> {
    let bytes = payload.get(FLOW_KEY_BYTES..)?.first_chunk()?;
    Some(u16::from_be_bytes(*bytes))
}

/// Returns for how long a new flow would wait at the sender of a [`MessageKind::Holds`] or
/// [`MessageKind::Declined`], in milliseconds, where its payload tells that.
pub fn told_wait(payload: &[u8]) -> Option<u16> {
    let bytes = payload.get(FLOW_KEY_BYTES + 2..)?.first_chunk()?;
    Some(u16::from_be_bytes(*bytes))
}

/// Returns the flow that the payload of a message names.
pub(crate) fn named_flow(payload: &[u8]) -> Option<FlowKey> {
    FlowKey::from_bytes(payload.get(..FLOW_KEY_BYTES)?)
}
