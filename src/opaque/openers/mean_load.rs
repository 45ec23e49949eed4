//! The mean load of a backend server over a time span, as an exponentially weighted average.

/// The span of the mean that agents send with each message, in milliseconds: a few service times of the
/// users' slowest requests, and a few of the intervals at which a balancer gets messages of each agent.
pub(crate) const RECENT_SPAN_MS: f64 = 1_000.0;
/// The span of the mean by which agents balance flows among themselves, in milliseconds. Flows of
/// the users' feeds live for a few of these spans. A shorter span has too few requests for a
/// reliable mean.
pub(crate) const STEADY_SPAN_MS: f64 = 10_000.0;

/// The load that is sent for a failing backend server, in thousandths: far above any load of a working
/// one that matters for a decision.
pub(crate) const FAILING_LOAD_PERMILLE: u16 = 60_000;

/// The age from which a mean is meaningful, in milliseconds: after dozens of requests of a busy backend
/// server, and after those of its cold start.
const MIN_AGE_MS: u64 = 3_000;

/// An exponentially weighted mean of the number of requests at a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MeanLoad {
    span_ms: f64,
    sum: f64,
    /// The share of the weights that falls on the time since the first update, from 0 to 1.
    weight: f64,
    busy: u32,
    started_ms: Option<u64>,
    updated_ms: u64,
}

impl MeanLoad {
    /// Creates a mean over `span_ms` without updates.
    pub(crate) fn new(span_ms: f64) -> Self {
        Self {
            span_ms,
            sum: 0.0,
            weight: 0.0,
            busy: 0,
            started_ms: None,
            updated_ms: 0,
        }
    }

    /// Sets the number of requests at the backend server from now on.
    pub(crate) fn update(&mut self, busy: u32, now_ms: u64) {
        if self.started_ms.is_none() {
            self.started_ms = Some(now_ms);
            self.updated_ms = now_ms;
        }
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-elapsed_ms / self.span_ms).exp();
        self.sum = self.sum * decay + f64::from(self.busy) * (1.0 - decay);
        self.weight = self.weight * decay + (1.0 - decay);
        self.busy = busy;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Returns the mean load for each of `slots`, in thousandths.
    ///
    /// The time before the first update counts as idle.
    pub(crate) fn permille(&self, slots: u32) -> u16 {
        let permille = 1_000.0 * self.sum / f64::from(slots.max(1));
        permille.min(f64::from(FAILING_LOAD_PERMILLE)) as u16
    }

    /// Returns the mean load since the first update for each of `slots`, in thousandths, or `None` if
    /// that was too recent.
    ///
    /// By [`MeanLoad::permille`], a process that started seconds ago would look idle compared to others.
    pub(crate) fn permille_since_start(&self, slots: u32) -> Option<u16> {
        let started_ms = self.started_ms?;
        if self.updated_ms < started_ms + MIN_AGE_MS {
            return None;
        }
        let permille = 1_000.0 * self.sum / self.weight / f64::from(slots.max(1));
        Some(permille.min(f64::from(FAILING_LOAD_PERMILLE - 1)) as u16)
    }
}
