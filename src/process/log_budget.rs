//! How many log lines a process writes: many in a moment, few for long.

/// Lines that may be written at once: a restart of a large backend server with all its flows.
const BURST_LINES: u64 = 400;
/// Lines written each second for long: at about 150 bytes a line some kilobytes, which costs under a
/// thousandth of a core.
const LINES_PER_S: u64 = 40;
/// Warnings and errors that may be written beyond the budget of the others.
const RESERVED_LINES: u64 = 100;

const MS_PER_S: u64 = 1_000;

/// A budget that fills with time and is spent by lines.
#[derive(Debug)]
pub struct LogBudget {
    millilines: u64,
    filled_ms: u64,
    dropped: u64,
    told_ms: u64,
}

impl LogBudget {
    /// Makes a full budget.
    pub fn new(now_ms: u64) -> Self {
        Self {
            millilines: (BURST_LINES + RESERVED_LINES) * MS_PER_S,
            filled_ms: now_ms,
            dropped: 0,
            told_ms: now_ms,
        }
    }

    /// Takes the price of one line; says whether it may be written.
    pub fn try_take(&mut self, urgent: bool, now_ms: u64) -> bool {
        let passed_ms = now_ms.saturating_sub(self.filled_ms);
        let full = (BURST_LINES + RESERVED_LINES) * MS_PER_S;
        self.millilines = full.min(self.millilines + passed_ms * LINES_PER_S);
        self.filled_ms = self.filled_ms.max(now_ms);
        let kept = if urgent { 0 } else { RESERVED_LINES * MS_PER_S };
        if self.millilines < kept + MS_PER_S {
            self.dropped += 1;
            return false;
        }
        self.millilines -= MS_PER_S;
        true
    }

    /// Counts a line that nobody read in time.
    pub fn record_lost_line(&mut self) {
        self.dropped += 1;
    }

    /// Returns how many lines were dropped since they were last told, once a second.
    pub fn take_dropped(&mut self, now_ms: u64) -> u64 {
        if now_ms < self.told_ms + MS_PER_S {
            return 0;
        }
        self.told_ms = now_ms;
        std::mem::take(&mut self.dropped)
    }
}

/// Returns the line that tells how many were dropped, with the keys of all lines, by which `endivedyke explain`
/// finds it.
pub fn format_dropped_count(count: u64, time_ms: u64) -> String {
    format!("time_ms={time_ms} level=INFO part=log_output event=lines_dropped count={count}")
}
