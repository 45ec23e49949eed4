//! Questions to all agents who holds a flow, and the proof that nobody does.

use std::net::Ipv4Addr;

use crate::config::revision::Revision;
use crate::decisions::placement;
use crate::opaque::packets::segment::{FlowKey, Segment};
use crate::opaque::values::directory::Directory;
use crate::process::opaque_metrics::OpaqueMetrics;

/// How long an agent waits before it asks those again that did not answer, in milliseconds. Where callers have time for
/// one attempt only it doubles each time: after a start of everything agents are too busy to answer at once, and asked
/// again and again they would stay so for as long as those callers wait.
const ASK_AGAIN_MS: u64 = 200;
/// How long a question goes on, in milliseconds: about the longest wait between two copies of a
/// caller's packet, which start it anew.
const GIVE_UP_MS: u64 = 1_600;
/// The most agents that are asked. Where there are more, those that come first in the order in which flows are placed
/// are asked, so that a flow is found that was passed on again and again, and nothing is proved.
const MAX_ASKED: usize = 256;
/// How many of these are asked before the others of them.
const NEAR_ASKED: usize = 64;
/// How many agents are asked first, where there are more than twice as many: a flow stands with one of the
/// eight that were first in its order, or with one of the eight to which those may pass an opener.
pub(crate) const FIRST_ASKED: usize = 16;
/// How long the first ones have before all others are asked too, in milliseconds: several round trips
/// between availability zones.
const WIDEN_MS: u64 = 20;
/// The most questions open at once.
const MAX_LOOKUPS: usize = 4_096;

/// What the answers so far show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Somebody has not answered, or knows more than this agent does.
    Open,
    /// Every agent said that its backend server does not hold the flow.
    Nowhere {
        /// The next number that the caller expects.
        acknowledgement: u32,
    },
}

/// A question whose answer is awaited.
#[derive(Debug, Clone)]
pub(crate) struct Lookup {
    flow: FlowKey,
    pub(crate) acknowledgement: u32,
    pub(crate) balancer: Ipv4Addr,
    packet: Vec<u8>,
    absent_at: Vec<Ipv4Addr>,
    newest_revision: Revision,
    started_ms: u64,
    ask_ms: u64,
    /// How often those that did not answer were asked again.
    repeats: u32,
}

/// A packet of a flow that its agent does not know.
#[derive(Debug, Clone, Copy)]
pub struct Question<'a> {
    /// What stands in its header.
    pub segment: &'a Segment,
    /// The packet.
    pub packet: &'a [u8],
    /// The balancer that forwarded it, which is told who holds the flow.
    pub balancer: Ipv4Addr,
}

/// A question that took too long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct GivenUp {
    pub(crate) flow: FlowKey,
    /// Who did not answer.
    pub(crate) unanswered: Vec<Ipv4Addr>,
    /// The highest revision that an answer told.
    pub(crate) newest_revision: Revision,
}

/// The questions of one agent, sorted by flow.
#[derive(Debug)]
pub struct Lookups {
    metrics: OpaqueMetrics,
    open: Vec<Lookup>,
    given_up: Vec<GivenUp>,
    own_host: Option<Ipv4Addr>,
}

impl Lookups {
    /// Makes an agent's questions, of which there are none yet.
    pub fn new(metrics: &OpaqueMetrics) -> Self {
        Self {
            metrics: metrics.clone(),
            open: Vec::new(),
            given_up: Vec::new(),
            own_host: None,
        }
    }

    /// Starts a question, or takes the newer packet into one that is open; returns whom to ask now.
    ///
    /// On large sites only the `likely` holders are asked at once, and the others when these are not it.
    pub fn start(
        &mut self,
        directory: &Directory,
        own_host: Ipv4Addr,
        likely: impl FnOnce() -> Vec<Ipv4Addr>,
        question: &Question<'_>,
        now_ms: u64,
    ) -> Vec<Ipv4Addr> {
        let segment = question.segment;
        let flow = segment.flow_from_caller();
        self.own_host = Some(own_host);
        match self.position(&flow) {
            Ok(index) => {
                let lookup = &mut self.open[index];
                lookup.acknowledgement = segment.acknowledgement;
                lookup.packet = question.packet.to_vec();
                Vec::new()
            }
            Err(_) if self.open.len() >= MAX_LOOKUPS => Vec::new(),
            Err(index) => {
                let mut lookup = Lookup {
                    flow,
                    acknowledgement: segment.acknowledgement,
                    balancer: question.balancer,
                    packet: question.packet.to_vec(),
                    absent_at: Vec::new(),
                    newest_revision: Revision::ZERO,
                    started_ms: now_ms,
                    ask_ms: now_ms + ASK_AGAIN_MS,
                    repeats: 0,
                };
                let mut asked = unanswered(&lookup, directory, own_host);
                if asked.len() > 2 * FIRST_ASKED {
                    asked = likely();
                    lookup.ask_ms = now_ms + WIDEN_MS;
                }
                self.metrics.lookups_started.inc();
                self.open.insert(index, lookup);
                asked
            }
        }
    }

    /// Notes that an agent does not hold the flow, and the highest revision that it knows.
    pub fn absent(&mut self, flow: &FlowKey, host: Ipv4Addr, revision: impl Into<Revision>) {
        let Ok(index) = self.position(flow) else {
            return;
        };
        let lookup = &mut self.open[index];
        lookup.newest_revision = lookup.newest_revision.max(revision.into());
        if let Err(at) = lookup.absent_at.binary_search(&host) {
            lookup.absent_at.insert(at, host);
        }
    }

