//! The flow table of an agent: the flows of its backend server, with counts of open flows and busy
//! requests.

use crate::opaque::flows::flow::{Flow, FlowState};
use crate::opaque::flows::flow_map::FlowMap;
use crate::opaque::flows::orphaned_flows::{EndedFlow, OrphanedFlows};
use crate::opaque::packets::segment::FlowKey;
use crate::process::opaque_metrics::OpaqueMetrics;

/// The capacity of the table: eight times the connections of the largest backend servers.
const MAX_FLOWS: usize = 16_384;
/// How long a flow is kept after its backend server has ended it, in milliseconds. Its last
/// acknowledgements still arrive then.
const CLOSED_TTL_MS: u64 = 2_000;
/// The age at which the counts are renewed while openers wait for a slot, in milliseconds: a fraction
/// of the shortest busy timeout of an opener.
const COUNT_MAX_AGE_MS: u64 = 20;

/// The flows of one agent, with counts of the open flows and of the busy requests.
#[derive(Debug)]
pub(crate) struct FlowTable {
    flows: FlowMap<Flow>,
    metrics: OpaqueMetrics,
    lifetime_ms: u64,
    open_count: u32,
    busy_count: u32,
    counted_ms: u64,
}

impl FlowTable {
    /// Creates an empty table. A flow without a packet for `lifetime_ms` expires.
    pub(crate) fn new(metrics: &OpaqueMetrics, lifetime_ms: u64) -> Self {
        Self {
            flows: FlowMap::new(MAX_FLOWS),
            metrics: metrics.clone(),
            lifetime_ms,
            open_count: 0,
            busy_count: 0,
            counted_ms: 0,
        }
    }

    /// Returns the number of requests that run or wait at the backend server.
    pub(crate) fn busy_requests(&self) -> u32 {
        self.busy_count
    }

    /// Returns [`FlowTable::busy_requests`], renewed if the count is stale.
    ///
    /// A new count leaves out requests and openers whose busy timeout has passed.
    pub(crate) fn fresh_busy_requests(&mut self, now_ms: u64) -> u32 {
        if now_ms >= self.counted_ms + COUNT_MAX_AGE_MS {
            self.recount(now_ms);
        }
        self.busy_count
    }

    /// Returns the number of flows that are open at the backend server.
    pub(crate) fn open_flows(&self) -> u32 {
        self.open_count
    }

    pub(crate) fn get(&self, key: &FlowKey) -> Option<&Flow> {
        self.flows.get(key)
    }

    /// Inserts or replaces a flow. Returns false if the table is full.
    pub(crate) fn insert(&mut self, key: FlowKey, flow: Flow, now_ms: u64) -> bool {
        self.remove(&key, now_ms);
        let (open, busy) = (flow.is_open(), flow.is_busy(now_ms));
        let inserted = self.flows.insert(key, flow);
        if inserted {
            self.count(open, busy, 1);
        }
        inserted
    }

    /// Applies `change` to a flow and returns its result, or `None` if the flow is unknown.
    pub(crate) fn update<T>(
        &mut self,
        key: &FlowKey,
        now_ms: u64,
        change: impl FnOnce(&mut Flow) -> T,
    ) -> Option<T> {
        let flow = self.flows.get_mut(key)?;
        let before = (flow.is_open(), flow.is_busy(now_ms));
        let result = change(flow);
        let after = (flow.is_open(), flow.is_busy(now_ms));
        self.count(before.0, before.1, -1);
        self.count(after.0, after.1, 1);
        Some(result)
    }

    pub(crate) fn remove(&mut self, key: &FlowKey, now_ms: u64) -> Option<Flow> {
        let flow = self.flows.remove(key)?;
        self.count(flow.is_open(), flow.is_busy(now_ms), -1);
        Some(flow)
    }

