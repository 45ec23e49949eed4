//! Chooses the agent to which a balancer forwards a caller's packet.
//!
//! A balancer keeps only hints about the holder of a flow. A wrong hint costs a hop; a missing one costs
//! a hop or a lookup among the agents, which find the holder without hints. See docs/OPAQUE.md, "Finding
//! a flow".

mod offers;
mod sent_openers;
mod without_routes;

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use crate::code::Code;
use crate::decisions::early_openers::EarlyOpeners;
use crate::decisions::reported_waits::ReportedWaits;
use crate::decisions::suspicion::Suspicion;
use crate::error::{Error, Result};
use crate::opaque::flows::flow_map::FlowMap;
use crate::opaque::forwarder::sent_openers::SentOpener;
use crate::opaque::openers::candidates;
use crate::opaque::openers::host_loads::HostLoads;
use crate::opaque::openers::retry_tracker::RetryTracker;
use crate::opaque::openers::service_means::ServiceMeans;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind, UNKNOWN_LOAD_PERMILLE};
use crate::opaque::packets::segment::{FLOW_KEY_BYTES, FlowKey, Segment, WireFormat};
use crate::opaque::values::directory::Directory;
use crate::process::opaque_metrics::OpaqueMetrics;

/// The most hints that a balancer keeps. A balancer serves hundreds of thousands of flows.
const MAX_HINTS: usize = 262_144;

/// The largest difference between the acknowledgements of two consecutive packets of one flow, in
/// bytes: a few times the data that may be in flight.
const MAX_ACKNOWLEDGEMENT_GAP: u32 = 1 << 20;

/// What a balancer knows of the agent that holds a flow.
#[derive(Debug, Clone, Copy)]
struct Hint {
    host: Ipv4Addr,
    last_seen_ms: u64,
    /// Whether the flow is known to have opened at `host`.
    has_opened: bool,
    /// The last acknowledgement of the caller, once a packet of the open flow was seen.
    acknowledgement: Option<u32>,
}

impl Hint {
    /// Clears whether the flow has opened. An opener may begin another flow between the same ends.
    fn clear_opened(&mut self) {
        self.has_opened = false;
        self.acknowledgement = None;
    }

    /// Records a packet of an open flow, and returns whether its flow is known to have opened at the host.
    ///
    /// A packet whose acknowledgement is far from the last one belongs to a later flow between the
    /// same ends.
    fn record_packet(&mut self, segment: &Segment, now_ms: u64) -> bool {
        self.last_seen_ms = now_ms;
        let seen = self.acknowledgement.replace(segment.acknowledgement);
        let is_near = |seen: u32| {
            let ahead = segment.acknowledgement.wrapping_sub(seen);
            ahead.min(ahead.wrapping_neg()) <= MAX_ACKNOWLEDGEMENT_GAP
        };
        self.has_opened &= seen.is_none_or(is_near);
        self.has_opened
    }
}

/// Decides where a balancer forwards packets, by its hints and by the loads of backend servers.
#[derive(Debug)]
pub struct Forwarder {
    wire: WireFormat,
    host: Ipv4Addr,
    zone: String,
    metrics: OpaqueMetrics,
    flow_lifetime_ms: u64,
    hints: FlowMap<Hint>,
    sent_openers: VecDeque<SentOpener>,
    /// The number of consecutive unanswered openers of each host, sorted by host.
    unanswered_in_a_row: Vec<(Ipv4Addr, u32)>,
    loads: HostLoads,
    /// The loads over ten seconds; their mean is sent to agents with each opener.
    steady_loads: HostLoads,
    means: ServiceMeans,
    waits: ReportedWaits,
    /// Openers that arrived before a configuration.
    early_openers: EarlyOpeners<FlowKey, Vec<u8>>,
    retries: RetryTracker,
}

