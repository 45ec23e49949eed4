//! The agent's view of its backend server's process: whether it listens, has ended, has restarted,
//! or fails requests.

use crate::code::Code;
use crate::decisions::service_time::ServiceTimeEstimator;
use crate::opaque::flow_agent::{AgentContext, FlowAgent};
use crate::opaque::flows::orphaned_flows::OrphanedFlows;
use crate::opaque::openers::recent_outcomes::RecentOutcomes;
use crate::opaque::packets::action::Action;
use crate::opaque::values::directory::Directory;

/// How long connections to the backend server must be refused, without a packet from it, before its
/// process is considered ended, in milliseconds. The connection attempt is repeated during this
/// time.
const REFUSED_TIMEOUT_MS: u64 = 150;
/// How long a backend server that is no longer published must have sent nothing before its stopping
/// agent considers its flows gone, in milliseconds. An unacknowledged packet is sent again several
/// times within this time.
const QUIET_MS: u64 = 500;

impl FlowAgent {
    /// Returns whether the backend server runs but is not published, so that no other process knows
    /// about it.
    ///
    /// Its entry may have lapsed while the platform's service was unavailable, or another program
    /// may have overwritten it. A process that starts then finds no usable entry.
    pub fn is_backend_unlisted(&self, directory: &Directory) -> bool {
        let own = directory.local_backend(self.identity.backend);
        self.is_listening && own.is_none_or(|own| own.is_gone || !own.is_usable)
    }

    /// Returns whether a timeout since the last call requires a new connection to the backend
    /// server, to check whether it still listens.
    pub fn take_reconnect_request(&mut self) -> bool {
        std::mem::take(&mut self.wants_reconnect)
    }

    /// Handles a refused connection to the backend server.
    ///
    /// A draining backend server stops listening long before its flows have ended, so a refusal
    /// shows the end of the process only where the backend server is published as taking new flows.
    pub fn handle_backend_refused(&mut self, context: &AgentContext<'_>) -> Vec<Action> {
        self.is_refusing = true;
        self.is_listening = false;
        let own = context.directory.local_backend(self.identity.backend);
        if own.is_some_and(|own| !own.takes_flows) {
            return Vec::new();
        }
        let since_ms = *self.refused_since_ms.get_or_insert(context.now_ms);
        if context.now_ms < since_ms + REFUSED_TIMEOUT_MS {
            return Vec::new();
        }
        self.handle_backend_ended(context)
    }

    /// Handles an accepted connection to the backend server.
    pub fn handle_backend_listening(&mut self, now_ms: u64) {
        self.is_backend_up = true;
        if std::mem::take(&mut self.is_refusing) {
            // Connections were refused before, so the process has just started. Its entry shows
            // that only later.
            self.possibly_cold_since_ms = Some(now_ms);
        }
        self.is_listening = true;
        self.refused_since_ms = None;
    }

    /// Stops taking new flows, before the agent's process ends.
    ///
    /// If the backend server is published as gone, refuses connections and has sent nothing lately,
    /// it was stopped before its agent. Its flows that still seem open are gone and are reset.
    pub fn leave(&mut self, context: &AgentContext<'_>) -> Vec<Action> {
        self.is_leaving = true;
        let own = context.directory.local_backend(self.identity.backend);
        let is_gone = own.is_some_and(|own| own.is_gone && !own.takes_flows);
        let is_quiet = context.now_ms >= self.last_backend_packet_ms + QUIET_MS;
        let mut actions = Vec::new();
        if is_gone && is_quiet && self.is_refusing {
            actions = self.handle_backend_ended(context);
        }
        self.flush_queue(context, &mut actions);
        actions
    }

    /// Resets all flows of a backend server whose process has ended, so that their callers open new
    /// ones instead of waiting for a timeout.
    fn handle_backend_ended(&mut self, context: &AgentContext<'_>) -> Vec<Action> {
        self.knows_all_flows = true;
        if !std::mem::replace(&mut self.is_backend_up, false) {
            return Vec::new();
        }
        // All flows up to now belong to the process that has ended.
        let orphaned = self.flows.take_orphaned(u64::MAX, context.now_ms);
        self.pending_flows.clear();
        self.stall_detector.reset();
        self.forget_slot_times();
        log::info!(
            "event=backend_ended flows={} openers={} last_packet_ms_ago={} revision={}",
            orphaned.flows.len(),
            orphaned.openers.len(),
            context.now_ms.saturating_sub(self.last_backend_packet_ms),
            context.revision
        );
        let mut actions = self.reset_orphaned(context, orphaned);
        self.flush_queue(context, &mut actions);
        actions
    }

