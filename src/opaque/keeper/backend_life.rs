//! What an agent believes of the process of its backend server: listening, ended, restarted, failing.

use crate::code::Code;
use crate::decisions::service_time::SlotTime;
use crate::opaque::flows::orphaned_flows::OrphanedFlows;
use crate::opaque::keeper::{Keeper, Scene};
use crate::opaque::openers::recent_outcomes::RecentOutcomes;
use crate::opaque::packets::action::Action;
use crate::opaque::values::directory::Directory;

/// How long nothing must listen at the backend server's address, and no packet come from there, before
/// its process counts as ended, in milliseconds: the connection attempt is repeated meanwhile.
const REFUSED_MS: u64 = 150;
/// How long a backend server that is no longer published must have sent nothing before its agent, when
/// it is stopped, takes its flows for gone, in milliseconds: some copies of a packet that waits.
const STILL_MS: u64 = 500;

impl Keeper {
    /// Tells whether the backend server runs and is not published, so that no other process knows of it.
    ///
    /// Its entry may have lapsed while the platform's service was away, or another program wrote there; who
    /// starts then finds none.
    pub fn is_unlisted(&self, directory: &Directory) -> bool {
        let own = directory.local_backend(self.identity.backend);
        self.listens && own.is_none_or(|own| own.is_gone || !own.is_usable)
    }

    /// Tells whether the backend server gave a reason since the last call to look whether it still listens.
    pub fn take_doubt(&mut self) -> bool {
        std::mem::take(&mut self.doubted)
    }

    /// Notes that nothing listens at the backend server's address.
    ///
    /// One that drains stops listening long before it has ended its flows, so that this is proof only
    /// of one that should be there.
    pub fn backend_refuses(&mut self, scene: &Scene<'_>) -> Vec<Action> {
        self.refusing = true;
        self.listens = false;
        let own = scene.directory.local_backend(self.identity.backend);
        if own.is_some_and(|own| !own.takes_flows) {
            return Vec::new();
        }
        let since_ms = *self.refused_since_ms.get_or_insert(scene.now_ms);
        if scene.now_ms < since_ms + REFUSED_MS {
            return Vec::new();
        }
        self.backend_ended(scene)
    }

    /// Notes that something listens at the backend server's address.
    pub fn backend_listens(&mut self, now_ms: u64) {
        self.backend_up = true;
        if std::mem::take(&mut self.refusing) {
            // Nothing listened before, so that its process has just started; its entry tells that later.
            self.maybe_cold_since_ms = Some(now_ms);
        }
        self.listens = true;
        self.refused_since_ms = None;
    }

    /// Notes that the process stops, and takes no new flow from now on.
    ///
    /// The agent of a backend server that has left is stopped after it, so that flows which still seem
    /// open there are gone.
    pub fn leave(&mut self, scene: &Scene<'_>) -> Vec<Action> {
        self.leaving = true;
        let own = scene.directory.local_backend(self.identity.backend);
        let gone = own.is_some_and(|own| own.is_gone && !own.takes_flows);
        let still = scene.now_ms >= self.last_heard_ms + STILL_MS;
        let mut actions = Vec::new();
        if gone && still && self.refusing {
            actions = self.backend_ended(scene);
        }
        self.pass_on_waiting(scene, &mut actions);
        actions
    }

    /// Ends all flows of a backend server whose process is gone at once, so that their callers open
    /// new ones instead of waiting.
    fn backend_ended(&mut self, scene: &Scene<'_>) -> Vec<Action> {
        self.knows_all = true;
        if !std::mem::replace(&mut self.backend_up, false) {
            return Vec::new();
        }
        // Whatever came in until now was for the process that has ended.
        let orphaned = self.flows.take_orphaned(u64::MAX, scene.now_ms);
        self.pending.clear();
        self.stall.forget();
        self.forget_slot_times();
        log::info!(
            "event=backend_ended flows={} openers={} last_packet_ms_ago={} revision={}",
            orphaned.flows.len(),
            orphaned.openers.len(),
            scene.now_ms.saturating_sub(self.last_heard_ms),
            scene.revision
        );
        let mut actions = self.close_remains(scene, orphaned);
        self.pass_on_waiting(scene, &mut actions);
        actions
    }

    /// Resets the flows that are left of a backend server, and passes its openers on.
    fn close_remains(&self, scene: &Scene<'_>, orphaned: OrphanedFlows) -> Vec<Action> {
        let mut actions = Vec::new();
        for ended in orphaned.flows {
            self.reset(
                &ended.key,
                ended.acknowledgement,
                Code::BackendGone,
                &mut actions,
            );
        }
        for (key, opening) in orphaned.openers {
            self.hand_on(scene, &key, opening, &mut actions);
        }
        actions
    }

    /// Notes that the connection to the backend server broke.
    pub fn backend_breaks(&mut self, now_ms: u64) {
        self.listens = false;
        self.broke_ms.get_or_insert(now_ms);
    }

    /// Looks whether a new lifetime of the backend server is published at its address.
    ///
    /// It shows that the one before has ended, so that flows from before the first break of the connection
    /// since then are gone. Without it, a backend server that restarts at once leaves callers waiting whose
    /// requests it had acknowledged: they send nothing more that could be returned.
    pub fn published_changed(&mut self, scene: &Scene<'_>) -> Vec<Action> {
        let Some(own) = scene.directory.local_backend(self.identity.backend) else {
            return Vec::new();
        };
        if std::mem::replace(&mut self.was_evacuated, own.is_evacuated) && !own.is_evacuated {
            // It may have become cold meanwhile, and its entry tells that only with its next sign of life.
            self.maybe_cold_since_ms = Some(scene.now_ms);
        }
        let before = self.lifetime.replace(own);
        if before.is_none_or(|before| !own.has_replaced(&before)) {
            return Vec::new();
        }
        self.forget_outcomes();
        let Some(broke_ms) = self.broke_ms.take() else {
            return Vec::new();
        };
        let orphaned = self.flows.take_orphaned(broke_ms, scene.now_ms);
        log::info!(
            "event=backend_restarted flows={} openers={} broke_ms_ago={} revision={}",
            orphaned.flows.len(),
            orphaned.openers.len(),
            scene.now_ms.saturating_sub(broke_ms),
            scene.revision
        );
        self.close_remains(scene, orphaned)
    }

    /// Forgets how the lifetime before fared: a process that has just started has failed nothing yet, and
    /// would be tried with five openers a second where it could serve all.
    fn forget_outcomes(&mut self) {
        self.outcomes = RecentOutcomes::default();
        self.failing = false;
        self.stall.forget();
        self.forget_slot_times();
        self.silent_since_ms = None;
    }

    /// Forgets how long requests took and how many were too many, after a stall or a process that has ended.
    pub(super) fn forget_slot_times(&mut self) {
        self.slot_time = SlotTime::default();
        self.shed_at = None;
    }

    /// Notes that a request failed at the backend server.
    pub(super) fn note_failed(&mut self, now_ms: u64) {
        self.outcomes.record_failed(now_ms);
        let failing = self.outcomes.is_failing(now_ms);
        if failing && !std::mem::replace(&mut self.failing, true) {
            log::warn!("event=backend_fails busy={}", self.flows.busy_requests());
        }
    }

    /// Notes that a request was answered by the backend server.
    pub(super) fn note_served(&mut self, now_ms: u64) {
        self.outcomes.record_served(now_ms);
        if self.failing && !self.outcomes.is_failing(now_ms) {
            self.failing = false;
            log::warn!("event=backend_serves busy={}", self.flows.busy_requests());
        }
    }
}
