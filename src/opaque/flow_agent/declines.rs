//! Openers that an agent declines in favor of a less loaded agent.
//!
//! Balancers choose agents by hash: with a hundred backend servers, each of many balancers receives
//! the load of a given one too rarely to choose by load. The busiest of a hundred then has by
//! chance 1.3 to 1.5 times the mean load, with flows of several requests each. The agent knows its
//! own load exactly, and its balancer knows the mean. A declined opener goes back to the balancer,
//! which offers it to the next agent, because the balancer knows which agents do not answer.

use std::net::Ipv4Addr;

use crate::decisions::offers::TAKES_NONE_WAIT_MS;
use crate::opaque::flow_agent::{AgentContext, FlowAgent, send_to_peer};
use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind, UNKNOWN_LOAD_PERMILLE};
use crate::opaque::packets::segment::FlowKey;

/// How far above the mean load an agent must be to decline openers, as a fraction of the mean. For
/// a smaller difference the detour to another agent costs the caller more than it saves.
const DECLINE_MARGIN: f64 = 0.1;
/// The minimum of that margin, in thousandths of a slot, so that an idle backend server does not
/// decline in favor of another idle one.
const MIN_DECLINE_MARGIN_PERMILLE: f64 = 20.0;

/// The wait that an agent reports when it has room but a load above the mean, in milliseconds. It
/// is more than the round trip to another availability zone, so that long-lived flows do not stay
/// in the zone with more callers.
const ABOVE_MEAN_WAIT_MS: u16 = 20;

/// Why an agent declines an opener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DeclineReason {
    /// The load of its backend server is above the mean.
    AboveMean,
    /// Its backend server has no free slot.
    Busy,
    /// Its backend server takes no new flows at present.
    TakesNone,
}

impl FlowAgent {
    /// Returns whether an opener that could be taken should go to a less loaded agent.
    ///
    /// Only openers whose callers have not waited yet are declined: each further agent may fail and
    /// costs some milliseconds.
    pub(super) fn should_decline(
        &self,
        context: &AgentContext<'_>,
        opening: &PendingOpener,
        message: &Message,
    ) -> bool {
        let is_fresh = opening.copy == 0 && opening.waited_ms == 0;
        let from_balancer = matches!(message.kind, MessageKind::Deliver | MessageKind::Offer);
        let may_decline = from_balancer && is_fresh;
        if !may_decline || message.load_permille == UNKNOWN_LOAD_PERMILLE {
            return false;
        }
        let mean = f64::from(message.load_permille);
        let limit = mean + (DECLINE_MARGIN * mean).max(MIN_DECLINE_MARGIN_PERMILLE);
        let own = self.steady_load_permille(context);
        own.is_some_and(|own| f64::from(own) > limit)
    }

    /// Returns whether the wait of an offered opener here is at most the wait that its balancer
    /// expects elsewhere.
    pub(super) fn is_wait_acceptable(
        &mut self,
        context: &AgentContext<'_>,
        message: &Message,
    ) -> bool {
        self.expected_wait_ms(context) <= message.max_wait_ms
    }

    /// Declines an opener, which its balancer then offers elsewhere.
    pub(super) fn decline(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        message: &Message,
        reason: DeclineReason,
        actions: &mut Vec<Action>,
    ) {
        self.metrics.openers_declined.inc();
        let wait_ms = match reason {
            DeclineReason::AboveMean => ABOVE_MEAN_WAIT_MS,
            DeclineReason::Busy => self.expected_wait_ms(context),
            DeclineReason::TakesNone => TAKES_NONE_WAIT_MS,
        };
        log::info!(
            "event=opener_declined flow={key} reason={reason:?} wait_ms={wait_ms} busy={} slots={} load_permille={} mean_permille={} revision={}",
            self.flows.busy_requests(),
            self.backend_slots(context).unwrap_or_default(),
            self.steady_load_permille(context)
                .unwrap_or(UNKNOWN_LOAD_PERMILLE),
            message.load_permille,
            context.revision
        );
        // Offers are sent only for routes with a deadline, even if this agent does not know the
        // deadline yet.
        let has_deadline =
            message.kind == MessageKind::Offer || context.directory.has_deadline(key.called);
        let wait_ms = has_deadline.then_some(wait_ms);
        let kind = MessageKind::Declined;
        self.send_with_load(context, kind, key, message.host, wait_ms, actions);
    }

    /// Notifies the balancer of an opener that this agent took it.
    pub(super) fn send_taken(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        balancer: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        if balancer.is_unspecified() {
            return;
        }
        let deadline = context.directory.deadline(key.called);
        let wait_ms = deadline.map(|_| self.expected_wait_ms(context));
        self.send_with_load(context, MessageKind::Holds, key, balancer, wait_ms, actions);
    }

    /// Sends a message that names a flow, followed by the load of the backend server and the wait
    /// of a new flow.
    fn send_with_load(
        &self,
        context: &AgentContext<'_>,
        kind: MessageKind,
        key: &FlowKey,
        to: Ipv4Addr,
        wait_ms: Option<u16>,
        actions: &mut Vec<Action>,
    ) {
        send_to_peer(kind, key, to, actions);
        if let Some(Action::ToPeer(_, message, payload)) = actions.last_mut() {
            message.host = self.identity.host;
            let mut permille = self.steady_load_permille(context);
            if wait_ms.is_some() {
                permille.get_or_insert(UNKNOWN_LOAD_PERMILLE);
            }
            let words = permille.into_iter().chain(wait_ms);
            payload.extend(words.flat_map(u16::to_be_bytes));
        }
    }

    /// Returns the mean busy requests per slot of the backend server over the last ten seconds, in
    /// thousandths, once enough time was measured.
    fn steady_load_permille(&self, context: &AgentContext<'_>) -> Option<u16> {
        let slots = self.backend_slots(context)?;
        self.steady_load.permille_since_start(slots)
    }
}
