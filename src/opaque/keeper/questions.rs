//! Questions who holds a flow: asked, answered, and judged.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::opaque::flows::flow::{Flow, FlowState, PacketSource};
use crate::opaque::flows::lookup::{FIRST_QUERIED, LookupOutcome, LookupPacket};
use crate::opaque::keeper::{Keeper, Scene, say_holds, tell};
use crate::opaque::openers::opener_order::likely_holders;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::{FlowKey, Segment};

impl Keeper {
    /// Asks all other agents who holds a flow.
    pub(super) fn look_up(
        &mut self,
        scene: &Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        balancer: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        if segment.resets {
            return;
        }
        let own = self.identity.host;
        let likely = || likely_holders(scene, own, &segment.flow_from_caller(), FIRST_QUERIED);
        let question = LookupPacket {
            segment,
            packet,
            balancer,
        };
        let asked = self
            .lookups
            .start(scene.directory, own, likely, &question, scene.now_ms);
        for host in asked {
            let message = Message::new(MessageKind::Find);
            actions.push(Action::ToPeer(host, message, packet.to_vec()));
        }
        self.conclude(scene, &segment.flow_from_caller(), actions);
    }

    /// Answers whether a flow is held here, and delivers its packet if so.
    pub(super) fn find(
        &mut self,
        scene: &Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        asker: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        if self.deliver_held(scene, segment, packet, actions) {
            tell(MessageKind::Found, &key, asker, actions);
            return;
        }
        if self.flows.get(&key).is_none() && !self.knows_all && self.backend_up {
            self.try_backend(
                scene,
                segment,
                packet,
                PacketSource::AskingAgent(asker),
                actions,
            );
        } else {
            tell(MessageKind::Absent, &key, asker, actions);
        }
    }

    /// Takes the answer of the agent that holds a flow.
    pub(super) fn found(
        &mut self,
        scene: &Scene<'_>,
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
        say_holds(&key, lookup.balancer, from, actions);
        let flow = Flow::new(FlowState::Elsewhere(from), scene.now_ms);
        self.remember(key, flow, scene.now_ms);
    }

    /// Ends a flow of which it is proved that nobody holds it.
    pub(super) fn conclude(&mut self, scene: &Scene<'_>, key: &FlowKey, actions: &mut Vec<Action>) {
        if !scene.settled {
            return;
        }
        let verdict = self.lookups.outcome(key, scene.directory, scene.revision);
        if let LookupOutcome::NotHeld { acknowledgement } = verdict {
            let waited_ms = self.lookups.age_ms(key, scene.now_ms);
            self.end_gone(scene, key, acknowledgement, waited_ms, actions);
        }
    }

    /// Ends a flow that nobody holds, whose caller has waited for so long since that was first asked.
    pub(super) fn end_gone(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        acknowledgement: u32,
        waited_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        self.lookups.cancel(key);
        let route = scene.directory.routes().get(key.called);
        if route.is_some_and(|route| route.repeatable) {
            self.tell_attempt_failed(scene, key, waited_ms, actions);
        }
        self.reset(key, acknowledgement, Code::FlowGone, actions);
    }
}