impl Forwarder {
    /// Creates the forwarder of the balancer on `host` in the availability zone `zone`.
    ///
    /// Hints expire `flow_lifetime_ms` after the last packet of their flow.
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
            sent_openers: VecDeque::new(),
            unanswered_in_a_row: Vec::new(),
            loads: HostLoads::default(),
            steady_loads: HostLoads::default(),
            means: ServiceMeans::default(),
            waits: ReportedWaits::default(),
            early_openers: EarlyOpeners::default(),
            retries: RetryTracker::new(),
        }
    }

    /// Returns the action for a caller's packet.
    ///
    /// # Errors
    ///
    /// Returns the code that says why the packet is dropped.
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
            return self.reset_flow(&segment, Code::RouteUnknown);
        }
        if !segment.opens {
            let (host, has_opened) = self.packet_host(directory, suspicion, &segment, now_ms)?;
            let mut message = self.delivery_message(0);
            message.has_opened = has_opened;
            return Ok(Action::ToPeer(host, message, packet));
        }
        if let Some(hint) = self.hints.get_mut(&flow) {
            hint.clear_opened();
        }
        let attempt = segment.acknowledgement as usize;
        if directory.has_deadline(flow.called) {
            return self.offer(directory, suspicion, &segment, packet, 0, now_ms);
        }
        let host = match self.opener_host(directory, suspicion, &flow, attempt, now_ms) {
            Err(_) if is_evacuated_for(directory, &segment) => {
                return self.reset_flow(&segment, Code::ServiceEvacuated);
            }
            host => host?,
        };
        let waited_ms = self.caller_wait_ms(&flow, attempt, now_ms);
        let sent = SentOpener::new(&segment, host, waited_ms, packet.clone(), now_ms);
        self.track(sent);
        let mut message = self.delivery_message(waited_ms);
        message.load_permille = self.mean_load(directory, &flow, now_ms);
        Ok(Action::ToPeer(host, message, packet))
    }

    /// Returns how long a caller had waited before the first copy of its opener, in milliseconds.
    ///
    /// Also counts the openers that are known to be retries.
    fn caller_wait_ms(&mut self, flow: &FlowKey, attempt: usize, now_ms: u64) -> u64 {
        let waited_ms = self.retries.waited_ms(flow, attempt > 0, now_ms);
        self.metrics
            .retries_known
            .inc_by(u64::from(waited_ms > 0 && attempt == 0));
        waited_ms
    }

    /// Returns the mean load of the backend servers of a flow's service, in thousandths.
    ///
    /// The agent that gets the opener compares its own load with this mean.
    fn mean_load(&mut self, directory: &Directory, flow: &FlowKey, now_ms: u64) -> u16 {
        let service = directory.service_for_flow(flow);
        let table = service.and_then(|service| Some((service, directory.table(service)?)));
        table.map_or(UNKNOWN_LOAD_PERMILLE, |(service, table)| {
            self.means
                .permille(service, table, &self.steady_loads, now_ms)
        })
    }

    /// Records that an attempt of a caller failed after `waited_ms`.
    pub fn record_failed_attempt(&mut self, flow: &FlowKey, waited_ms: u16, now_ms: u64) {
        let caller = *flow.caller.ip();
        self.retries
            .record_failure(caller, u64::from(waited_ms), now_ms);
    }

    /// Records that a message arrived from an agent, with the load in it.
    ///
    /// Any message ends the agent's count of consecutive unanswered openers.
    pub fn record_message(&mut self, host: Ipv4Addr, load_permille: u16, now_ms: u64) {
        self.loads.record(host, load_permille, now_ms);
        if let Ok(index) = self
            .unanswered_in_a_row
            .binary_search_by_key(&host, |(host, _)| *host)
        {
            self.unanswered_in_a_row.remove(index);
        }
    }

    /// Records the load of an agent's backend server over ten seconds.
    pub fn record_steady_load(&mut self, host: Ipv4Addr, load_permille: u16, now_ms: u64) {
        self.steady_loads.record(host, load_permille, now_ms);
    }

    /// Records the agent that holds a flow.
    pub fn record_holder(&mut self, flow: FlowKey, host: Ipv4Addr, now_ms: u64) {
        let held = self.hints.get_mut(&flow);
        // An agent that took a late copy of the opener may report itself as the holder after the flow
        // has opened elsewhere.
        if let Some(hint) = held.filter(|hint| hint.has_opened) {
            hint.last_seen_ms = now_ms;
            return;
        }
        self.set_hint(flow, host, false, now_ms);
    }

    /// Records that a flow has opened at a host.
    pub fn record_opened(&mut self, flow: FlowKey, host: Ipv4Addr, now_ms: u64) {
        self.set_hint(flow, host, true, now_ms);
    }

    fn set_hint(&mut self, flow: FlowKey, host: Ipv4Addr, has_opened: bool, now_ms: u64) {
        let hint = Hint {
            host,
            last_seen_ms: now_ms,
            has_opened,
            acknowledgement: None,
        };
        if self.hints.get(&flow).is_some_and(|held| held.host != host) {
            self.metrics.hints_wrong.inc();
        }
        self.hints.insert(flow, hint);
        self.metrics.hints_held.set(self.hints.len() as i64);
    }

    /// Removes expired hints, loads, waits, early openers and retries.
    pub fn expire(&mut self, now_ms: u64) {
        self.loads.expire(now_ms);
        self.waits.remove_expired(now_ms);
        self.early_openers.remove_expired(now_ms);
        self.steady_loads.expire(now_ms);
        self.retries.expire(now_ms);
        let lifetime_ms = self.flow_lifetime_ms;
        self.hints
            .retain(|_, hint| now_ms < hint.last_seen_ms + lifetime_ms);
    }

    /// Returns the number of hints.
    pub fn hint_count(&self) -> usize {
        self.hints.len()
    }

    /// Resets a flow that can't be served, so that its caller does not wait for a timeout.
    fn reset_flow(&self, segment: &Segment, code: Code) -> Result<Action> {
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

    /// Returns the agent for a copy of an opener: the one that has the opener already, or the next
    /// candidate.
    ///
    /// Of the first two candidates, the one whose backend server is clearly less loaded comes first
    /// (power of two choices). With only two, balancers that know different loads send one flow to at
    /// most two agents.
    fn opener_host(
        &self,
        directory: &Directory,
        suspicion: &Suspicion,
        flow: &FlowKey,
        attempt: usize,
        now_ms: u64,
    ) -> Result<Ipv4Addr> {
        if let Some(hint) = self.hints.get(flow)
            && directory.may_hold_flows(hint.host)
            && !suspicion.is_suspected(hint.host, now_ms)
        {
            return Ok(hint.host);
        }
        let mut order = candidates::by_preference(directory, suspicion, &self.zone, flow, now_ms)?;
        if let [first, second, ..] = order.as_mut_slice()
            && self.loads.is_less_loaded(*second, *first, now_ms)
        {
            std::mem::swap(first, second);
        }
        Ok(order[attempt % order.len()])
    }

    /// Returns the agent for any other packet, and whether the flow is known to have opened there.
    ///
    /// The agent is the holder of the flow, or one that can look it up.
    fn packet_host(
        &mut self,
        directory: &Directory,
        suspicion: &Suspicion,
        segment: &Segment,
        now_ms: u64,
    ) -> Result<(Ipv4Addr, bool)> {
        let flow = segment.flow_from_caller();
        if let Some(hint) = self.hints.get_mut(&flow)
            && directory.may_hold_flows(hint.host)
        {
            self.metrics.hints_right.inc();
            return Ok((hint.host, hint.record_packet(segment, now_ms)));
        }
        let order = candidates::by_preference(directory, suspicion, &self.zone, &flow, now_ms);
        match order {
            Ok(order) => Ok((order[0], false)),
            // Agents that take no new flows may still hold open ones, so that open flows stay
            // reachable while all agents are drained or evacuated.
            Err(error) => {
                let host = candidates::first_agent(directory, &flow).ok_or(error)?;
                Ok((host, false))
            }
        }
    }

    fn delivery(&self, host: Ipv4Addr, packet: Vec<u8>, waited_ms: u64) -> Action {
        Action::ToPeer(host, self.delivery_message(waited_ms), packet)
    }

    /// Creates the message that delivers a packet whose caller has waited for `waited_ms`.
    fn delivery_message(&self, waited_ms: u64) -> Message {
        let mut message = Message::new(MessageKind::Deliver);
        message.host = self.host;
        message.waited_ms = u16::try_from(waited_ms).unwrap_or(u16::MAX);
        message
    }
}

