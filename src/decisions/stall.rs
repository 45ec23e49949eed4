//! Detection of stalled backend servers: they accept requests and answer none, while their process
//! still listens.
//!
//! Load pattern: many flows with an occasional request each. Once the backend server hangs, each of
//! these requests in turn costs its caller a whole timeout. A false detection ends flows of a
//! working backend server, so that in any doubt the server is not regarded as stalled.
//!
//! A refusal because a queue is full or a deadline has passed shows that the process runs, not that
//! it works: the queue of a hung server fills, and further requests are refused at once. See
//! docs/design/stalled-servers.md.

/// The shortest silence that is a stall, in milliseconds: callers with time for a single attempt
/// wait for less than two seconds, and a process that is merely delayed for a few hundred
/// milliseconds answers again by then.
pub const MIN_STALL_SILENCE_MS: u64 = 1_000;
/// How many times the slowest recent answer the silence must last: answers take two or three times
/// as long when a queue has just filled.
const SILENCE_FACTOR: f64 = 4.0;
/// The half-life of the slowest answer, in milliseconds: much longer than the time between two slow
/// answers.
const SLOWEST_HALF_LIFE_MS: f64 = 60_000.0;
/// The minimum number of measured answers before a stall can be detected. With fewer, the slowest
/// one is not representative.
const MIN_ANSWERS: u32 = 20;
/// The minimum number of waiting requests, each of a different flow: two may be slow by chance.
const MIN_WAITING: usize = 3;
/// The fraction of the silence for which each of these requests must have waited.
const MIN_WAIT_FRACTION: f64 = 0.75;
/// The fraction of the silence after which a further request must have arrived. Without one, the
/// sender of the requests may be cut off, and the silence does not prove a stall.
const ARRIVAL_FRACTION: f64 = 0.5;
/// The longest time between two calls, in milliseconds, as a few periods of
/// [`STALL_CHECK_INTERVAL_MS`]. After a longer gap the agent itself was paused, and unread answers
/// may be queued.
const MAX_GAP_MS: u64 = 3 * STALL_CHECK_INTERVAL_MS;
/// The interval of calls to [`StallDetector::check`], in milliseconds: well below the shortest
/// silence.
pub const STALL_CHECK_INTERVAL_MS: u64 = 100;
/// How long a request without an answer is remembered, in milliseconds: as long as any caller
/// waits.
const REQUEST_RETENTION_MS: u64 = 60_000;
/// How long a request that waits at a stalled backend server serves as a probe, in milliseconds: a
/// working server answers within the shortest silence.
pub const STALL_PROBE_TIMEOUT_MS: u64 = MIN_STALL_SILENCE_MS;
/// The time over which the limit of a recovered backend server is ramped up, in milliseconds: it
/// first has to work off the requests that it accepted during the stall.
pub const RECOVERY_RAMP_MS: u64 = 1_000;

/// A request that the backend server has not begun to answer.
#[derive(Debug)]
struct PendingRequest<K> {
    flow: K,
    since_ms: u64,
    /// Whether the whole request was sent, as far as its packets show.
    is_whole: bool,
}

/// The evidence of a stall, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stall {
    /// How long nothing was answered, in milliseconds.
    pub silent_ms: u64,
    /// How many requests have waited for most of that time.
    pub waiting: usize,
}

/// The pending requests at one backend server and the times of its answers; `K` identifies a flow.
#[derive(Debug)]
pub struct StallDetector<K> {
    /// At most one request per flow, sorted by flow.
    pending: Vec<PendingRequest<K>>,
    slowest_ms: f64,
    slowest_at_ms: u64,
    answers: u32,
    /// The time of the last answer, or when the measurement was restarted.
    measured_from_ms: u64,
    last_call_ms: u64,
    last_arrival_ms: u64,
    stalled_since_ms: Option<u64>,
    recovered_ms: Option<u64>,
}

impl<K: Copy + Ord> StallDetector<K> {
    /// Creates a detector for a backend server of which nothing is known.
    pub fn new() -> Self {
        Self {
            pending: Vec::new(),
            slowest_ms: 0.0,
            slowest_at_ms: 0,
            answers: 0,
            measured_from_ms: 0,
            last_call_ms: 0,
            last_arrival_ms: 0,
            stalled_since_ms: None,
            recovered_ms: None,
        }
    }

    /// Records data of a request that was sent to the backend server; `is_whole` if that may be the
    /// whole request.
    ///
    /// A request of several packets may still be incomplete, so that its wait is not evidence of a
    /// stall; its answer ends one.
    pub fn record_request(&mut self, flow: K, is_whole: bool, now_ms: u64) {
        self.restart_after_gap(now_ms);
        self.last_arrival_ms = now_ms;
        match self.position(flow) {
            Ok(index) => {
                self.pending[index].since_ms = now_ms;
                self.pending[index].is_whole = false;
            }
            Err(index) => {
                let request = PendingRequest {
                    flow,
                    since_ms: now_ms,
                    is_whole,
                };
                self.pending.insert(index, request);
            }
        }
    }

    /// Records the arrival of a request that is queued before it is sent to the backend server.
    ///
    /// It shows that the sender of the requests is not cut off, and nothing about the backend
    /// server.
    pub fn record_arrival(&mut self, now_ms: u64) {
        self.restart_after_gap(now_ms);
        self.last_arrival_ms = now_ms;
    }

    /// Removes a request that was refused, has failed or was given up by its caller.
    pub fn remove_request(&mut self, flow: K) {
        if let Ok(index) = self.position(flow) {
            self.pending.remove(index);
        }
    }

