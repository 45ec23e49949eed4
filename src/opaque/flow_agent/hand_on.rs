//! Handing on openers that an agent does not take to the next agent.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::opaque::flow_agent::opener_limits::LAST_COPY;
use crate::opaque::flow_agent::openers::NotTakenReason;
use crate::opaque::flow_agent::{AgentContext, FlowAgent};
use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::openers::opener_order::{next_host, next_warm_host};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::FlowKey;

/// The maximum number of agents that may hand on an opener.
pub(super) const MAX_HOPS: usize = 8;
/// The maximum number of agents that may hand on an opener for lack of room. Four tries find room
/// if there is any; if there is none, each further hop costs the agents time that they lack under
/// overload.
const MAX_CROWDED_HOPS: usize = 3;

impl FlowAgent {
    /// Hands an opener on to the agent after this one in the flow's order, if one is left.
    ///
    /// Otherwise the opener is dropped: its caller sends another copy, for which there may be room.
    /// Only the last copy is refused, since the caller has few attempts.
    pub(super) fn hand_on(
        &self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        opening: PendingOpener,
        actions: &mut Vec<Action>,
    ) {
        let next = next_host(context, self.identity.host, key, opening.hops, MAX_HOPS);
        self.hand_on_to(context, key, opening, next, actions);
    }

    /// Returns the agent to which an opener is handed on, if any, when it is not taken here for
    /// this reason.
    pub(super) fn next_agent(
        &self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        hops: u8,
        reason: NotTakenReason,
    ) -> Option<Ipv4Addr> {
        let own = self.identity.host;
        match reason {
            NotTakenReason::Crowded => next_host(context, own, key, hops, MAX_CROWDED_HOPS),
            // A warm agent takes it at once. If there is none, the others are as full as this one.
            NotTakenReason::ColdRate => next_warm_host(context, own, key, hops, MAX_HOPS)
                .or_else(|| next_host(context, own, key, hops, MAX_CROWDED_HOPS)),
            _ => next_host(context, own, key, hops, MAX_HOPS),
        }
    }

    /// Hands an opener on to an agent; without one, refuses the last copy and drops an earlier one.
    pub(super) fn hand_on_to(
        &self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        opening: PendingOpener,
        next: Option<Ipv4Addr>,
        actions: &mut Vec<Action>,
    ) {
        match next {
            Some(host) => {
                let mut message = Message::new(MessageKind::HandOn);
                message.host = opening.balancer;
                message.hops = opening.hops + 1;
                message.waited_ms = opening.waited_ms;
                self.metrics.openers_handed_on.inc();
                actions.push(Action::ToPeer(host, message, opening.packet));
            }
            None if opening.copy >= LAST_COPY => {
                self.send_attempt_failed(context, key, opening.age_ms(), actions);
                self.reset_flow(key, 0, Code::NoRoom, actions);
            }
            None => {
                self.metrics.openers_dropped.inc();
                log::info!(
                    "event=opener_dropped flow={key} copy={} hops={} revision={}",
                    opening.copy,
                    opening.hops,
                    context.revision
                );
            }
        }
    }
}
