//! How long a request occupies a slot, and how long the next one waits for one.

/// The service time assumed before the first request has ended, in milliseconds.
pub(crate) const INITIAL_SERVICE_MS: f64 = 20.0;
/// The weight of the newest request in the mean.
const WEIGHT_OF_NEW: f64 = 0.1;

/// How many times the mean service time all slots may be occupied without an answer before what waits is better off
/// elsewhere: a single slow request is answered past by the other slots.
const STUCK_FACTOR: f64 = 4.0;
/// The least such time, in milliseconds: with one or two slots a few slow requests are no sign of anything.
const LEAST_STUCK_MS: f64 = 100.0;

/// The mean service time of the last requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceTime {
    mean_ms: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            mean_ms: INITIAL_SERVICE_MS,
        }
    }
}

impl ServiceTime {
    /// Notes for how long a request occupied a slot.
    pub(crate) fn record(&mut self, took_ms: f64) {
        self.mean_ms += (took_ms - self.mean_ms) * WEIGHT_OF_NEW;
    }

    /// Returns the mean, in milliseconds.
    pub(crate) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}

/// Returns how long it takes until `ahead` requests have left their slots, in milliseconds.
pub(crate) fn wait_ms(ahead: u32, service_ms: f64, slots: u32) -> u64 {
    (f64::from(ahead) * service_ms / f64::from(slots.max(1))).ceil() as u64
}

/// The service time of a backend server that runs requests by itself, seen from beside it.
///
/// The time from a request to its answer holds a wait of unknown length in the server's own queue. The time that
/// all its slots together were occupied, for each answer, does not.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTimeEstimator {
    service: ServiceTime,
    occupied: u32,
    slots: u32,
    /// For how long slots were occupied since the last answer, in milliseconds of one slot.
    slot_ms: f64,
    at_ms: u64,
}

impl ServiceTimeEstimator {
    /// Notes how many requests are there from now on.
    pub fn set_occupied(&mut self, busy: u32, slots: u32, now_ms: u64) {
        self.advance(now_ms);
        self.occupied = busy.min(slots);
        self.slots = slots;
    }

    /// Notes that a request was answered.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.service.record(std::mem::take(&mut self.slot_ms));
    }

    /// Returns the service time to expect, in milliseconds.
    ///
    /// While no answer comes it grows with the time that all slots were occupied: a server that stands still must not
    /// look as fast as it was, and what has begun at many slots at once ends later than the mean says.
    pub fn service_ms(&self) -> f64 {
        self.service.mean_ms().max(self.slot_ms)
    }

    /// Tells whether no answer has come for so long that none may come.
    pub fn is_stuck(&self) -> bool {
        self.silent_ms() > LEAST_STUCK_MS.max(STUCK_FACTOR * self.service.mean_ms())
    }

    /// Returns for how long all slots were occupied without an answer, in milliseconds.
    fn silent_ms(&self) -> f64 {
        self.slot_ms / f64::from(self.slots.max(1))
    }

    fn advance(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.slot_ms += passed_ms * f64::from(self.occupied);
        self.at_ms = self.at_ms.max(now_ms);
        if self.occupied == 0 {
            self.slot_ms = 0.0;
        }
    }
}
