//! The one place that reads clocks; everything else is told the time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const INCARNATION_TICK_MS: u128 = 64;

/// Milliseconds since the process started, from a clock that never goes back.
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

/// Returns a number for this start of the process: later starts have higher ones.
///
/// It counts ticks of the wall clock and wraps after eight years, which no process reaches.
pub(crate) fn incarnation() -> u32 {
    (since_epoch().as_millis() / INCARNATION_TICK_MS) as u32
}

/// Returns the time of the wall clock in milliseconds, by which lines of several processes are put in order.
pub(crate) fn wall_ms() -> u64 {
    since_epoch().as_millis() as u64
}

fn since_epoch() -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or(Duration::ZERO)
}
