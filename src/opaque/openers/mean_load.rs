//! The mean load of a backend server over the last second, and over a longer time.

/// Over which time requests are averaged, in milliseconds: some service times of the users' slowest
/// requests, and a few of the intervals in which balancers hear of each agent.
pub(crate) const RECENT_SPAN_MS: f64 = 1_000.0;
/// Over which time the load is averaged by which agents share flows out, in milliseconds: flows of the users'
/// feeds live for some of these, and fewer requests than come in it would say little.
pub(crate) const STEADY_SPAN_MS: f64 = 10_000.0;

/// The load that is told of a backend server which fails, in thousandths: far above any load that
/// differs in what follows from it.
pub(crate) const FAILING_LOAD_PERMILLE: u16 = 60_000;

/// For how long a mean must have been kept to tell anything, in milliseconds: dozens of requests of a busy
/// server, and those of its cold start are behind it.
const MIN_KEPT_MS: u64 = 3_000;

/// An exponentially weighted mean of the requests at a backend server, over the time since it was begun.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MeanLoad {
    span_ms: f64,
    sum: f64,
    /// The part of the weights that the time since the beginning has, from 0 to 1.
    weight: f64,
    busy: u32,
    since_ms: Option<u64>,
    at_ms: u64,
}

impl MeanLoad {
    /// Begins a mean over a time.
    pub(crate) fn new(span_ms: f64) -> Self {
        Self {
            span_ms,
            sum: 0.0,
            weight: 0.0,
            busy: 0,
            since_ms: None,
            at_ms: 0,
        }
    }

    /// Notes that `busy` requests are there from now on.
    pub(crate) fn update(&mut self, busy: u32, now_ms: u64) {
        if self.since_ms.is_none() {
            self.since_ms = Some(now_ms);
            self.at_ms = now_ms;
        }
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let kept = (-passed_ms / self.span_ms).exp();
        self.sum = self.sum * kept + f64::from(self.busy) * (1.0 - kept);
        self.weight = self.weight * kept + (1.0 - kept);
        self.busy = busy;
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// Returns the mean for each of `slots`, in thousandths, as if nothing had been there before it was begun.
    pub(crate) fn permille(&self, slots: u32) -> u16 {
        let permille = 1_000.0 * self.sum / f64::from(slots.max(1));
        permille.min(f64::from(FAILING_LOAD_PERMILLE)) as u16
    }

    /// Returns the mean of the time since it was begun for each of `slots`, in thousandths, once that is long
    /// enough to tell.
    ///
    /// Without this, a process that started seconds ago would look idle beside the others.
    pub(crate) fn permille_since_start(&self, slots: u32) -> Option<u16> {
        let since_ms = self.since_ms?;
        if self.at_ms < since_ms + MIN_KEPT_MS {
            return None;
        }
        let permille = 1_000.0 * self.sum / self.weight / f64::from(slots.max(1));
        Some(permille.min(f64::from(FAILING_LOAD_PERMILLE - 1)) as u16)
    }
}
