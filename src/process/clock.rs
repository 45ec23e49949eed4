//! The clocks of the process. Other code gets the time as an argument instead of reading a clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const INCARNATION_TICK_MS: u128 = 64;

/// A monotonic clock that counts milliseconds since the start of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Returns the incarnation number of a process that starts now.
///
/// It counts ticks of the wall clock in 32 bits, so that a later start gets a higher number, except
/// across a wrap of the counter, which happens every 8.7 years.
pub(crate) fn incarnation() -> u32 {
    (duration_since_epoch().as_millis() / INCARNATION_TICK_MS) as u32
}

/// Returns the Unix time in milliseconds, by which log lines of several processes are sorted.
pub(crate) fn unix_time_ms() -> u64 {
    duration_since_epoch().as_millis() as u64
}

fn duration_since_epoch() -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or(Duration::ZERO)
}
