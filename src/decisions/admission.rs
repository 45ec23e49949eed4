//! An agent's decision about an opener: take it, hand it to a peer, or refuse it.
//!
//! Hash owners alone leave an imbalance of about one over the square root of the flows per target.
//! Agents correct it with new flows only: one that stands above the service's common level hands
//! openers to peers below theirs. See docs/DESIGN.md, "Deflection".

use std::net::Ipv4Addr;

use rand::Rng;

use crate::code::Code;
use crate::config::table::{Table, TableRow};
use crate::decisions::flow_history::FlowHistory;
use crate::decisions::load_board::{FULL_SHARE_PERMILLE, KnownLoad, LoadBoard};
use crate::decisions::placement;

/// How long a decision about an opener is remembered, in milliseconds: longer than a handshake.
pub(crate) const DECISION_MS: u64 = 10_000;
/// How long a peer may take to answer a deflected opener, in milliseconds: a caller that hears
/// nothing repeats it after about a second (RFC 9002 section 6.2).
const DEFLECTION_ANSWER_MS: u64 = 600;
/// The greatest number of remembered decisions of a target.
pub(crate) const MAX_DECISIONS: usize = 65_536;
/// How long a target takes to reach its full share after a start, in milliseconds.
pub const RAMP_MS: u64 = 10_000;
/// The share of a target that has just started, in thousandths.
pub(crate) const RAMP_START_PERMILLE: u16 = 100;

/// What an agent does with an opener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// This agent takes the flow.
    Accept,
    /// The agent on this host is handed the opener.
    Deflect(Ipv4Addr),
    /// The owner gets the opener back, since this agent can't take it.
    Return,
    /// Nobody can take it.
    Refuse(Code),
}

#[derive(Debug, Clone, Copy)]
struct Remembered {
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
    remembered: Vec<Remembered>,
    history: FlowHistory,
}

impl Admission {
    /// Makes the admission of the target on `host`, which starts cold at `now_ms`.
    pub fn new(host: Ipv4Addr, now_ms: u64) -> Self {
        Self {
            host,
            open_flows: 0,
            draining: false,
            started_ms: now_ms,
            remembered: Vec::new(),
            history: FlowHistory::default(),
        }
    }

    /// Makes the admission of a target that is warm already.
    pub fn warm(host: Ipv4Addr) -> Self {
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
        self.history.closed();
    }

    /// Starts or ends the refusal of all openers.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Tells whether openers are refused because the target leaves.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the part of its weight that the target takes now, in thousandths.
    ///
    /// `health_permille` is what the requests' outcomes allow; see [`crate::Health`].
    pub fn share_permille(&self, health_permille: u16, now_ms: u64) -> u16 {
        if self.draining {
            return 0;
        }
        let age_ms = now_ms.saturating_sub(self.started_ms).min(RAMP_MS);
        let gained = u64::from(FULL_SHARE_PERMILLE - RAMP_START_PERMILLE) * age_ms / RAMP_MS;
        let ramp = RAMP_START_PERMILLE + gained as u16;
        ramp.min(health_permille)
    }

    /// Decides about an opener; the same opener gets the same answer while it is remembered.
    ///
    /// An opener that its owner has handed over is accepted or returned, and one that was returned
    /// is accepted or refused, so that it makes at most two hops more.
    pub fn decide(
        &mut self,
        opener: &Opener,
        table: &Table,
        board: &mut LoadBoard,
        now_ms: u64,
        random: &mut impl Rng,
    ) -> Decision {
        let mut opener = *opener;
        if let Some(host) = self.unanswered_deflection(&opener, now_ms) {
            board.returned_flow(host);
            opener.handed = Handed::Returned;
        }
        let opener = &opener;
        let recalled = self.recall(opener.hash, now_ms);
        if let Some(decision) = recalled.filter(|_| opener.handed != Handed::Returned) {
            return decision;
        }
        if opener.handed == Handed::ByBalancer {
            self.history.owned(now_ms);
        }
        let decision = self.choose(opener, table, board, now_ms, random);
        if let Decision::Deflect(host) = decision {
            board.sent_flow(host);
        }
        self.remember(opener.hash, decision, now_ms);
        decision
    }