/// Returns whether the service of an opener is evacuated and no agent can have the opener.
///
/// Returns false for a later copy of an opener, since an agent may have taken the first copy.
fn is_evacuated_for(directory: &Directory, opener: &Segment) -> bool {
    opener.acknowledgement == 0
        && candidates::is_service_evacuated(directory, &opener.flow_from_caller())
}

/// Returns the load over ten seconds, in thousandths, from the payload of a [`MessageKind::Holds`] or
/// [`MessageKind::Declined`].
///
/// Returns `None` if the payload contains no load.
pub fn decode_steady_load(payload: &[u8]) -> Option<u16> {
    let bytes = payload.get(FLOW_KEY_BYTES..)?.first_chunk()?;
    Some(u16::from_be_bytes(*bytes))
}

/// Returns how long a new flow would wait at the sender, in milliseconds, from the payload of a
/// [`MessageKind::Holds`] or [`MessageKind::Declined`].
///
/// Returns `None` if the payload contains no wait.
pub fn decode_wait_ms(payload: &[u8]) -> Option<u16> {
    let bytes = payload.get(FLOW_KEY_BYTES + 2..)?.first_chunk()?;
    Some(u16::from_be_bytes(*bytes))
}

/// Returns the flow at the start of a message payload.
pub(crate) fn decode_flow(payload: &[u8]) -> Option<FlowKey> {
    FlowKey::from_bytes(payload.get(..FLOW_KEY_BYTES)?)
}
