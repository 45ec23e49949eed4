//! The number of busy requests up to which a backend server takes another opener.

use crate::config::deadlines::{Deadline, UNANSWERED_ATTEMPT_TIMEOUT_MS};
use crate::opaque::flow_agent::{AgentContext, FlowAgent};
use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::packets::message::MessageKind;
use crate::opaque::packets::segment::FlowKey;

/// The time that the caller of each copy has waited since the first copy, in milliseconds.
const COPY_AGES_MS: [u64; 3] = [0, 200, 600];
/// The ages from which an opener is treated like a second and like a last copy, in milliseconds.
/// They lie about half way between the ages of copies, since retries may have any age.
const AGE_CLASS_MS: [u64; 2] = [150, 450];
/// The busy requests per slot, running or waiting, from which a backend server takes no opener, for
/// the three age classes.
///
/// With one request waiting behind each running one, an opener that is taken still finishes within
/// about two service times. Callers of later copies and retries have already used up most of their
/// latency objective, or more. While there is not enough room for all, the openers that can still
/// be served in time go first.
const MAX_BUSY_PER_SLOT: [f64; 3] = [2.0, 1.5, 1.0];
/// The same for openers of a route that is more urgent than another route to the same service.
///
/// While there is not enough room for all, less urgent openers leave a second waiting place behind
/// each running request to urgent ones, which still finish there within about three service times.
const URGENT_MAX_BUSY_PER_SLOT: [f64; 3] = [3.0, 2.5, 1.0];
/// The busy requests per slot from which a cold backend server takes no opener.
///
/// A cold server needs about 1.6 times as long per request. With the limits of a warm one, openers
/// that it takes after a power loss of the whole site finish late. Warm servers would do worse with
/// these limits: at a load of 0.85, 0.959 of the openers were in time in the model, against 0.983
/// with the limits of warm servers.
const COLD_MAX_BUSY_PER_SLOT: [f64; 3] = [1.34, 1.0, 0.67];
/// The same for openers of a more urgent route.
const COLD_URGENT_MAX_BUSY_PER_SLOT: [f64; 3] = [2.34, 1.67, 1.0];
/// The number of the last copy of an opener that a caller sends.
pub(super) const LAST_COPY: u32 = 2;

/// The limits of the agent's own backend server for one opener.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenerLimits {
    /// Whether the backend server is still slow after its start.
    pub(super) is_cold: bool,
    /// The number of busy requests from which the opener is not taken; none if no table lists the
    /// backend server.
    pub(super) max_busy: Option<f64>,
    /// The deadline of the opener's route, if one is known.
    pub(super) deadline: Option<Deadline>,
}

impl PendingOpener {
    /// Returns how long the caller has waited, in milliseconds.
    pub(super) fn age_ms(&self) -> u64 {
        self.copy_age_ms() + u64::from(self.waited_ms)
    }

    /// Returns how long the caller has waited in this attempt, in milliseconds.
    pub(super) fn copy_age_ms(&self) -> u64 {
        let copy = self.copy.min(LAST_COPY) as usize;
        COPY_AGES_MS[copy]
    }

    /// Returns the index of the opener's age class in the limits.
    fn age_class(&self) -> usize {
        AGE_CLASS_MS.partition_point(|from_ms| *from_ms <= self.age_ms())
    }
}

impl FlowAgent {
    /// Returns the limits of the backend server for an opener of this age.
    pub(super) fn opener_limits(
        &self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        opening: &PendingOpener,
        kind: MessageKind,
    ) -> OpenerLimits {
        let is_cold = self.is_cold(context);
        let service = self.identity.service;
        let routes = context.directory.routes();
        let route = routes.get(key.called);
        let is_urgent = route.is_some_and(|route| routes.has_less_urgent_route(route, service));
        let per_slot = match (is_cold, is_urgent) {
            (false, false) => MAX_BUSY_PER_SLOT,
            (false, true) => URGENT_MAX_BUSY_PER_SLOT,
            (true, false) => COLD_MAX_BUSY_PER_SLOT,
            (true, true) => COLD_URGENT_MAX_BUSY_PER_SLOT,
        };
        let per_slot = per_slot[opening.age_class()];
        let deadline = context.directory.deadline(key.called);
        let priority = route.map_or(0, |route| route.priority);
        let must_yield = self.must_yield(priority);
        let limit = |slots: u32| match (deadline, kind) {
            (Some(_), MessageKind::Offer) => f64::from(slots),
            (Some(deadline), _) => {
                self.max_handed_over(slots, deadline.objective_ms, context.now_ms)
            }
            (None, _) if must_yield => {
                let max_busy =
                    self.max_handed_over(slots, UNANSWERED_ATTEMPT_TIMEOUT_MS, context.now_ms);
                max_busy.min(f64::from(slots) * per_slot)
            }
            (None, _) => f64::from(slots) * per_slot,
        };
        OpenerLimits {
            is_cold,
            max_busy: self.backend_slots(context).map(limit),
            deadline,
        }
    }

    /// Returns how many new flows per second the backend server can take, if it is cold or may be.
    pub(super) fn cold_flows_per_s(&self, context: &AgentContext<'_>) -> Option<f64> {
        let start = context.directory.cold_start(self.identity.service)?;
        let possibly_since_ms = self.possibly_cold_since_ms;
        let may_be_cold =
            possibly_since_ms.is_some_and(|since_ms| context.now_ms < since_ms + start.cold_ms);
        (may_be_cold || self.is_cold(context)).then_some(start.flows_per_s)
    }

    /// Returns whether the backend server is published as cold.
    fn is_cold(&self, context: &AgentContext<'_>) -> bool {
        let published = context.directory.local_backend(self.identity.backend);
        published.is_some_and(|own| context.now_ms < own.cold_until_ms)
    }
}
