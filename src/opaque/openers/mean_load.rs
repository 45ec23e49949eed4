//! The mean load of a backend server over the last second.

/// Over which time requests are averaged, in milliseconds: some service times of the users' slowest
/// requests, and a few of the intervals in which balancers hear of each agent.
const SPAN_MS: f64 = 1_000.0;

/// The load that is told of a backend server which fails, in thousandths: far above any load that
/// differs in what follows from it.
pub(crate) const FAILING_LOAD: u16 = 60_000;

/// An exponentially weighted mean of the requests at a backend server.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MeanLoad {
    mean: f64,
    busy: u32,
    at_ms: u64,
}

impl MeanLoad {
    /// Notes that `busy` requests are there from now on.
    pub(crate) fn changed(&mut self, busy: u32, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let kept = (-passed_ms / SPAN_MS).exp();
        self.mean = self.mean * kept + f64::from(self.busy) * (1.0 - kept);
        self.busy = busy;
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// Returns the mean for each of `slots`, in thousandths.
    pub(crate) fn permille(&self, slots: u32) -> u16 {
        let permille = 1_000.0 * self.mean / f64::from(slots.max(1));
        permille.min(f64::from(FAILING_LOAD)) as u16
    }
}
