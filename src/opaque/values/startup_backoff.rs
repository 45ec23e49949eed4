//! The retry backoff of platform reads by a process that has no configuration yet.
//!
//! Each process reads once when it starts. If that fails, only seeds keep retrying often; the other
//! processes rely on them for as long as a seed answers. Whole sites may start while the platform
//! is unreachable, and each process that retries adds failing calls. See docs/OPAQUE.md, "How
//! values travel".

use rand::Rng;

/// The first and the longest wait of a seed after a failed read, in milliseconds.
const SEED_WAITS_MS: (u64, u64) = (200, 300);
/// The same for a process that no seed answers.
const NO_SEED_WAITS_MS: (u64, u64) = (200, 2_400);
/// The same for a process that a seed answers. It still reads itself now and then, since the
/// platform may answer the seeds later than this process, or never.
const SEEDED_WAITS_MS: (u64, u64) = (3_000, 48_000);
/// The time after a seed's last answer for which it is considered alive, in milliseconds: several
/// answers, which come five times a second.
const SEED_TIMEOUT_MS: u64 = 1_000;

/// The failed reads of a starting process, and the answers of seeds to it.
#[derive(Debug)]
pub struct StartupBackoff {
    is_seed: bool,
    /// The time of the last answer of a seed, or the start of this process.
    last_seed_answer_ms: u64,
    /// Whether a peer has been found to hold a configuration since the last read.
    has_peer_configuration: bool,
    failures: u32,
    last_failed_ms: u64,
    /// The additional share of each wait, in 1/256, so that processes do not read at the same time.
    jitter: u64,
}

impl StartupBackoff {
    /// Makes the backoff of a process that starts now.
    pub fn new(is_seed: bool, now_ms: u64) -> Self {
        Self {
            is_seed,
            last_seed_answer_ms: now_ms,
            has_peer_configuration: false,
            failures: 0,
            last_failed_ms: now_ms,
            jitter: rand::rng().random_range(0..128),
        }
    }

    /// Records an answer of a seed.
    pub fn record_seed_answer(&mut self, now_ms: u64) {
        self.last_seed_answer_ms = now_ms;
    }

    /// Records that a peer holds a configuration, which suggests that the platform is reachable
    /// again.
    pub fn record_peer_configuration(&mut self) {
        self.has_peer_configuration = true;
    }

    /// Records a failed read.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures += 1;
        self.last_failed_ms = now_ms;
        self.has_peer_configuration = false;
    }

    /// Returns whether a read is due.
    pub fn is_due(&self, now_ms: u64) -> bool {
        if self.failures == 0 {
            return true;
        }
        let (first_wait_ms, max_wait_ms) = self.waits_ms(now_ms);
        let waited_ms = now_ms.saturating_sub(self.last_failed_ms);
        if self.has_peer_configuration {
            return waited_ms >= SEED_WAITS_MS.0;
        }
        let doublings = (self.failures - 1).min(u64::BITS / 2);
        let wait_ms = (first_wait_ms << doublings).min(max_wait_ms);
        waited_ms >= wait_ms + wait_ms * self.jitter / 256
    }

    /// Returns the first and the longest wait after failed reads.
    fn waits_ms(&self, now_ms: u64) -> (u64, u64) {
        if self.is_seed {
            SEED_WAITS_MS
        } else if now_ms < self.last_seed_answer_ms + SEED_TIMEOUT_MS {
            SEEDED_WAITS_MS
        } else {
            NO_SEED_WAITS_MS
        }
    }
}