    /// Resets the remaining flows of an ended process, and hands its openers on to other agents.
    fn reset_orphaned(&self, context: &AgentContext<'_>, orphaned: OrphanedFlows) -> Vec<Action> {
        let mut actions = Vec::new();
        for ended in orphaned.flows {
            self.reset_flow(
                &ended.key,
                ended.acknowledgement,
                Code::BackendGone,
                &mut actions,
            );
        }
        for (key, opening) in orphaned.openers {
            self.hand_on(context, &key, opening, &mut actions);
        }
        actions
    }

    /// Handles the loss of the connection to the backend server.
    pub fn handle_backend_disconnected(&mut self, now_ms: u64) {
        self.is_listening = false;
        self.disconnected_ms.get_or_insert(now_ms);
    }

    /// Checks whether a new lifetime of the backend server is published at its address, and resets
    /// the flows of the previous one.
    ///
    /// A new lifetime shows that the previous one has ended, so flows from before the first loss of
    /// the connection are gone. Without this check, a backend server that restarts at once leaves
    /// callers waiting whose requests it had acknowledged: they send nothing more that could be
    /// returned.
    pub fn handle_published_change(&mut self, context: &AgentContext<'_>) -> Vec<Action> {
        let Some(own) = context.directory.local_backend(self.identity.backend) else {
            return Vec::new();
        };
        if std::mem::replace(&mut self.was_evacuated, own.is_evacuated) && !own.is_evacuated {
            // It may have become cold during the evacuation, and its entry shows that only with its
            // next heartbeat.
            self.possibly_cold_since_ms = Some(context.now_ms);
        }
        let before = self.published_lifetime.replace(own);
        if before.is_none_or(|before| !own.has_replaced(&before)) {
            return Vec::new();
        }
        self.forget_outcomes();
        let Some(disconnected_ms) = self.disconnected_ms.take() else {
            return Vec::new();
        };
        let orphaned = self.flows.take_orphaned(disconnected_ms, context.now_ms);
        log::info!(
            "event=backend_restarted flows={} openers={} broke_ms_ago={} revision={}",
            orphaned.flows.len(),
            orphaned.openers.len(),
            context.now_ms.saturating_sub(disconnected_ms),
            context.revision
        );
        self.reset_orphaned(context, orphaned)
    }

    /// Clears the outcomes of the previous lifetime. A process that has just started has not failed
    /// yet, and would otherwise get only five probing openers a second although it could serve all.
    fn forget_outcomes(&mut self) {
        self.outcomes = RecentOutcomes::default();
        self.was_failing = false;
        self.stall_detector.reset();
        self.forget_slot_times();
        self.silent_since_ms = None;
    }

    /// Clears the measured service time and shed limit, after a stall or when the process has
    /// ended.
    pub(super) fn forget_slot_times(&mut self) {
        self.service_time = ServiceTimeEstimator::default();
        self.min_busy_at_shed = None;
    }

    /// Records that a request failed at the backend server.
    pub(super) fn record_failed(&mut self, now_ms: u64) {
        self.outcomes.record_failed(now_ms);
        let is_failing = self.outcomes.is_failing(now_ms);
        if is_failing && !std::mem::replace(&mut self.was_failing, true) {
            log::warn!("event=backend_fails busy={}", self.flows.busy_requests());
        }
    }

    /// Records that the backend server answered a request.
    pub(super) fn record_served(&mut self, now_ms: u64) {
        self.outcomes.record_served(now_ms);
        if self.was_failing && !self.outcomes.is_failing(now_ms) {
            self.was_failing = false;
            log::warn!("event=backend_serves busy={}", self.flows.busy_requests());
        }
    }
}
