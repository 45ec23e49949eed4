//! Packets that arrive at a balancer before it has a configuration.

use crate::code::Code;
use crate::decisions::suspicion::Suspicion;
use crate::error::{Error, Result};
use crate::opaque::flows::flow_search::FlowSearch;
use crate::opaque::forwarder::Forwarder;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::values::directory::Directory;

impl Forwarder {
    /// Returns the actions for a caller's packet while the balancer has no configuration.
    ///
    /// A packet of an open flow is shown to agents until one of them holds the flow. An opener is kept
    /// until a configuration is in force.
    ///
    /// # Errors
    ///
    /// Returns the code that says why the packet is not forwarded now.
    pub fn handle_without_routes(
        &mut self,
        search: &mut FlowSearch,
        packet: &[u8],
        now_ms: u64,
    ) -> Result<Vec<Action>> {
        let segment = (self.wire.decode)(packet)?;
        let flow = segment.flow_from_caller();
        if segment.opens {
            let copy = segment.acknowledgement;
            let is_kept = self
                .early_openers
                .insert(flow, copy, packet.to_vec(), now_ms);
            log::info!("event=opener_waits flow={flow} copy={copy} kept={is_kept}");
            return Err(Error::new(Code::RouteUnknown, flow.called.to_string()));
        }
        if let Some(hint) = self.hints.get_mut(&flow) {
            hint.last_seen_ms = now_ms;
            let host = hint.host;
            return Ok(vec![self.delivery(host, packet.to_vec(), 0)]);
        }
        let find = Message::new(MessageKind::Find);
        let agents = search.next_agents(&flow, now_ms);
        self.metrics.packets_shown.inc_by(agents.len() as u64);
        self.metrics.agents_heard.set(search.agent_count() as i64);
        let agents = agents.into_iter();
        let shown = agents.map(|host| Action::ToPeer(host, find, packet.to_vec()));
        Ok(shown.collect())
    }

    /// Offers the openers that arrived before the configuration that is now in force.
    ///
    /// Only openers of routes with a deadline are offered. Callers of other routes send more copies.
    pub fn offer_early_openers(
        &mut self,
        directory: &Directory,
        suspicion: &Suspicion,
        now_ms: u64,
    ) -> Vec<Action> {
        let decode = self.wire.decode;
        let can_be_offered = |packet: &Vec<u8>| {
            decode(packet).is_ok_and(|segment| {
                let called = segment.destination;
                directory.routes().get(called).is_some() && directory.has_deadline(called)
            })
        };
        let early = self.early_openers.take_if(now_ms, can_be_offered);
        let count = early.len();
        let mut actions = Vec::new();
        for opener in early {
            let Ok(segment) = decode(&opener.packet) else {
                continue;
            };
            let (packet, kept_ms) = (opener.packet, opener.kept_ms);
            let offer = self.offer(directory, suspicion, &segment, packet, kept_ms, now_ms);
            actions.extend(offer.ok());
        }
        if count > 0 {
            log::info!("event=early_openers awaited={count} sent={}", actions.len());
        }
        actions
    }
}
