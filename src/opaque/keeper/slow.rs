//! What an agent does while its backend server works slower than usual.
//!
//! See docs/design/slow-servers.md.

use crate::decisions::slow_server;
use crate::opaque::keeper::{Keeper, Scene};
use crate::opaque::packets::message::{Message, MessageKind};

impl Keeper {
    /// Returns by how much longer than usual an opener should take the way here to be, in milliseconds.
    pub(super) fn extra_ms(&self, scene: &Scene<'_>) -> u64 {
        let slower = self.pace_watch.slower(scene.now_ms);
        let service_ms = self.slot_time.service_ms();
        slower.map_or(0, |slower| slow_server::extra_ms(service_ms, slower) as u64)
    }

    /// Tells whether an opener that is offered would be answered sooner elsewhere, though a slot is free here.
    pub(super) fn is_slow_for(&mut self, scene: &Scene<'_>, message: &Message) -> bool {
        message.kind == MessageKind::Offer
            && self.extra_ms(scene) > 0
            && !self.is_wait_taken(scene, message)
    }

    /// Writes when the backend server becomes slow and when it works as usual again.
    pub(super) fn log_pace(&mut self, scene: &Scene<'_>) {
        let slower = self.pace_watch.slower(scene.now_ms);
        let was_slow = std::mem::replace(&mut self.is_slow, slower.is_some());
        match slower {
            Some(slower) if !was_slow => log::warn!(
                "event=backend_slow slower={slower:.1} service_ms={:.1} busy={} waiting={} open={} revision={}",
                self.slot_time.service_ms(),
                self.flows.busy(),
                self.waiting.len(),
                self.flows.open(),
                scene.revision
            ),
            None if was_slow => log::warn!(
                "event=backend_usual service_ms={:.1} busy={} open={}",
                self.slot_time.service_ms(),
                self.flows.busy(),
                self.flows.open()
            ),
            _ => {}
        }
    }
}
