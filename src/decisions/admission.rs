//! An agent's decision about an opener: accept it, deflect it to a peer, return it or refuse it.
//!
//! Placement by hash alone leaves an imbalance of about one over the square root of the flows per
//! target. Agents correct it with new flows only: an agent whose load per weight is above the mean
//! of the service deflects openers to peers below the mean. See docs/DESIGN.md, "Deflection".

use std::net::Ipv4Addr;

use rand::Rng;

use crate::code::Code;
use crate::config::table::{Table, TableRow};
use crate::decisions::flow_history::FlowHistory;
use crate::decisions::peer_loads::{FULL_SHARE_PERMILLE, PeerLoad, PeerLoads};
use crate::decisions::placement;

/// How long a decision about an opener is remembered, in milliseconds: longer than a handshake.
pub(crate) const DECISION_LIFETIME_MS: u64 = 10_000;
/// How long a peer may take to answer a deflected opener, in milliseconds. A caller that gets no
/// answer retransmits after about a second (RFC 9002 section 6.2), by which time the deflection has
/// timed out.
const DEFLECTION_TIMEOUT_MS: u64 = 600;
/// The maximum number of remembered decisions of a target.
pub(crate) const MAX_DECISIONS: usize = 65_536;
/// The duration of the slow start: how long after its start a target reaches its full share, in
/// milliseconds.
pub const SLOW_START_MS: u64 = 10_000;
/// The share of a target at the beginning of its slow start, in thousandths.
pub(crate) const SLOW_START_PERMILLE: u16 = 100;

/// The decision of an agent about an opener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// This agent takes the flow.
    Accept,
    /// The opener is sent on to the agent on this host.
    Deflect(Ipv4Addr),
    /// The opener is sent back to its owner, since this agent can't take it.
    Return,
    /// No agent can take the flow.
    Refuse(Code),
}

#[derive(Debug, Clone, Copy)]
struct RememberedDecision {
    opener_hash: u64,
    decision: Decision,
    expires_ms: u64,
}

/// The flows of one target and the decisions about new ones.
#[derive(Debug)]
pub struct Admission {
    host: Ipv4Addr,
    open_flows: u32,
    draining: bool,
    started_ms: u64,
    /// Sorted by opener hash.
    decisions: Vec<RememberedDecision>,
    history: FlowHistory,
}

impl Admission {
    /// Creates the admission of the target on `host`, whose slow start begins at `now_ms`.
    pub fn new(host: Ipv4Addr, now_ms: u64) -> Self {
        Self {
            host,
            open_flows: 0,
            draining: false,
            started_ms: now_ms,
            decisions: Vec::new(),
            history: FlowHistory::default(),
        }
    }

    /// Creates the admission of a target whose slow start began at time 0 and is over from
    /// [`SLOW_START_MS`] on.
    pub fn after_slow_start(host: Ipv4Addr) -> Self {
        let mut admission = Self::new(host, 0);
        admission.started_ms = 0;
        admission
    }

    /// Returns the number of open flows.
    pub fn open_flows(&self) -> u32 {
        self.open_flows
    }

    /// Counts a flow that was accepted.
    pub fn flow_opened(&mut self) {
        self.open_flows += 1;
    }

    /// Counts a flow that has ended.
    pub fn flow_closed(&mut self) {
        self.open_flows = self.open_flows.saturating_sub(1);
        self.history.record_closed_flow();
    }

    /// Starts or ends a drain, during which the target accepts no openers.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns whether the target is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the share of its weight that the target takes now, in thousandths.
    ///
    /// `health_permille` is the limit set by the outcomes of its requests; see [`crate::Health`].
    pub fn share_permille(&self, health_permille: u16, now_ms: u64) -> u16 {
        if self.draining {
            return 0;
        }
        let age_ms = now_ms.saturating_sub(self.started_ms).min(SLOW_START_MS);
        let gained = u64::from(FULL_SHARE_PERMILLE - SLOW_START_PERMILLE) * age_ms / SLOW_START_MS;
        let ramp = SLOW_START_PERMILLE + gained as u16;
        ramp.min(health_permille)
    }

    /// Decides about an opener; the same opener gets the same decision while it is remembered.
    ///
    /// An opener that its owner deflected is accepted or returned, and one that was returned is
    /// accepted or refused, so that an opener makes at most two additional hops.
    pub fn decide(
        &mut self,
        opener: &Opener,
        table: &Table,
        peer_loads: &mut PeerLoads,
        now_ms: u64,
        random: &mut impl Rng,
    ) -> Decision {
        let mut opener = *opener;
        if let Some(host) = self.timed_out_deflection(&opener, now_ms) {
            peer_loads.record_returned_opener(host);
            opener.source = OpenerSource::ReturningPeer;
        }
        let opener = &opener;
        let remembered = self.remembered_decision(opener.hash, now_ms);
        if let Some(decision) = remembered.filter(|_| opener.source != OpenerSource::ReturningPeer)
        {
            return decision;
        }
        if opener.source == OpenerSource::Balancer {
            self.history.record_owned_opener(now_ms);
        }
        let decision = self.choose(opener, table, peer_loads, now_ms, random);
        if let Decision::Deflect(host) = decision {
            peer_loads.record_deflected_flow(host);
        }
        self.remember(opener.hash, decision, now_ms);
        decision
    }

