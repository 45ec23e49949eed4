//! What balancer, agents and backend servers do with messages in the model.

use std::net::Ipv4Addr;

use endivedyke::opaque::{
    Action, AgentContext, BackendState, Directory, FlowAgent, Message, MessageKind,
    UNKNOWN_LOAD_PERMILLE, backend_text, cold_backend_text, decode_steady_load, decode_wait_ms,
};

use super::{ACCEPTED, BEAT_MS, Event, Model, TICK_MS, forwarders};
use crate::builder::{BALANCER, SERVICE, WIRE, ZONE, acceptance, backend_address, host, publish};
use crate::queue_plan::Plan;

/// Publishes the backend servers of a plan with the slots that they have there.
pub(super) fn publish_slots(directory: &mut Directory, plan: &Plan, revision: u64, now_ms: u64) {
    for index in 1..=plan.servers {
        let text = text_of(plan, index);
        publish(directory, index, &text, revision + u64::from(index), now_ms);
    }
}

fn text_of(plan: &Plan, index: u16) -> String {
    let address = backend_address(index).to_string();
    backend_text(
        SERVICE,
        &address,
        ZONE,
        plan.slots as u64,
        BackendState::Ready,
    )
}

impl Model {
    pub(super) fn forward(&mut self, packet: Vec<u8>) {
        let (directory, now_ms) = (&self.agents.directory, self.now_ms);
        let segment = (WIRE.decode)(&packet).expect("sound");
        let index = self.balancer_of(segment.source.port());
        let suspicion = &mut self.agents.suspicion;
        let action = self.forwarders[index].handle(directory, suspicion, packet, now_ms);
        self.perform(BALANCER, action.into_iter().collect());
    }

    /// Returns which balancer the packets of a caller's port come through.
    fn balancer_of(&self, port: u16) -> usize {
        usize::from(port) % self.forwarders.len()
    }