    /// Removes the flows of a backend server that ended, and returns those to be reset or handed on.
    ///
    /// Flows first seen at `end_ms` or later stay.
    pub(crate) fn take_orphaned(&mut self, end_ms: u64, now_ms: u64) -> OrphanedFlows {
        let mut orphaned = OrphanedFlows::default();
        self.flows.retain(|key, flow| {
            if flow.since_ms >= end_ms {
                return true;
            }
            match &flow.state {
                FlowState::Elsewhere(_) | FlowState::Absent => return true,
                FlowState::Opening(opener) if !flow.is_closed => {
                    orphaned.openers.push((*key, opener.clone()));
                }
                // Without proof that this backend server held the flow, another one may hold it.
                FlowState::Open if flow.is_confirmed && !flow.is_closed => {
                    orphaned.flows.push(EndedFlow {
                        key: *key,
                        acknowledgement: flow.caller_acknowledgement,
                    })
                }
                FlowState::Open | FlowState::Opening(_) | FlowState::Unconfirmed { .. } => {}
            }
            if let Some(running) = &flow.running {
                self.metrics.requests_lost.inc();
                log::warn!(
                    "event=request_lost request={} flow={key} waited_ms={} reason=backend_ended",
                    running.id,
                    now_ms.saturating_sub(running.since_ms)
                );
            }
            false
        });
        self.recount(now_ms);
        orphaned
    }

    /// Returns at most `limit` idle flows that `may_end` accepts, for the agent to end them towards
    /// their callers. Each flow is returned once.
    pub(crate) fn end_idle(
        &mut self,
        limit: usize,
        may_end: impl Fn(&FlowKey) -> bool,
    ) -> Vec<EndedFlow> {
        let mut ended = Vec::new();
        self.flows.retain(|key, flow| {
            if ended.len() < limit && !flow.is_end_sent && flow.is_idle() && may_end(key) {
                flow.is_end_sent = true;
                ended.push(EndedFlow {
                    key: *key,
                    acknowledgement: flow.caller_acknowledgement,
                });
            }
            true
        });
        ended
    }

    /// Removes expired flows, renews the counts, and returns how many requests have become overdue.
    pub(crate) fn expire(&mut self, now_ms: u64) -> u32 {
        let (mut open, mut busy, mut overdue) = (0, 0, 0);
        let lifetime_ms = self.lifetime_ms;
        self.flows.retain(|key, flow| {
            let ttl_ms = if flow.is_closed {
                CLOSED_TTL_MS
            } else {
                lifetime_ms
            };
            let is_kept = now_ms < flow.last_seen_ms + ttl_ms;
            if is_kept {
                overdue += u32::from(flow.mark_overdue(key, now_ms));
                open += u32::from(flow.is_open());
                busy += u32::from(flow.is_busy(now_ms));
            } else if let Some(running) = &flow.running {
                log::warn!(
                    "event=request_unanswered request={} flow={key} waited_ms={}",
                    running.id,
                    now_ms.saturating_sub(running.since_ms)
                );
            }
            is_kept
        });
        (self.open_count, self.busy_count) = (open, busy);
        self.counted_ms = now_ms;
        self.update_metrics();
        overdue
    }

    fn recount(&mut self, now_ms: u64) {
        let (mut open, mut busy) = (0, 0);
        self.flows.retain(|_, flow| {
            open += u32::from(flow.is_open());
            busy += u32::from(flow.is_busy(now_ms));
            true
        });
        (self.open_count, self.busy_count) = (open, busy);
        self.counted_ms = now_ms;
        self.update_metrics();
    }

    fn count(&mut self, open: bool, busy: bool, sign: i32) {
        self.open_count = self
            .open_count
            .saturating_add_signed(i32::from(open) * sign);
        self.busy_count = self
            .busy_count
            .saturating_add_signed(i32::from(busy) * sign);
    }

    fn update_metrics(&self) {
        self.metrics.flows_open.set(i64::from(self.open_count));
        self.metrics.requests_busy.set(i64::from(self.busy_count));
    }
}
