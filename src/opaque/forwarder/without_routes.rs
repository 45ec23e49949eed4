//! Packets that reach a balancer before it has a configuration.

use crate::code::Code;
use crate::decisions::early_packets::EarlyPacket;
use crate::decisions::suspicion::Suspicion;
use crate::error::{Error, Result};
use crate::opaque::finding::flow_search::FlowSearch;
use crate::opaque::forwarder::Forwarder;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::values::directory::Directory;

impl Forwarder {
    /// Decides about a caller's packet while no configuration is known: what opens nothing is shown to agents
    /// until one of them holds its flow, and what opens a flow waits for a configuration.
    ///
    /// # Errors
    ///
    /// Returns the code for which the packet goes no further now.
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
            let is_kept = self.early.keep(flow, Some(copy), packet.to_vec(), now_ms);
            log::info!("event=opener_waits flow={flow} copy={copy} kept={is_kept}");
            return Err(Error::new(Code::RouteUnknown, flow.called.to_string()));
        }
        if let Some(hint) = self.hints.get_mut(&flow) {
            hint.seen_ms = now_ms;
            let host = hint.host;
            return Ok(vec![self.deliver(host, packet.to_vec(), 0)]);
        }
        if segment.payload_bytes > 0 {
            self.early.keep(flow, None, packet.to_vec(), now_ms);
        }
        let find = Message::new(MessageKind::Find);
        let agents = search.next_agents(&flow, now_ms);
        self.metrics.packets_shown.inc_by(agents.len() as u64);
        let agents = agents.into_iter();
        let shown = agents.map(|host| Action::ToPeer(host, find, packet.to_vec()));
        Ok(shown.collect())
    }

    /// Forwards what came before a configuration, once one is in force.
    ///
    /// Only for callers who have time for one attempt; the others send copies.
    pub fn routes_known(
        &mut self,
        directory: &Directory,
        suspicion: &Suspicion,
        now_ms: u64,
    ) -> Vec<Action> {
        let early = self.early.take(now_ms);
        let count = early.len();
        let forward = |packet| self.forward_early(directory, suspicion, packet, now_ms);
        let actions: Vec<Action> = early.into_iter().filter_map(forward).collect();
        if count > 0 {
            log::info!(
                "event=early_packets kept={count} forwarded={}",
                actions.len()
            );
        }
        actions
    }

    fn forward_early(
        &mut self,
        directory: &Directory,
        suspicion: &Suspicion,
        early: EarlyPacket<Vec<u8>>,
        now_ms: u64,
    ) -> Option<Action> {
        let EarlyPacket { packet, kept_ms } = early;
        let segment = (self.wire.decode)(&packet).ok()?;
        let flow = segment.flow_from_caller();
        directory.routes().get(flow.called)?;
        directory.deadline(flow.called)?;
        if segment.opens {
            let offer = self.offer(directory, suspicion, &segment, packet, kept_ms, now_ms);
            return offer.ok();
        }
        if self.hints.get(&flow).is_some() {
            // Who was shown it holds its flow.
            return None;
        }
        let host = self.packet_host(directory, suspicion, &flow, now_ms);
        Some(self.deliver(host.ok()?, packet, 0))
    }
}
