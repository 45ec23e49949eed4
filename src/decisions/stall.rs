//! Whether a backend server stands still: it takes requests and serves none, while its process listens.
//!
//! The load that this answers is one of many flows with a request now and then. Each of them costs its caller a
//! whole timeout once the backend server hangs, one after the other. A wrong verdict ends flows of a backend server
//! that works, so that each doubt speaks against a stall.
//!
//! A refusal for want of room or of time shows that the process lives, not that it works: what hangs fills its
//! queue, and what comes then is refused at once. See docs/design/stalled-servers.md.

/// The shortest silence that counts as a stall, in milliseconds: callers who have time for one attempt wait for
/// less than two seconds, and a process that is merely held up for some hundred answers again by then.
pub const MIN_STALL_SILENCE_MS: u64 = 1_000;
/// How many times the longest recent answer the silence must last: a queue that has just filled makes answers
/// take two or three times as long.
const SILENCE_FACTOR: f64 = 4.0;
/// The time in which the longest answer loses half of its weight, in milliseconds: long against the pauses
/// between two slow answers.
const HALF_LIFE_MS: f64 = 60_000.0;
/// How many answers must have been seen before their times say what is usual.
const MIN_ANSWERS: u32 = 20;
/// The fewest requests, each of a flow of its own, that must wait: two may be slow by chance.
const MIN_WAITING: usize = 3;
/// The part of the silence for which each of these must have waited.
const LONG_PART: f64 = 0.75;
/// The part of the silence after which a further request must have come in: with none, whoever hands them over
/// may be cut off as well as the backend server.
const NEWS_PART: f64 = 0.5;
/// The longest time between two looks at the clock, in milliseconds: a few periods of [`STALL_CHECK_INTERVAL_MS`]. After a longer
/// one the agent itself was paused, and answers may wait to be read.
const MAX_GAP_MS: u64 = 3 * STALL_CHECK_INTERVAL_MS;
/// How often an agent has to look, in milliseconds: well under the shortest silence.
pub const STALL_CHECK_INTERVAL_MS: u64 = 100;
/// How long a request without an answer is remembered, in milliseconds: as long as any caller waits.
const FORGET_MS: u64 = 60_000;
/// How long a request that waits at a backend server which stands still takes the place of a probe, in
/// milliseconds: one that works answers within the least silence.
pub const STALL_PROBE_TIMEOUT_MS: u64 = MIN_STALL_SILENCE_MS;
/// How long a backend server that answers again is filled up slowly, in milliseconds: it has to work off first
/// what it took while it stood still.
pub const RECOVERY_RAMP_MS: u64 = 1_000;

/// A request that the backend server has not begun to answer.
#[derive(Debug)]
struct Waiting<K> {
    flow: K,
    since_ms: u64,
    /// Whether all of it was handed over, as far as that can be told.
    is_whole: bool,
}

/// What shows a stall, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stall {
    /// For how long nothing was served, in milliseconds.
    pub silent_ms: u64,
    /// How many requests have waited for nearly as long.
    pub waiting: usize,
}

/// The requests at one backend server and the times of its answers, by flows that are named by `K`.
#[derive(Debug)]
pub struct StallDetector<K> {
    /// Sorted by flow; each has one.
    waiting: Vec<Waiting<K>>,
    slowest_ms: f64,
    slowest_at_ms: u64,
    answers: u32,
    /// When the backend server last served something, or the measurement began anew.
    measured_from_ms: u64,
    looked_ms: u64,
    newest_ms: u64,
    stalled_since_ms: Option<u64>,
    recovered_ms: Option<u64>,
}

impl<K: Copy + Ord> StallDetector<K> {
    /// Makes a watch of a backend server of which nothing is known.
    pub fn new() -> Self {
        Self {
            waiting: Vec::new(),
            slowest_ms: 0.0,
            slowest_at_ms: 0,
            answers: 0,
            measured_from_ms: 0,
            looked_ms: 0,
            newest_ms: 0,
            stalled_since_ms: None,
            recovered_ms: None,
        }
    }

    /// Notes data of a request that was handed over; `is_whole` where it may be all of it.
    ///
    /// A request of several packets may still be under way, so that it shows nothing; its answer does.
    pub fn record_request(&mut self, flow: K, is_whole: bool, now_ms: u64) {
        self.look_at_clock(now_ms);
        self.newest_ms = now_ms;
        match self.position(flow) {
            Ok(index) => {
                self.waiting[index].since_ms = now_ms;
                self.waiting[index].is_whole = false;
            }
            Err(index) => {
                let waiting = Waiting {
                    flow,
                    since_ms: now_ms,
                    is_whole,
                };
                self.waiting.insert(index, waiting);
            }
        }
    }

    /// Notes that a request came in which waits for room before it is handed over.
    ///
    /// It shows that whoever hands requests over is not cut off, and nothing of the backend server.
    pub fn record_arrival(&mut self, now_ms: u64) {
        self.look_at_clock(now_ms);
        self.newest_ms = now_ms;
    }

    /// Notes that a request no longer waits: it was refused or failed, or its caller gave it up.
    pub fn remove_request(&mut self, flow: K) {
        if let Ok(index) = self.position(flow) {
            self.waiting.remove(index);
        }
    }

