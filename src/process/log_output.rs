//! Writes log lines to standard output and never blocks if the reader is slow.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use prometheus_client::metrics::counter::Counter;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::process::clock::unix_time_ms;
use crate::process::log_budget::{LogBudget, format_dropped_count};

/// The longest line, the rest is cut off: a pipe that polls as writable takes this much without blocking
/// (`PIPE_BUF` on Linux).
const MAX_LINE_BYTES: usize = 4_096;

/// Standard output with a budget for log lines.
pub(crate) struct LogOutput {
    start: Instant,
    budget: Mutex<LogBudget>,
    dropped: Counter,
}

impl LogOutput {
    pub(crate) fn new(dropped: &Counter) -> Self {
        Self {
            start: Instant::now(),
            budget: Mutex::new(LogBudget::new(0)),
            dropped: dropped.clone(),
        }
    }

    /// Writes a line, or counts it as dropped if it is over the budget or the reader is stalled.
    pub(crate) fn write(&self, record: &log::Record<'_>) {
        let now_ms = self.start.elapsed().as_millis() as u64;
        let is_urgent = record.level() <= log::Level::Warn;
        // A panic during another write leaves the budget valid, so a poisoned lock is still usable.
        let mut budget = self
            .budget
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if !budget.try_take(is_urgent, now_ms) {
            self.dropped.inc();
            return;
        }
        let dropped = budget.take_dropped(now_ms);
        let mut line = String::new();
        if dropped > 0 {
            line = format_dropped_count(dropped, unix_time_ms()) + "\n";
        }
        line.push_str(&record.args().to_string());
        if !try_write(line) {
            self.dropped.inc_by(dropped + 1);
            budget.record_lost_line();
        }
    }
}

/// Writes a line if standard output is writable now, and returns whether it was written.
fn try_write(mut line: String) -> bool {
    let mut end = line.len().min(MAX_LINE_BYTES - 1);
    while !line.is_char_boundary(end) {
        end -= 1;
    }
    line.truncate(end);
    line.push('\n');
    let output = std::io::stdout();
    let mut writable = [PollFd::new(&output, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let is_writable = matches!(poll(&mut writable, Some(&no_wait)), Ok(1..))
        && writable[0].revents().contains(PollFlags::OUT);
    is_writable && output.lock().write_all(line.as_bytes()).is_ok()
}