    /// Returns the remembered decision about an opener.
    pub fn remembered_decision(&self, opener_hash: u64, now_ms: u64) -> Option<Decision> {
        let index = self.position(opener_hash).ok()?;
        let remembered = &self.decisions[index];
        (remembered.expires_ms > now_ms).then_some(remembered.decision)
    }

    /// Returns the peer to which this opener was deflected, if the deflection timed out.
    ///
    /// A caller that still retransmits after that has had no answer from the peer.
    fn timed_out_deflection(&self, opener: &Opener, now_ms: u64) -> Option<Ipv4Addr> {
        let remembered = &self.decisions[self.position(opener.hash).ok()?];
        let decided_ms = remembered.expires_ms.saturating_sub(DECISION_LIFETIME_MS);
        match remembered.decision {
            Decision::Deflect(host) if now_ms > decided_ms + DEFLECTION_TIMEOUT_MS => Some(host),
            _ => None,
        }
    }

    /// Drops expired decisions.
    pub fn prune(&mut self, now_ms: u64) {
        self.decisions
            .retain(|remembered| remembered.expires_ms > now_ms);
    }

    fn position(&self, opener_hash: u64) -> Result<usize, usize> {
        self.decisions
            .binary_search_by_key(&opener_hash, |remembered| remembered.opener_hash)
    }

    fn remember(&mut self, opener_hash: u64, decision: Decision, now_ms: u64) {
        if self.decisions.len() >= MAX_DECISIONS {
            self.prune(now_ms);
        }
        let entry = RememberedDecision {
            opener_hash,
            decision,
            expires_ms: now_ms + DECISION_LIFETIME_MS,
        };
        match self.position(opener_hash) {
            Ok(index) => self.decisions[index] = entry,
            Err(_) if self.decisions.len() >= MAX_DECISIONS => {}
            Err(index) => self.decisions.insert(index, entry),
        }
    }

    fn choose(
        &self,
        opener: &Opener,
        table: &Table,
        peer_loads: &PeerLoads,
        now_ms: u64,
        random: &mut impl Rng,
    ) -> Decision {
        let row = table.row_on(self.host);
        let has_room = row.is_some_and(|row| self.has_room(row));
        match opener.source {
            OpenerSource::Balancer => {}
            OpenerSource::DeflectingOwner => {
                return if has_room {
                    Decision::Accept
                } else {
                    Decision::Return
                };
            }
            OpenerSource::ReturningPeer => return accept_or_refuse(has_room, Code::NoTarget),
        }
        let peers = self.available_peers(table, peer_loads, now_ms);
        let own = row.filter(|_| has_room).map(|row| {
            let share_permille = self.share_permille(opener.health_permille, now_ms);
            TargetLoad::new(row, self.open_flows, share_permille)
        });
        match own.filter(|own| own.weight > 0.0) {
            Some(own)
                if !self.should_deflect(peers.excess_flows(&own), peer_loads, now_ms, random) =>
            {
                Decision::Accept
            }
            Some(own) => match peers.draw_below_mean(&own, random) {
                Some(host) => Decision::Deflect(host),
                None => Decision::Accept,
            },
            None => match peers
                .least_loaded()
                .or_else(|| self.unreported_peer(opener, table, peer_loads, now_ms))
            {
                Some(host) => Decision::Deflect(host),
                None => accept_or_refuse(has_room, Code::NoTarget),
            },
        }
    }

    /// Returns the estimated current loads of the peers that take flows now.
    fn available_peers(
        &self,
        table: &Table,
        peer_loads: &PeerLoads,
        now_ms: u64,
    ) -> AvailablePeers {
        let own_weight = table.row_on(self.host).map_or(0, |row| row.weight);
        let others = table.rows.iter().filter(|row| row.host != self.host);
        let estimated_load = |row: &TableRow| {
            let reported = peer_loads.fresh_load(row.host, now_ms)?;
            self.estimate_peer_load(row, &reported, own_weight)
        };
        AvailablePeers(others.filter_map(estimated_load).collect())
    }

    /// Estimates a peer's load from its report and this agent's own growth since the report.
    ///
    /// When all flows of a site reopen within seconds, reports are outdated before they arrive, and
    /// every peer would appear to be below the mean. But the hash spreads openers evenly, so that a
    /// peer has grown as this agent would have without deflection; see docs/DESIGN.md,
    /// "Deflection".
    fn estimate_peer_load(
        &self,
        row: &TableRow,
        reported: &PeerLoad,
        own_weight: u32,
    ) -> Option<TargetLoad> {
        let report = &reported.report;
        let mut load = TargetLoad::new(row, report.open_flows, report.share_permille);
        if own_weight > 0 {
            let ratio = f64::from(row.weight) / f64::from(own_weight);
            let growth = self.history.growth_since(reported.measured_ms) * ratio;
            load.open_flows = (load.open_flows + growth).max(0.0);
        }
        let has_room = load.open_flows < f64::from(row.connections);
        (load.weight > 0.0 && has_room).then_some(load)
    }