    /// Ends a question whose answer is known, and returns it.
    pub(crate) fn found(&mut self, flow: &FlowKey) -> Option<Lookup> {
        let lookup = self.take(flow)?;
        self.metrics.lookups_found.inc();
        Some(lookup)
    }

    /// Drops a question.
    pub fn forget(&mut self, flow: &FlowKey) {
        self.take(flow);
    }

    fn take(&mut self, flow: &FlowKey) -> Option<Lookup> {
        let index = self.position(flow).ok()?;
        Some(self.open.remove(index))
    }

    /// Returns the flows about which a question is open.
    pub(crate) fn flows(&self) -> Vec<FlowKey> {
        self.open.iter().map(|lookup| lookup.flow).collect()
    }

    /// Tells whether no question is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Judges the answers: only the word of every agent proves that a flow is nowhere.
    ///
    /// An agent that knows a higher revision may know of a backend server that this one does not.
    pub fn verdict(
        &self,
        flow: &FlowKey,
        directory: &Directory,
        revision: impl Into<Revision>,
    ) -> Verdict {
        let (Ok(index), Some(own_host)) = (self.position(flow), self.own_host) else {
            return Verdict::Open;
        };
        let lookup = &self.open[index];
        let all_answered = unanswered(lookup, directory, own_host).is_empty();
        if all_answered && lookup.newest_revision <= revision.into() {
            return Verdict::Nowhere {
                acknowledgement: lookup.acknowledgement,
            };
        }
        Verdict::Open
    }

    /// Returns whom to ask again with which packet, and drops questions that took too long.
    pub fn due(&mut self, directory: &Directory, now_ms: u64) -> Vec<(Ipv4Addr, Vec<u8>)> {
        let Some(own_host) = self.own_host else {
            return Vec::new();
        };
        self.open.retain(|lookup| {
            let goes_on = now_ms < lookup.started_ms + GIVE_UP_MS;
            if !goes_on {
                self.metrics.lookups_given_up.inc();
                self.given_up.push(GivenUp {
                    flow: lookup.flow,
                    unanswered: unanswered(lookup, directory, own_host),
                    newest_revision: lookup.newest_revision,
                });
            }
            goes_on
        });
        let mut asked = Vec::new();
        for lookup in self
            .open
            .iter_mut()
            .filter(|lookup| lookup.ask_ms <= now_ms)
        {
            let has_deadline = directory.has_deadline(lookup.flow.called);
            let doublings = if has_deadline { lookup.repeats } else { 0 };
            lookup.ask_ms = now_ms + (ASK_AGAIN_MS << doublings);
            lookup.repeats += 1;
            if lookup.repeats == 1 && !asks_all(directory) {
                self.metrics.lookups_partial.inc();
            }
            let hosts = asked_now(lookup, directory, own_host);
            asked.extend(hosts.into_iter().map(|host| (host, lookup.packet.clone())));
        }
        asked
    }

    /// Returns the questions that were dropped since the last call, for log lines.
    pub(crate) fn take_given_up(&mut self) -> Vec<GivenUp> {
        std::mem::take(&mut self.given_up)
    }

    /// Returns for how long a question has been open, in milliseconds.
    pub(crate) fn open_for_ms(&self, flow: &FlowKey, now_ms: u64) -> u64 {
        let started_ms = self.position(flow).map(|at| self.open[at].started_ms);
        now_ms.saturating_sub(started_ms.unwrap_or(now_ms))
    }

    fn position(&self, flow: &FlowKey) -> Result<usize, usize> {
        self.open.binary_search_by_key(flow, |lookup| lookup.flow)
    }
}

/// Tells whether questions go to all agents, so that their answers may prove that nobody holds a flow.
///
/// By the number of all agents and not of those that have not answered: on larger sites nobody tells of backend servers
/// that are not published.
pub(crate) fn asks_all(directory: &Directory) -> bool {
    directory.current_hosts().len() <= MAX_ASKED
}

/// Returns whom to ask now of those that have not answered: all of them on a site that is not too large.
///
/// On a larger one those that come first for the flow, and further ones only once all of these have answered: while
/// one of them is silent, it most likely holds the flow.
fn asked_now(lookup: &Lookup, directory: &Directory, own_host: Ipv4Addr) -> Vec<Ipv4Addr> {
    let hosts = unanswered(lookup, directory, own_host);
    if asks_all(directory) {
        return hosts;
    }
    let mut others = directory.current_hosts().to_vec();
    others.retain(|host| *host != own_host);
    let mut order = placement::top_ranked_hosts(others, lookup.flow.hash(), MAX_ASKED);
    let is_unanswered = |host: &Ipv4Addr| hosts.binary_search(host).is_ok();
    if order[..NEAR_ASKED].iter().any(is_unanswered) {
        order.truncate(NEAR_ASKED);
    }
    order.retain(is_unanswered);
    order
}

fn unanswered(lookup: &Lookup, directory: &Directory, own_host: Ipv4Addr) -> Vec<Ipv4Addr> {
    let hosts = directory.current_hosts().iter().copied();
    hosts
        .filter(|host| *host != own_host && lookup.absent_at.binary_search(host).is_err())
        .collect()
}
