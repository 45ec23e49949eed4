//! When a process that has no configuration yet reads the platform.
//!
//! Each reads once as soon as it starts. Where that fails, the seeds go on, and the others leave it to them for as
//! long as a seed answers: whole sites start while the platform answers nobody, and each process that asks again and
//! again adds a refused call. See docs/OPAQUE.md, "How values travel".

use rand::Rng;

/// How long a seed waits after a failed read, at first and at most, in milliseconds.
const SEED_WAIT_MS: (u64, u64) = (200, 300);
/// The same for a process whom no seed answers.
const ALONE_WAIT_MS: (u64, u64) = (200, 2_400);
/// The same for a process whom a seed answers: one of the seeds may be served later than this process, or not at all.
const LED_WAIT_MS: (u64, u64) = (3_000, 48_000);
/// For how long a seed that says nothing counts as one that answers, in milliseconds: some of its answers, which come
/// five times a second.
const SEED_SILENT_MS: u64 = 1_000;

/// What a starting process knows of its own reads and of the seeds.
#[derive(Debug)]
pub struct StartupBackoff {
    is_seed: bool,
    /// When a seed answered last, or this process started.
    seed_heard_ms: u64,
    /// Whether somebody was heard who holds a configuration, since the last read.
    has_peer_configuration: bool,
    failures: u32,
    last_failed_ms: u64,
    /// By how much this process waits longer than it must, as a share of 256, so that not all ask at once.
    jitter: u64,
}

impl StartupBackoff {
    /// Notes the start of a process, which may be a seed itself.
    pub fn new(is_seed: bool, now_ms: u64) -> Self {
        Self {
            is_seed,
            seed_heard_ms: now_ms,
            has_peer_configuration: false,
            failures: 0,
            last_failed_ms: now_ms,
            jitter: rand::rng().random_range(0..128),
        }
    }

    /// Notes that a seed answered.
    pub fn record_seed_answer(&mut self, now_ms: u64) {
        self.seed_heard_ms = now_ms;
    }

    /// Notes that somebody holds a configuration: the platform may answer again.
    pub fn record_peer_configuration(&mut self) {
        self.has_peer_configuration = true;
    }

    /// Notes a read that failed.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures += 1;
        self.last_failed_ms = now_ms;
        self.has_peer_configuration = false;
    }

    /// Tells whether to read now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        if self.failures == 0 {
            return true;
        }
        let (first_ms, most_ms) = self.wait_ms(now_ms);
        let waited_ms = now_ms.saturating_sub(self.last_failed_ms);
        if self.has_peer_configuration {
            return waited_ms >= SEED_WAIT_MS.0;
        }
        let doublings = (self.failures - 1).min(u64::BITS / 2);
        let wait_ms = (first_ms << doublings).min(most_ms);
        waited_ms >= wait_ms + wait_ms * self.jitter / 256
    }

    fn wait_ms(&self, now_ms: u64) -> (u64, u64) {
        if self.is_seed {
            SEED_WAIT_MS
        } else if now_ms < self.seed_heard_ms + SEED_SILENT_MS {
            LED_WAIT_MS
        } else {
            ALONE_WAIT_MS
        }
    }
}