    /// Returns the remembered decision about an opener.
    pub fn recall(&self, opener_hash: u64, now_ms: u64) -> Option<Decision> {
        let index = self.position(opener_hash).ok()?;
        let remembered = &self.remembered[index];
        (remembered.expires_ms > now_ms).then_some(remembered.decision)
    }

    /// Returns the peer to which this opener was handed so long ago that a caller which still
    /// repeats it can't have had an answer from there.
    fn unanswered_deflection(&self, opener: &Opener, now_ms: u64) -> Option<Ipv4Addr> {
        let remembered = &self.remembered[self.position(opener.hash).ok()?];
        let decided_ms = remembered.expires_ms.saturating_sub(DECISION_MS);
        match remembered.decision {
            Decision::Deflect(host) if now_ms > decided_ms + DEFLECTION_ANSWER_MS => Some(host),
            _ => None,
        }
    }

    /// Drops decisions that are no longer needed.
    pub fn prune(&mut self, now_ms: u64) {
        self.remembered
            .retain(|remembered| remembered.expires_ms > now_ms);
    }

    fn position(&self, opener_hash: u64) -> Result<usize, usize> {
        self.remembered
            .binary_search_by_key(&opener_hash, |remembered| remembered.opener_hash)
    }

    fn remember(&mut self, opener_hash: u64, decision: Decision, now_ms: u64) {
        if self.remembered.len() >= MAX_DECISIONS {
            self.prune(now_ms);
        }
        let entry = Remembered {
            opener_hash,
            decision,
            expires_ms: now_ms + DECISION_MS,
        };
        match self.position(opener_hash) {
            Ok(index) => self.remembered[index] = entry,
            Err(_) if self.remembered.len() >= MAX_DECISIONS => {}
            Err(index) => self.remembered.insert(index, entry),
        }
    }

    fn choose(
        &self,
        opener: &Opener,
        table: &Table,
        board: &LoadBoard,
        now_ms: u64,
        random: &mut impl Rng,
    ) -> Decision {
        let row = table.row_on(self.host);
        let fits = row.is_some_and(|row| self.has_room(row));
        match opener.handed {
            Handed::ByBalancer => {}
            Handed::ByOwner => {
                return if fits {
                    Decision::Accept
                } else {
                    Decision::Return
                };
            }
            Handed::Returned => return accept_or(fits, Code::NoTarget),
        }
        let peers = self.peers(table, board, now_ms);
        let own = row.filter(|_| fits).map(|row| {
            let share_permille = self.share_permille(opener.health_permille, now_ms);
            Standing::new(row, self.open_flows, share_permille)
        });
        match own.filter(|own| own.weight > 0.0) {
            Some(own) if !self.corrects(peers.excess(&own), board, now_ms, random) => {
                Decision::Accept
            }
            Some(own) => match peers.draw_below_level(&own, random) {
                Some(host) => Decision::Deflect(host),
                None => Decision::Accept,
            },
            None => match peers
                .lowest()
                .or_else(|| self.unknown_peer(opener, table, board, now_ms))
            {
                Some(host) => Decision::Deflect(host),
                None => accept_or(fits, Code::NoTarget),
            },
        }
    }

    /// Returns the peers that take flows now, as they probably stand by now.
    fn peers(&self, table: &Table, board: &LoadBoard, now_ms: u64) -> Peers {
        let own_weight = table.row_on(self.host).map_or(0, |row| row.weight);
        let others = table.rows.iter().filter(|row| row.host != self.host);
        let standing = |row: &TableRow| {
            let known = board.fresh(row.host, now_ms)?;
            self.peer_standing(row, &known, own_weight)
        };
        Peers(others.filter_map(standing).collect())
    }

    /// Adds to a peer's report what the hash alone has brought since, by this agent's own count.
    ///
    /// When all flows of a site open anew within seconds, reports are old before they arrive, and
    /// every peer would seem to stand below. But owners are drawn evenly, so that a peer has grown
    /// as this agent would have; see docs/DESIGN.md, "Deflection".
    fn peer_standing(
        &self,
        row: &TableRow,
        known: &KnownLoad,
        own_weight: u32,
    ) -> Option<Standing> {
        let report = &known.report;
        let mut standing = Standing::new(row, report.open_flows, report.share_permille);
        if own_weight > 0 {
            let ratio = f64::from(row.weight) / f64::from(own_weight);
            let grown = self.history.growth_since(known.counted_ms) * ratio;
            standing.open_flows = (standing.open_flows + grown).max(0.0);
        }
        let room = standing.open_flows < f64::from(row.connections);
        (standing.weight > 0.0 && room).then_some(standing)
    }

