//! What the open flows of a backend server will ask of it, beside what it has to do at this instant.
//!
//! Load pattern: flows live for seconds and can't be moved, and each asks for little at a time. When all of them open
//! within a second, or a server comes back between others that hold flows, busy slots say nothing yet of what the
//! flows will ask for. See docs/design/offers.md.

/// Over which time the rate of flows is observed, in milliseconds: a flow's pauses between requests are some seconds.
const SPAN_MS: f64 = 5_000.0;
/// For how long flows must have been open in sum before their rate tells anything, in milliseconds: some requests.
const MIN_FLOW_MS: f64 = 3_000.0;

const PERMILLE: f64 = 1_000.0;

/// The requests of open flows and the time for which flows were open, both with weights that fade.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct LoadToCome {
    requests: f64,
    flow_ms: f64,
    open: u32,
    at_ms: u64,
}

impl LoadToCome {
    /// Notes that a request has come.
    pub(crate) fn asked(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.requests += 1.0;
    }

    /// Notes how many flows are open from now on.
    pub(crate) fn changed(&mut self, open: u32, now_ms: u64) {
        self.advance(now_ms);
        self.open = open;
    }

    /// Returns how many slots of each `slots` the open flows will occupy, in thousandths, once their rate is known.
    pub(crate) fn permille(&self, service_ms: f64, slots: u32) -> Option<u16> {
        if self.flow_ms < MIN_FLOW_MS {
            return None;
        }
        let per_flow_ms = self.requests / self.flow_ms;
        let occupied = f64::from(self.open) * per_flow_ms * service_ms;
        let permille = PERMILLE * occupied / f64::from(slots.max(1));
        Some(permille.min(f64::from(u16::MAX - 1)) as u16)
    }

    fn advance(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let kept = (-passed_ms / SPAN_MS).exp();
        self.requests *= kept;
        self.flow_ms = self.flow_ms * kept + f64::from(self.open) * SPAN_MS * (1.0 - kept);
        self.at_ms = self.at_ms.max(now_ms);
    }
}
