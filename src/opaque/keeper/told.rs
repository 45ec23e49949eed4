//! What an agent tells balancers of its own accord.

use std::net::Ipv4Addr;

use crate::opaque::keeper::{Keeper, Scene};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::FlowKey;

impl Keeper {
    /// Tells balancers that a caller's attempt failed after it waited for so long.
    ///
    /// Its retry may come through any of them.
    pub(super) fn tell_attempt_failed(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        waited_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let mut message = Message::new(MessageKind::AttemptFailed);
        message.waited_ms = u16::try_from(waited_ms).unwrap_or(u16::MAX);
        let name = key.to_bytes().to_vec();
        let told = self.balancers.active(scene.now_ms);
        actions.extend(told.map(|host| Action::ToPeer(host, message, name.clone())));
    }

    /// Greets balancers that have gone quiet, the seeds among them, which may have been started anew and hold nothing.
    pub fn greet(&mut self, scene: &Scene<'_>, seeds: &[Ipv4Addr]) -> Vec<Action> {
        let agents = scene.directory.current_hosts();
        let own = self.identity.host;
        let quiet = self
            .balancers
            .balancers_to_greet(own, agents, seeds, scene.now_ms);
        let greeting = Message::new(MessageKind::Greeting);
        let greetings = quiet.into_iter();
        greetings
            .map(|host| Action::ToPeer(host, greeting, Vec::new()))
            .collect()
    }
}
