//! Writes log lines to standard output without ever waiting for who reads them.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use prometheus_client::metrics::counter::Counter;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::process::clock::wall_ms;
use crate::process::log_budget::{LogBudget, format_dropped_count};

/// The longest line, in bytes: a pipe that says it is writable takes this much without blocking
/// (`PIPE_BUF` of Linux).
const MAX_LINE_BYTES: usize = 4_096;

/// Standard output with a budget of lines.
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

    /// Writes a line, or counts it as dropped where it is over the budget or the reader is stalled.
    pub(crate) fn write(&self, record: &log::Record<'_>) {
        let now_ms = self.start.elapsed().as_millis() as u64;
        let urgent = record.level() <= log::Level::Warn;
        // A panic while another line was written leaves the budget as sound as before.
        let mut budget = self
            .budget
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if !budget.try_take(urgent, now_ms) {
            self.dropped.inc();
            return;
        }
        let dropped = budget.take_dropped(now_ms);
        let mut line = String::new();
        if dropped > 0 {
            line = format_dropped_count(dropped, wall_ms()) + "\n";
        }
        line.push_str(&record.args().to_string());
        if !write_now(line) {
            self.dropped.inc_by(dropped + 1);
            budget.record_lost_line();
        }
    }
}

/// Writes a line if that does not block; says whether it did.
fn write_now(mut line: String) -> bool {
    let mut end = line.len().min(MAX_LINE_BYTES - 1);
    while !line.is_char_boundary(end) {
        end -= 1;
    }
    line.truncate(end);
    line.push('\n');
    let output = std::io::stdout();
    let mut writable = [PollFd::new(&output, PollFlags::OUT)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let ready = matches!(poll(&mut writable, Some(&now)), Ok(1..))
        && writable[0].revents().contains(PollFlags::OUT);
    ready && output.lock().write_all(line.as_bytes()).is_ok()
}
