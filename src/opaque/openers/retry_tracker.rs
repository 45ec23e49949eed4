//! Recognition of openers that are retries, by the failed attempts that agents report to a balancer.
//!
//! An opener does not show how long its caller has waited in earlier attempts. Under overload, a retry
//! that can no longer be served in time would take the place of a fresh opener. After a loss of power,
//! 82.6 % of the openers of an overloaded service are in time with this tracker and 76.6 % without it,
//! in the model of `tests/opaque`. See docs/OPAQUE.md, "Where a flow opens".

use std::net::Ipv4Addr;

use crate::opaque::flows::flow_map::FlowMap;
use crate::opaque::packets::segment::FlowKey;

/// Timeout for the retry of a failed attempt, in milliseconds. The caller's next opener within this
/// time is treated as the retry. Callers retry one round trip after their opener was refused, and
/// 30 to 110 ms after their flow was reset.
const RETRY_TIMEOUT_MS: u64 = 125;
/// How long the wait of an opener is kept for its copies, in milliseconds. Callers send the last copy
/// after 600 ms, and give up after 1,400 ms.
const COPIES_TIMEOUT_MS: u64 = 1_400;
/// The most failed attempts, and the most openers, that are kept: a few hundred milliseconds of the
/// traffic that one balancer can forward.
const MAX_ENTRIES: usize = 4_096;

/// A failed attempt whose caller may retry.
#[derive(Debug, Clone, Copy)]
struct FailedAttempt {
    caller: Ipv4Addr,
    waited_ms: u64,
    reported_ms: u64,
}

/// How long the caller of an opener had waited before the first copy.
#[derive(Debug, Clone, Copy)]
struct KnownWait {
    waited_ms: u64,
    seen_ms: u64,
}

/// The recent failed attempts, in order of time, and the openers that are treated as their retries.
#[derive(Debug)]
pub(crate) struct RetryTracker {
    failed_attempts: Vec<FailedAttempt>,
    waits: FlowMap<KnownWait>,
}

impl RetryTracker {
    pub(crate) fn new() -> Self {
        Self {
            failed_attempts: Vec::new(),
            waits: FlowMap::new(MAX_ENTRIES),
        }
    }

    /// Records that an attempt failed, after its caller had waited for `waited_ms` in all attempts
    /// so far.
    pub(crate) fn record_failure(&mut self, caller: Ipv4Addr, waited_ms: u64, now_ms: u64) {
        self.failed_attempts
            .retain(|failed| failed.awaits_retry(now_ms));
        if self.failed_attempts.len() < MAX_ENTRIES {
            self.failed_attempts.push(FailedAttempt {
                caller,
                waited_ms,
                reported_ms: now_ms,
            });
        }
    }

    /// Returns how long the caller of an opener had waited before its first copy, as far as known, in
    /// milliseconds.
    ///
    /// If several attempts from one address failed, the oldest is used first. Which opener retries which
    /// attempt is unknown then, but as many openers are retries as attempts have failed.
    pub(crate) fn waited_ms(&mut self, flow: &FlowKey, is_copy: bool, now_ms: u64) -> u64 {
        if is_copy || self.waits.get(flow).is_some() {
            return self.waits.get(flow).map_or(0, |wait| wait.waited_ms);
        }
        let caller = *flow.caller.ip();
        let may_retry =
            |failed: &FailedAttempt| failed.caller == caller && failed.awaits_retry(now_ms);
        let Some(index) = self.failed_attempts.iter().position(may_retry) else {
            return 0;
        };
        let failed = self.failed_attempts.remove(index);
        let waited_ms = failed.waited_ms + now_ms.saturating_sub(failed.reported_ms);
        let wait = KnownWait {
            waited_ms,
            seen_ms: now_ms,
        };
        // If the map is full, the copies count as fresh openers.
        let _ = self.waits.insert(*flow, wait);
        waited_ms
    }

    /// Removes openers whose callers have given up.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.waits
            .retain(|_, wait| now_ms < wait.seen_ms + COPIES_TIMEOUT_MS);
    }
}

impl FailedAttempt {
    fn awaits_retry(&self, now_ms: u64) -> bool {
        // For an opener that the balancer buffered, `now_ms` is its time of arrival.
        self.reported_ms <= now_ms && now_ms <= self.reported_ms + RETRY_TIMEOUT_MS
    }
}