    /// Does what a process on a host asks for.
    fn perform(&mut self, at: Ipv4Addr, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ToPeer(to, message, payload) => self.send(at, to, message, payload),
                Action::ToBackend(packet) => self.backend_hears(at, &packet),
                Action::ToCaller(_, packet) => self.caller_hears(at, &packet),
            }
        }
    }

    fn send(&mut self, from: Ipv4Addr, to: Ipv4Addr, mut message: Message, mut payload: Vec<u8>) {
        if from == BALANCER && !self.policy.knows_mean() {
            message.load_permille = UNKNOWN_LOAD_PERMILLE;
        }
        if from != BALANCER && message.load_permille == UNKNOWN_LOAD_PERMILLE {
            message.load_permille =
                self.with_agent(from, |agent, context| agent.load_permille(context));
        }
        message.append(&mut payload);
        if to == BALANCER {
            self.soon(Event::ToBalancer(from, payload));
        } else {
            self.soon(Event::ToAgent(to, from, payload));
        }
    }

    fn with_agent<T>(
        &mut self,
        at: Ipv4Addr,
        decide: impl FnOnce(&mut FlowAgent, &AgentContext<'_>) -> T,
    ) -> T {
        self.agents.with_agent(at, self.now_ms, decide)
    }

    pub(super) fn agent_hears(&mut self, at: Ipv4Addr, from: Ipv4Addr, datagram: &[u8]) {
        let (payload, message) = Message::split(datagram).expect("sound");
        let actions = self.with_agent(at, |agent, context| {
            agent.handle_peer_message(context, from, &message, payload)
        });
        self.perform(at, actions.unwrap_or_default());
    }

    pub(super) fn balancer_hears(&mut self, from: Ipv4Addr, datagram: &[u8]) {
        let (payload, message) = Message::split(datagram).expect("sound");
        // The payload names the flow: the caller's address and port come first.
        let &[_, _, _, _, high, low, ..] = payload else {
            return;
        };
        let port = u16::from_be_bytes([high, low]);
        let key = self.key(port);
        let index = self.balancer_of(port);
        let forwarder = &mut self.forwarders[index];
        forwarder.record_message(from, message.load_permille, self.now_ms);
        if let Some(permille) = decode_steady_load(payload) {
            forwarder.record_steady_load(from, permille, self.now_ms);
        }
        if let Some(wait_ms) = decode_wait_ms(payload) {
            forwarder.record_wait(&self.agents.directory, from, wait_ms, self.now_ms);
        }
        match message.kind {
            MessageKind::Holds => forwarder.record_holder(key, message.host, self.now_ms),
            MessageKind::Declined => {
                let (agents, now_ms) = (&self.agents, self.now_ms);
                let action = forwarder.handle_decline(
                    &agents.directory,
                    &agents.suspicion,
                    &key,
                    from,
                    now_ms,
                );
                self.perform(BALANCER, action.into_iter().collect());
            }
            MessageKind::Absent => forwarder.record_handed_on(&key, from),
            MessageKind::AttemptFailed if self.policy.knows_retries() => {
                let waited_ms = message.waited_ms;
                forwarder.record_failed_attempt(&key, waited_ms, self.now_ms);
            }
            _ => {}
        }
    }

    fn backend_hears(&mut self, at: Ipv4Addr, packet: &[u8]) {
        let segment = (WIRE.decode)(packet).expect("sound");
        let key = segment.flow_from_caller();
        if segment.opens {
            self.backend_says(at, acceptance(&key, ACCEPTED));
        } else if segment.payload_bytes > 0 {
            self.enqueue(at, key.caller.port());
        }
    }

    pub(super) fn backend_says(&mut self, at: Ipv4Addr, packet: Vec<u8>) {
        let actions = self.with_agent(at, |agent, context| {
            agent.handle_backend_packet(context, packet)
        });
        self.perform(at, actions.unwrap_or_default());
    }

    pub(super) fn tick(&mut self) {
        self.at(self.now_ms + TICK_MS, Event::Tick);
        if !self.policy.is_product() {
            return;
        }
        let (directory, now_ms) = (&self.agents.directory, self.now_ms);
        let mut actions = Vec::new();
        for forwarder in &mut self.forwarders {
            actions.extend(forwarder.tick(directory, &mut self.agents.suspicion, now_ms));
        }
        self.perform(BALANCER, actions);
        for index in 1..=self.plan.servers {
            let actions = self.with_agent(host(index), |agent, context| agent.tick(context));
            self.perform(host(index), actions);
        }
    }

    /// Lets balancers hear the loads of all, as they do while nothing else passes.
    pub(super) fn beat(&mut self) {
        self.at(self.now_ms + BEAT_MS, Event::Beat);
        for index in 1..=self.plan.servers {
            let server = &self.servers[usize::from(index) - 1];
            let busy = server.queue.len() + server.running.len();
            self.told[usize::from(index) - 1] = busy as f64 / self.plan.slots as f64;
            let permille = self.with_agent(host(index), |agent, context| {
                agent.expire(context.now_ms);
                agent.load_permille(context)
            });
            // One of many asks few agents for the newest values, and hears the others when it sends to them.
            if let [only] = self.forwarders.as_mut_slice() {
                only.record_message(host(index), permille, self.now_ms);
            }
        }
        for forwarder in &mut self.forwarders {
            forwarder.expire(self.now_ms);
        }
    }

    /// Ends all servers and agents and what they hold; callers of it try again.
    pub(super) fn lose_power(&mut self) {
        self.dark = true;
        self.agents.restart();
        self.forwarders = forwarders(&self.plan);
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            server.lives += 1;
            let mut lost = std::mem::take(&mut server.queue);
            lost.append(&mut server.running);
            for port in lost {
                self.try_again(port);
            }
        }
    }

    pub(super) fn regain_power(&mut self) {
        self.dark = false;
        let cold_ms = self.plan.cold.0;
        self.cold_until_ms = self.now_ms + cold_ms;
        for index in 1..=self.plan.servers {
            let text = text_of(&self.plan, index);
            let text = cold_backend_text(&text, cold_ms as u32);
            let revision = 2_000 + u64::from(index);
            publish(
                &mut self.agents.directory,
                index,
                &text,
                revision,
                self.now_ms,
            );
        }
    }
}
