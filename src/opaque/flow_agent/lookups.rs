//! Lookups of the agent that holds a flow: started, answered, and concluded.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::opaque::flow_agent::{AgentContext, FlowAgent, send_holds, send_to_peer};
use crate::opaque::flows::flow::{Flow, FlowState, PacketSource};
use crate::opaque::flows::lookup::{FIRST_QUERIED, LookupOutcome, LookupPacket};
use crate::opaque::openers::opener_order::likely_holders;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::{FlowKey, Segment};

impl FlowAgent {
    /// Starts a lookup: asks other agents whether they hold a flow.
    pub(super) fn start_lookup(
        &mut self,
        context: &AgentContext<'_>,
        segment: &Segment,
        packet: &[u8],
        balancer: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        if segment.resets {
            return;
        }
        let own = self.identity.host;
        let likely = || likely_holders(context, own, &segment.flow_from_caller(), FIRST_QUERIED);
        let lookup_packet = LookupPacket {
            segment,
            packet,
            balancer,
        };
        let queried = self.lookups.start(
            context.directory,
            own,
            likely,
            &lookup_packet,
            context.now_ms,
        );
        for host in queried {
            let message = Message::new(MessageKind::Find);
            actions.push(Action::ToPeer(host, message, packet.to_vec()));
        }
        self.reset_if_held_nowhere(context, &segment.flow_from_caller(), actions);
    }

    /// Answers a lookup of another agent, and delivers the packet if the flow is held here.
    pub(super) fn handle_find(
        &mut self,
        context: &AgentContext<'_>,
        segment: &Segment,
        packet: &[u8],
        asking_agent: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        if self.deliver_held(context, segment, packet, actions) {
            send_to_peer(MessageKind::Found, &key, asking_agent, actions);
            return;
        }
        if self.flows.get(&key).is_none() && !self.knows_all_flows && self.is_backend_up {
            self.try_backend(
                context,
                segment,
                packet,
                PacketSource::AskingAgent(asking_agent),
                actions,
            );
        } else {
            send_to_peer(MessageKind::Absent, &key, asking_agent, actions);
        }
    }

    /// Handles the answer of the agent that holds a flow.
    pub(super) fn handle_found(
        &mut self,
        context: &AgentContext<'_>,
        from: Ipv4Addr,
        payload: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = FlowKey::from_bytes(payload) else {
            return;
        };
        let Some(lookup) = self.lookups.finish(&key) else {
            return;
        };
        log::info!("event=flow_found flow={key} host={from}");
        send_holds(&key, lookup.balancer, from, actions);
        let flow = Flow::new(FlowState::Elsewhere(from), context.now_ms);
        self.insert_flow(key, flow, context.now_ms);
    }

    /// Resets a flow if the answers to its lookup prove that no backend server holds it.
    pub(super) fn reset_if_held_nowhere(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        actions: &mut Vec<Action>,
    ) {
        if !context.is_settled {
            return;
        }
        let outcome = self
            .lookups
            .outcome(key, context.directory, context.revision);
        if let LookupOutcome::NotHeld { acknowledgement } = outcome {
            let waited_ms = self.lookups.age_ms(key, context.now_ms);
            self.reset_gone_flow(context, key, acknowledgement, waited_ms, actions);
        }
    }

    /// Resets a flow that no backend server holds. `waited_ms` is the age of its lookup, for which
    /// the caller has waited.
    pub(super) fn reset_gone_flow(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        acknowledgement: u32,
        waited_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        self.lookups.cancel(key);
        let route = context.directory.routes().get(key.called);
        if route.is_some_and(|route| route.repeatable) {
            self.send_attempt_failed(context, key, waited_ms, actions);
        }
        self.reset_flow(key, acknowledgement, Code::FlowGone, actions);
    }
}
