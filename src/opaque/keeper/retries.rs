//! Who is told that an attempt of a caller failed, so that its retry is known as one.

use std::net::Ipv4Addr;

use crate::opaque::action::Action;
use crate::opaque::keeper::{Keeper, Scene};
use crate::opaque::message::{Message, MessageKind};
use crate::opaque::segment::FlowKey;

/// For how long a balancer that forwarded something counts as one that a retry may come through, in
/// milliseconds: twice the time in which the platform notices that one is gone.
const HEARD_MS: u64 = 2_000;
/// The most balancers that are told: those of a site of some hundred hosts. What is told costs the sender a
/// hundredth of a millisecond each, at the moment when it has the least time.
const MAX_TOLD: usize = 32;

/// The balancers that forwarded something lately, sorted by host.
#[derive(Debug, Default)]
pub(super) struct KnownBalancers {
    heard: Vec<(Ipv4Addr, u64)>,
}

impl KnownBalancers {
    pub(super) fn heard(&mut self, host: Ipv4Addr, now_ms: u64) {
        match self.heard.binary_search_by_key(&host, |(host, _)| *host) {
            Ok(index) => self.heard[index].1 = now_ms,
            Err(index) => {
                self.heard.insert(index, (host, now_ms));
                self.heard
                    .retain(|(_, heard_ms)| is_recent(*heard_ms, now_ms));
                self.heard.truncate(MAX_TOLD);
            }
        }
    }

    fn recent(&self, now_ms: u64) -> impl Iterator<Item = Ipv4Addr> {
        let recent = self.heard.iter();
        let recent = recent.filter(move |(_, heard_ms)| is_recent(*heard_ms, now_ms));
        recent.map(|(host, _)| *host)
    }
}

fn is_recent(heard_ms: u64, now_ms: u64) -> bool {
    now_ms < heard_ms + HEARD_MS
}

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
        let told = self.balancers.recent(scene.now_ms);
        actions.extend(told.map(|host| Action::ToPeer(host, message, name.clone())));
    }
}
