//! Messages that an agent sends to balancers without being asked.

use std::net::Ipv4Addr;

use crate::opaque::flow_agent::{AgentContext, FlowAgent};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::FlowKey;

impl FlowAgent {
    /// Notifies all active balancers that a caller's attempt failed after `waited_ms`.
    ///
    /// The caller's retry may come through any of them.
    pub(super) fn send_attempt_failed(
        &self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        waited_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let mut message = Message::new(MessageKind::AttemptFailed);
        message.waited_ms = u16::try_from(waited_ms).unwrap_or(u16::MAX);
        let flow = key.to_bytes().to_vec();
        let active = self.known_balancers.active(context.now_ms);
        actions.extend(active.map(|host| Action::ToPeer(host, message, flow.clone())));
    }

    /// Sends greetings to balancers that have sent nothing lately, including the seeds: they may
    /// have just started without a configuration.
    pub fn greet(&mut self, context: &AgentContext<'_>, seeds: &[Ipv4Addr]) -> Vec<Action> {
        let agents = context.directory.current_hosts();
        let own = self.identity.host;
        let quiet = self
            .known_balancers
            .balancers_to_greet(own, agents, seeds, context.now_ms);
        let greeting = Message::new(MessageKind::Greeting);
        let greetings = quiet.into_iter();
        greetings
            .map(|host| Action::ToPeer(host, greeting, Vec::new()))
            .collect()
    }
}