    /// Records an answer on a flow, or a part of one, that shows that the backend server processes
    /// requests. Refusals and errors don't, and must not be recorded.
    ///
    /// Returns the duration of the stall that this answer ends, in milliseconds, if there was one.
    pub fn record_answer(&mut self, flow: K, now_ms: u64) -> Option<u64> {
        self.restart_after_gap(now_ms);
        if let Ok(index) = self.position(flow) {
            let request = self.pending.remove(index);
            self.record_answer_time(request.since_ms, now_ms);
        }
        self.measured_from_ms = now_ms;
        let since_ms = self.stalled_since_ms.take()?;
        self.recovered_ms = Some(now_ms);
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Resets the detector, as when another process takes over the backend server's address.
    pub fn reset(&mut self) {
        *self = Self {
            last_call_ms: self.last_call_ms,
            measured_from_ms: self.last_call_ms,
            ..Self::new()
        };
    }

    /// Checks for a stall and returns it once, when it is detected.
    ///
    /// Has to be called every [`STALL_CHECK_INTERVAL_MS`].
    pub fn check(&mut self, slots: u32, now_ms: u64) -> Option<Stall> {
        self.restart_after_gap(now_ms);
        self.pending
            .retain(|request| now_ms < request.since_ms + REQUEST_RETENTION_MS);
        if self.stalled_since_ms.is_some() || self.answers < MIN_ANSWERS {
            return None;
        }
        let silence_ms = self.stall_silence_ms(now_ms);
        let fraction_ms = |fraction: f64| (fraction * silence_ms as f64) as u64;
        // Requests from before the last answer were overtaken by it, and may be lost or slow
        // themselves.
        let unanswered = self
            .pending
            .iter()
            .filter(|request| request.is_whole && request.since_ms > self.measured_from_ms);
        let since_ms = unanswered.clone().map(|request| request.since_ms).min()?;
        let has_waited = |request: &&PendingRequest<K>| {
            now_ms >= request.since_ms + fraction_ms(MIN_WAIT_FRACTION)
        };
        let stall = Stall {
            silent_ms: now_ms.saturating_sub(since_ms),
            waiting: unanswered.filter(has_waited).count(),
        };
        let has_arrivals = self.last_arrival_ms >= since_ms + fraction_ms(ARRIVAL_FRACTION);
        let min_waiting = MIN_WAITING.max(slots as usize);
        let is_stalled =
            stall.silent_ms >= silence_ms && stall.waiting >= min_waiting && has_arrivals;
        if !is_stalled {
            return None;
        }
        self.stalled_since_ms = Some(since_ms);
        Some(stall)
    }

    /// Returns whether the backend server was stalled at the last check and has answered nothing
    /// since.
    ///
    /// Returns `false` if the next check is overdue, since the agent itself may have been paused.
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        self.stalled_since_ms.is_some() && now_ms <= self.last_call_ms + MAX_GAP_MS
    }

    /// Returns whether a request may be sent to a stalled backend server as a probe.
    ///
    /// Any answer shows that the server works again, so a pending request that was sent recently is
    /// already a probe. Each probe may cost its caller a timeout, and one shows as much as many, so
    /// only one is sent at a time.
    pub fn may_probe(&self, now_ms: u64) -> bool {
        let is_probe =
            |request: &PendingRequest<K>| now_ms < request.since_ms + STALL_PROBE_TIMEOUT_MS;
        !self.pending.iter().any(is_probe)
    }

    /// Returns the limit on requests at the backend server, which is reduced after a recovery.
    ///
    /// It grows evenly up to `limit` within [`RECOVERY_RAMP_MS`], so that a second stall affects
    /// few callers.
    pub fn ramped_limit(&self, limit: f64, now_ms: u64) -> f64 {
        let Some(recovered_ms) = self.recovered_ms else {
            return limit;
        };
        let passed_ms = now_ms.saturating_sub(recovered_ms).min(RECOVERY_RAMP_MS);
        (limit * passed_ms as f64 / RECOVERY_RAMP_MS as f64).max(limit.min(1.0))
    }

    fn position(&self, flow: K) -> Result<usize, usize> {
        self.pending
            .binary_search_by_key(&flow, |request| request.flow)
    }

    /// Restarts the measurement if the last call was too long ago.
    fn restart_after_gap(&mut self, now_ms: u64) {
        if now_ms > self.last_call_ms + MAX_GAP_MS {
            self.measured_from_ms = now_ms;
            self.stalled_since_ms = None;
        }
        self.last_call_ms = self.last_call_ms.max(now_ms);
    }

    /// Records how long an answer took, unless the backend server was stalled meanwhile: that time
    /// is not its usual one.
    fn record_answer_time(&mut self, since_ms: u64, now_ms: u64) {
        let outlived_stall = self.recovered_ms.is_some_and(|end_ms| since_ms < end_ms);
        if self.stalled_since_ms.is_some() || outlived_stall {
            return;
        }
        let took_ms = now_ms.saturating_sub(since_ms) as f64;
        self.slowest_ms = self.decayed_slowest_ms(now_ms).max(took_ms);
        self.slowest_at_ms = now_ms;
        self.answers = self.answers.saturating_add(1);
    }

    fn decayed_slowest_ms(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.slowest_at_ms) as f64;
        self.slowest_ms * (-passed_ms / SLOWEST_HALF_LIFE_MS).exp2()
    }

    /// Returns the silence from which the backend server is stalled, in milliseconds.
    fn stall_silence_ms(&self, now_ms: u64) -> u64 {
        let expected_ms = (SILENCE_FACTOR * self.decayed_slowest_ms(now_ms)) as u64;
        expected_ms.max(MIN_STALL_SILENCE_MS)
    }
}

impl<K: Copy + Ord> Default for StallDetector<K> {
    fn default() -> Self {
        Self::new()
    }
}