    /// Decides at random whether this opener should be deflected to correct an excess of flows.
    ///
    /// Until new reports arrive, every opener sees the same excess and would correct it again. So
    /// the correction is spread over the openers that are expected before the next reports.
    fn should_deflect(
        &self,
        excess_flows: f64,
        peer_loads: &PeerLoads,
        now_ms: u64,
        random: &mut impl Rng,
    ) -> bool {
        let expected_openers =
            self.history.owned_per_ms(now_ms) * peer_loads.mean_report_age_ms(now_ms);
        excess_flows > 0.0 && random.random_range(0.0..1.0) * expected_openers < excess_flows
    }

    /// Returns a peer whose load is unknown, as after a start; that peer decides about the opener
    /// itself.
    fn unreported_peer(
        &self,
        opener: &Opener,
        table: &Table,
        peer_loads: &PeerLoads,
        now_ms: u64,
    ) -> Option<Ipv4Addr> {
        let is_unreported = |row: &TableRow| {
            row.host != self.host && peer_loads.fresh_load(row.host, now_ms).is_none()
        };
        let placement = placement::place_opener(table, opener.hash, is_unreported)?;
        Some(placement.owner.host)
    }

    fn has_room(&self, row: &TableRow) -> bool {
        !self.draining && self.open_flows < row.connections
    }
}

/// The sender of an opener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenerSource {
    /// A balancer; this agent is the owner of the opener.
    Balancer,
    /// The owner, which deflected the opener to this agent.
    DeflectingOwner,
    /// A peer, which returned an opener that this agent, its owner, had deflected.
    ReturningPeer,
}

/// The properties of an opener on which the decision about it depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opener {
    /// The hash of the connection id that the caller chose.
    pub hash: u64,
    /// Who sent the opener to this agent.
    pub source: OpenerSource,
    /// The share that the outcomes of the target's requests allow it to take, in thousandths.
    pub health_permille: u16,
}

fn accept_or_refuse(has_room: bool, code: Code) -> Decision {
    if has_room {
        Decision::Accept
    } else {
        Decision::Refuse(code)
    }
}

/// One target's open flows and the weight that it takes now.
#[derive(Debug, Clone, Copy)]
struct TargetLoad {
    host: Ipv4Addr,
    open_flows: f64,
    weight: f64,
}

impl TargetLoad {
    fn new(row: &TableRow, open_flows: u32, share_permille: u16) -> Self {
        let share = f64::from(share_permille) / f64::from(FULL_SHARE_PERMILLE);
        Self {
            host: row.host,
            open_flows: f64::from(open_flows),
            weight: f64::from(row.weight) * share,
        }
    }
}

/// The loads of the peers that take flows now.
struct AvailablePeers(Vec<TargetLoad>);

impl AvailablePeers {
    /// Returns the mean number of flows per weight of all targets, counting the new flow.
    fn mean_flows_per_weight(&self, own: &TargetLoad) -> f64 {
        let all = || self.0.iter().chain(std::iter::once(own));
        let flows: f64 = all().map(|load| load.open_flows).sum();
        let weight: f64 = all().map(|load| load.weight).sum();
        (flows + 1.0) / weight
    }

    /// Returns by how many flows the target would be above the mean if it took the new flow.
    fn excess_flows(&self, own: &TargetLoad) -> f64 {
        own.open_flows + 1.0 - self.mean_flows_per_weight(own) * own.weight - 0.5
    }

    /// Draws a peer below the mean with a probability proportional to the flows it lacks, so that
    /// agents with the same outdated reports don't all choose the same peer.
    fn draw_below_mean(&self, own: &TargetLoad, random: &mut impl Rng) -> Option<Ipv4Addr> {
        let mean = self.mean_flows_per_weight(own);
        let lacking_flows = |peer: &TargetLoad| (mean * peer.weight - peer.open_flows).max(0.0);
        let total: f64 = self.0.iter().map(lacking_flows).sum();
        if total < 1.0 {
            return None;
        }
        let mut point = random.random_range(0.0..total);
        for peer in &self.0 {
            let lacking = lacking_flows(peer);
            if point < lacking {
                return Some(peer.host);
            }
            point -= lacking;
        }
        None
    }

    fn least_loaded(&self) -> Option<Ipv4Addr> {
        let flows_per_weight = |load: &TargetLoad| load.open_flows / load.weight;
        let lowest = self
            .0
            .iter()
            .min_by(|a, b| flows_per_weight(a).total_cmp(&flows_per_weight(b)));
        lowest.map(|load| load.host)
    }
}