    /// Decides whether this opener should correct an excess of flows.
    ///
    /// While reports are old, every opener that arrives would see the same excess and correct it
    /// again. So the openers expected until the next reports share the correction among them.
    fn corrects(&self, excess: f64, board: &LoadBoard, now_ms: u64, random: &mut impl Rng) -> bool {
        let expected = self.history.owned_per_ms(now_ms) * board.refresh_ms(now_ms);
        excess > 0.0 && random.random_range(0.0..1.0) * expected < excess
    }

    /// Draws a peer of which nothing is known, as after a start: it decides itself.
    fn unknown_peer(
        &self,
        opener: &Opener,
        table: &Table,
        board: &LoadBoard,
        now_ms: u64,
    ) -> Option<Ipv4Addr> {
        let unknown =
            |row: &TableRow| row.host != self.host && board.fresh(row.host, now_ms).is_none();
        let chosen = placement::candidates(table, opener.hash, unknown)?;
        Some(chosen.first.host)
    }

    fn has_room(&self, row: &TableRow) -> bool {
        !self.draining && self.open_flows < row.connections
    }
}

/// Who handed an opener to this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Handed {
    /// A balancer: this agent is its owner.
    ByBalancer,
    /// The owner, which hands it to a peer.
    ByOwner,
    /// The peer to which this agent, the owner, had handed it.
    Returned,
}

/// An opener as admission sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opener {
    /// The hash of the connection id that the caller chose.
    pub hash: u64,
    /// Who handed it over.
    pub handed: Handed,
    /// What the outcomes of the target's requests allow it to take, in thousandths.
    pub health_permille: u16,
}

fn accept_or(fits: bool, code: Code) -> Decision {
    if fits {
        Decision::Accept
    } else {
        Decision::Refuse(code)
    }
}

/// One target's flows beside the weight that it takes now.
#[derive(Debug, Clone, Copy)]
struct Standing {
    host: Ipv4Addr,
    open_flows: f64,
    weight: f64,
}

impl Standing {
    fn new(row: &TableRow, open_flows: u32, share_permille: u16) -> Self {
        let share = f64::from(share_permille) / f64::from(FULL_SHARE_PERMILLE);
        Self {
            host: row.host,
            open_flows: f64::from(open_flows),
            weight: f64::from(row.weight) * share,
        }
    }
}

/// The peers that take flows now.
struct Peers(Vec<Standing>);

impl Peers {
    /// Returns the flows per weight that all would have if they were level with one flow more.
    fn level_with(&self, own: &Standing) -> f64 {
        let all = || self.0.iter().chain(std::iter::once(own));
        let flows: f64 = all().map(|standing| standing.open_flows).sum();
        let weight: f64 = all().map(|standing| standing.weight).sum();
        (flows + 1.0) / weight
    }

    /// Returns by how many flows the target would stand above the level with one flow more.
    fn excess(&self, own: &Standing) -> f64 {
        own.open_flows + 1.0 - self.level_with(own) * own.weight - 0.5
    }

    /// Draws a peer below the level, each in proportion to the flows it lacks, so that agents which
    /// share a stale view don't all choose the same one.
    fn draw_below_level(&self, own: &Standing, random: &mut impl Rng) -> Option<Ipv4Addr> {
        let level = self.level_with(own);
        let lacking = |peer: &Standing| (level * peer.weight - peer.open_flows).max(0.0);
        let total: f64 = self.0.iter().map(lacking).sum();
        if total < 1.0 {
            return None;
        }
        let mut point = random.random_range(0.0..total);
        for peer in &self.0 {
            let lack = lacking(peer);
            if point < lack {
                return Some(peer.host);
            }
            point -= lack;
        }
        None
    }

    fn lowest(&self) -> Option<Ipv4Addr> {
        let level = |standing: &Standing| standing.open_flows / standing.weight;
        let lowest = self.0.iter().min_by(|a, b| level(a).total_cmp(&level(b)));
        lowest.map(|standing| standing.host)
    }
}
