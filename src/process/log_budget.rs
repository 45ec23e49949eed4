//! A rate limit for log lines: a token bucket that allows bursts and a low steady rate.

/// The burst that is allowed: the lines about all flows of a large backend server that restarts.
const BURST_LINES: u64 = 400;
/// The steady rate: a few kilobytes a second at about 150 bytes a line, which costs less than a thousandth of
/// a core.
const LINES_PER_S: u64 = 40;
/// The part of the bucket that is reserved for warnings and errors.
const RESERVED_LINES: u64 = 100;

const MS_PER_S: u64 = 1_000;

/// A token bucket with one token for each line; it counts the lines that were dropped.
#[derive(Debug)]
pub struct LogBudget {
    millitokens: u64,
    refilled_ms: u64,
    dropped: u64,
    reported_ms: u64,
}

impl LogBudget {
    /// Creates a full bucket.
    pub fn new(now_ms: u64) -> Self {
        Self {
            millitokens: (BURST_LINES + RESERVED_LINES) * MS_PER_S,
            refilled_ms: now_ms,
            dropped: 0,
            reported_ms: now_ms,
        }
    }

    /// Takes a token and returns whether the line may be written; counts it as dropped otherwise.
    ///
    /// Only urgent lines (warnings and errors) may use the reserved part.
    pub fn try_take(&mut self, is_urgent: bool, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let capacity_millitokens = (BURST_LINES + RESERVED_LINES) * MS_PER_S;
        self.millitokens = capacity_millitokens.min(self.millitokens + elapsed_ms * LINES_PER_S);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let reserved_millitokens = if is_urgent {
            0
        } else {
            RESERVED_LINES * MS_PER_S
        };
        if self.millitokens < reserved_millitokens + MS_PER_S {
            self.dropped += 1;
            return false;
        }
        self.millitokens -= MS_PER_S;
        true
    }

    /// Counts a line that was in the budget but could not be written, as the reader was stalled.
    pub fn record_lost_line(&mut self) {
        self.dropped += 1;
    }

    /// Returns the number of lines dropped since the last report, or 0 if that was less than a second ago.
    pub fn take_dropped(&mut self, now_ms: u64) -> u64 {
        if now_ms < self.reported_ms + MS_PER_S {
            return 0;
        }
        self.reported_ms = now_ms;
        std::mem::take(&mut self.dropped)
    }
}

/// Formats the log line that reports dropped lines. It has the keys of every log line, so that
/// `endivedyke explain` finds it.
pub fn format_dropped_count(count: u64, time_ms: u64) -> String {
    format!("time_ms={time_ms} level=INFO part=log_output event=lines_dropped count={count}")
}
