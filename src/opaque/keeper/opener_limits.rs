//! How many requests a backend server may have for one more opener.

use crate::config::deadlines::{Deadline, UNANSWERED_ATTEMPT_MS};
use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::keeper::{Keeper, Scene};
use crate::opaque::packets::message::MessageKind;
use crate::opaque::packets::segment::FlowKey;

/// How long the caller of each copy has waited since the first, in milliseconds.
const COPY_AGES_MS: [u64; 3] = [0, 200, 600];
/// The ages from which an opener is as good as a second and as a last copy, in milliseconds: about half way
/// between the ages of copies, since retries have any age.
const AGED_MS: [u64; 2] = [150, 450];
/// The requests for each slot, running or waiting, from which a backend server takes no opener, for the
/// three ages that are told apart.
///
/// With one waiting behind each running one, what is taken still ends within about two service times.
/// Later copies and retries come from callers that have waited most of their aim already, or more: while
/// there is not room for all, those that can still be served in time go first.
const CROWDED_PER_SLOT: [f64; 3] = [2.0, 1.5, 1.0];
/// The same for openers of a route that is more urgent than another one to the same service.
///
/// While there is not room for all, what is less urgent leaves these a second place behind each running
/// request, in which they still end within about three service times.
const URGENT_PER_SLOT: [f64; 3] = [3.0, 2.5, 1.0];
/// The requests for each slot from which a backend server that is slow after its start takes no opener.
///
/// It takes about 1.6 times as long for each; with the limits of a warm one, what it takes after a loss of
/// power of all ends late. Warm servers would lose by these: at 0.85 of their load 0.959 of the openers
/// were in time in the model, 0.983 with their own limits.
const COLD_PER_SLOT: [f64; 3] = [1.34, 1.0, 0.67];
/// The same for openers of a more urgent route.
const COLD_URGENT_PER_SLOT: [f64; 3] = [2.34, 1.67, 1.0];
/// The number of the last copy that a caller sends of an opener.
pub(super) const LAST_COPY: u32 = 2;

/// What an agent knows of its own backend server when it decides about an opener.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnPlace {
    /// Whether it is still slow after its start.
    pub(super) is_cold: bool,
    /// The number of requests from which the opener is not taken; none where no table has it.
    pub(super) limit: Option<f64>,
    /// How long its caller waits, where that is told.
    pub(super) deadline: Option<Deadline>,
}

impl PendingOpener {
    /// Returns for how long its caller has waited, in milliseconds.
    pub(super) fn age_ms(&self) -> u64 {
        self.copy_age_ms() + u64::from(self.waited_ms)
    }

    /// Returns for how long its caller has waited in this attempt, in milliseconds.
    pub(super) fn copy_age_ms(&self) -> u64 {
        let copy = self.copy.min(LAST_COPY) as usize;
        COPY_AGES_MS[copy]
    }

    /// Returns which of the three limits it has.
    fn age_step(&self) -> usize {
        AGED_MS.partition_point(|from_ms| *from_ms <= self.age_ms())
    }
}

impl Keeper {
    /// Looks the own backend server up, and how much it may have for an opener of this age.
    pub(super) fn own_place(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: &PendingOpener,
        kind: MessageKind,
    ) -> OwnPlace {
        let is_cold = self.is_cold(scene);
        let service = self.identity.service;
        let routes = scene.directory.routes();
        let route = routes.get(key.called);
        let is_urgent = route.is_some_and(|route| routes.is_urgent(route, service));
        let per_slot = match (is_cold, is_urgent) {
            (false, false) => CROWDED_PER_SLOT,
            (false, true) => URGENT_PER_SLOT,
            (true, false) => COLD_PER_SLOT,
            (true, true) => COLD_URGENT_PER_SLOT,
        };
        let per_slot = per_slot[opening.age_step()];
        let deadline = scene.directory.deadline(key.called);
        let priority = route.map_or(0, |route| route.priority);
        let must_let_pass = self.must_let_pass(priority);
        let limit = |slots: u32| match (deadline, kind) {
            (Some(_), MessageKind::Offer) => f64::from(slots),
            (Some(deadline), _) => self.handed_at_most(slots, deadline.objective_ms, scene.now_ms),
            (None, _) if must_let_pass => {
                let most = self.handed_at_most(slots, UNANSWERED_ATTEMPT_MS, scene.now_ms);
                most.min(f64::from(slots) * per_slot)
            }
            (None, _) => f64::from(slots) * per_slot,
        };
        OwnPlace {
            is_cold,
            limit: self.own_slots(scene).map(limit),
            deadline,
        }
    }

    /// Returns how many new flows the backend server bears a second, if it is cold or may be.
    pub(super) fn cold_flows_per_s(&self, scene: &Scene<'_>) -> Option<f64> {
        let start = scene.directory.cold_start(self.identity.service)?;
        let maybe_since_ms = self.maybe_cold_since_ms;
        let may_be_cold =
            maybe_since_ms.is_some_and(|since_ms| scene.now_ms < since_ms + start.cold_ms);
        (may_be_cold || self.is_cold(scene)).then_some(start.flows_per_s)
    }

    /// Tells whether the backend server is published as slow after its start.
    fn is_cold(&self, scene: &Scene<'_>) -> bool {
        let published = scene.directory.local_backend(self.identity.backend);
        published.is_some_and(|own| scene.now_ms < own.cold_until_ms)
    }
}