    /// Notes an answer on a flow, or a part of one, which the backend server had to work for.
    ///
    /// Returns for how long it had stood still, in milliseconds, if it did.
    pub fn record_answer(&mut self, flow: K, now_ms: u64) -> Option<u64> {
        self.look_at_clock(now_ms);
        if let Ok(index) = self.position(flow) {
            let request = self.waiting.remove(index);
            self.learn(request.since_ms, now_ms);
        }
        self.measured_from_ms = now_ms;
        let since_ms = self.stalled_since_ms.take()?;
        self.recovered_ms = Some(now_ms);
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Forgets everything: another process answers from now on.
    pub fn reset(&mut self) {
        *self = Self {
            looked_ms: self.looked_ms,
            measured_from_ms: self.looked_ms,
            ..Self::new()
        };
    }

    /// Looks whether the backend server stands still, and says so once; to be called each [`STALL_CHECK_INTERVAL_MS`].
    pub fn check(&mut self, slots: u32, now_ms: u64) -> Option<Stall> {
        self.look_at_clock(now_ms);
        self.waiting
            .retain(|request| now_ms < request.since_ms + FORGET_MS);
        if self.stalled_since_ms.is_some() || self.answers < MIN_ANSWERS {
            return None;
        }
        let silence_ms = self.silence_ms(now_ms);
        let part_ms = |part: f64| (part * silence_ms as f64) as u64;
        // What waited before the last answer was passed over by it, and may be lost or slow by itself.
        let unanswered = self
            .waiting
            .iter()
            .filter(|request| request.is_whole && request.since_ms > self.measured_from_ms);
        let since_ms = unanswered.clone().map(|request| request.since_ms).min()?;
        let is_long = |request: &&Waiting<K>| now_ms >= request.since_ms + part_ms(LONG_PART);
        let stall = Stall {
            silent_ms: now_ms.saturating_sub(since_ms),
            waiting: unanswered.filter(is_long).count(),
        };
        let has_news = self.newest_ms >= since_ms + part_ms(NEWS_PART);
        let needed = MIN_WAITING.max(slots as usize);
        let is_stalled = stall.silent_ms >= silence_ms && stall.waiting >= needed && has_news;
        if !is_stalled {
            return None;
        }
        self.stalled_since_ms = Some(since_ms);
        Some(stall)
    }

    /// Tells whether the backend server stood still at the last look and has served nothing since.
    ///
    /// A look that is overdue says nothing: whoever should look may have been paused.
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        self.stalled_since_ms.is_some() && now_ms <= self.looked_ms + MAX_GAP_MS
    }

    /// Tells whether a backend server that stands still may be tried with a request.
    ///
    /// Its answer shows that it works again, and so does that of any other one that waits there: each costs its
    /// caller a timeout, and one at a time shows as much as many.
    pub fn may_probe(&self, now_ms: u64) -> bool {
        let waits = |request: &Waiting<K>| now_ms < request.since_ms + STALL_PROBE_TIMEOUT_MS;
        !self.waiting.iter().any(waits)
    }

    /// Returns how many requests a backend server may have that has just come back, of those that it could have.
    ///
    /// Its room grows evenly, so that a second stall costs few callers.
    pub fn ramped_limit(&self, limit: f64, now_ms: u64) -> f64 {
        let Some(recovered_ms) = self.recovered_ms else {
            return limit;
        };
        let passed_ms = now_ms.saturating_sub(recovered_ms).min(RECOVERY_RAMP_MS);
        (limit * passed_ms as f64 / RECOVERY_RAMP_MS as f64).max(limit.min(1.0))
    }

    fn position(&self, flow: K) -> Result<usize, usize> {
        self.waiting
            .binary_search_by_key(&flow, |request| request.flow)
    }

    /// Begins the measurement anew if the clock jumped since the last look.
    fn look_at_clock(&mut self, now_ms: u64) {
        if now_ms > self.looked_ms + MAX_GAP_MS {
            self.measured_from_ms = now_ms;
            self.stalled_since_ms = None;
        }
        self.looked_ms = self.looked_ms.max(now_ms);
    }

    /// Notes how long an answer took, unless the backend server stood still meanwhile, which is not usual.
    fn learn(&mut self, since_ms: u64, now_ms: u64) {
        let outlived_stall = self.recovered_ms.is_some_and(|end_ms| since_ms < end_ms);
        if self.stalled_since_ms.is_some() || outlived_stall {
            return;
        }
        let took_ms = now_ms.saturating_sub(since_ms) as f64;
        self.slowest_ms = self.decayed_ms(now_ms).max(took_ms);
        self.slowest_at_ms = now_ms;
        self.answers = self.answers.saturating_add(1);
    }

    fn decayed_ms(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.slowest_at_ms) as f64;
        self.slowest_ms * (-passed_ms / HALF_LIFE_MS).exp2()
    }

    /// Returns the silence that counts as a stall.
    fn silence_ms(&self, now_ms: u64) -> u64 {
        let learnt_ms = (SILENCE_FACTOR * self.decayed_ms(now_ms)) as u64;
        learnt_ms.max(MIN_STALL_SILENCE_MS)
    }
}

impl<K: Copy + Ord> Default for StallDetector<K> {
    fn default() -> Self {
        Self::new()
    }
}
