//! Which openers are retries: what a balancer heard of attempts that failed.
//!
//! An opener does not show how long its caller has waited in earlier attempts. While there is not room for
//! all, a retry that nobody can serve in time any more would take the place of a fresh one: after a loss of power
//! 82.6 % of the openers of an overloaded service are in time with this and 76.6 % without, in the model of
//! `tests/opaque`. See docs/OPAQUE.md, "Where a flow opens".

use std::net::Ipv4Addr;

use crate::opaque::flows::flow_map::FlowMap;
use crate::opaque::packets::segment::FlowKey;

/// How soon after a failed attempt its caller's next opener counts as the retry, in milliseconds. Callers
/// retry a round trip after their opener was refused, and 30 to 110 ms after their flow was reset.
const RETRY_WITHIN_MS: u64 = 125;
/// How long the wait of an opener is remembered for its copies, in milliseconds: callers send the last one
/// after 600 ms, and give up after 1,400 ms.
const COPIES_MS: u64 = 1_400;
/// How many failed attempts, and how many openers, are remembered: some hundred milliseconds of what one
/// balancer can forward at all.
const MAX_REMEMBERED: usize = 4_096;

/// An attempt that failed, whose caller may try again.
#[derive(Debug, Clone, Copy)]
struct Failed {
    caller: Ipv4Addr,
    waited_ms: u64,
    told_ms: u64,
}

/// The wait before the first copy of an opener.
#[derive(Debug, Clone, Copy)]
struct Wait {
    waited_ms: u64,
    seen_ms: u64,
}

/// Attempts that failed a moment ago, in the order in which they did, and the openers taken for their retries.
#[derive(Debug)]
pub(crate) struct RetryTracker {
    failed: Vec<Failed>,
    waits: FlowMap<Wait>,
}

impl RetryTracker {
    pub(crate) fn new() -> Self {
        Self {
            failed: Vec::new(),
            waits: FlowMap::new(MAX_REMEMBERED),
        }
    }

    /// Notes that an attempt of a caller failed after it had waited for so long in all.
    pub(crate) fn record_failure(&mut self, caller: Ipv4Addr, waited_ms: u64, now_ms: u64) {
        self.failed.retain(|failed| failed.is_awaited(now_ms));
        if self.failed.len() < MAX_REMEMBERED {
            self.failed.push(Failed {
                caller,
                waited_ms,
                told_ms: now_ms,
            });
        }
    }

    /// Returns for how long the caller of an opener had waited before its first copy, as far as is known.
    ///
    /// Of several attempts of one address the oldest is taken first: which opener is whose retry can't be
    /// told there, but as many are retries as have failed.
    pub(crate) fn waited_ms(&mut self, flow: &FlowKey, is_copy: bool, now_ms: u64) -> u64 {
        if is_copy || self.waits.get(flow).is_some() {
            return self.waits.get(flow).map_or(0, |wait| wait.waited_ms);
        }
        let caller = *flow.caller.ip();
        let is_his = |failed: &Failed| failed.caller == caller && failed.is_awaited(now_ms);
        let Some(index) = self.failed.iter().position(is_his) else {
            return 0;
        };
        let failed = self.failed.remove(index);
        let waited_ms = failed.waited_ms + now_ms.saturating_sub(failed.told_ms);
        let wait = Wait {
            waited_ms,
            seen_ms: now_ms,
        };
        // Without room for it the copies count as fresh, as they would without this.
        let _ = self.waits.insert(*flow, wait);
        waited_ms
    }

    /// Forgets openers whose callers have given up.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.waits
            .retain(|_, wait| now_ms < wait.seen_ms + COPIES_MS);
    }
}

impl Failed {
    fn is_awaited(&self, now_ms: u64) -> bool {
        // An opener that was kept is judged at the time at which it came.
        self.told_ms <= now_ms && now_ms <= self.told_ms + RETRY_WITHIN_MS
    }
}
