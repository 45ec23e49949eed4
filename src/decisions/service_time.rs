//! Estimates of the service time of requests and of the wait for a slot.

/// The service time assumed before the first request has ended, in milliseconds.
pub(crate) const INITIAL_SERVICE_MS: f64 = 20.0;
/// The weight of the newest request in the mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// How many mean service times all slots may be occupied without an answer before the server is
/// stuck, and waiting requests are better sent elsewhere: while a single request is slow, the other
/// slots still answer.
const STUCK_FACTOR: f64 = 4.0;
/// The minimum of that time, in milliseconds: with one or two slots a few slow requests are normal.
const MIN_STUCK_MS: f64 = 100.0;

/// The moving mean of the service time of recent requests.
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
    /// Records how long a request occupied a slot, in milliseconds.
    pub(crate) fn record(&mut self, took_ms: f64) {
        self.mean_ms += (took_ms - self.mean_ms) * NEWEST_WEIGHT;
    }

    /// Returns the mean, in milliseconds.
    pub(crate) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}

/// Returns how long it takes until `ahead` requests have freed their slots, in milliseconds.
pub(crate) fn wait_ms(ahead: u32, service_ms: f64, slots: u32) -> u64 {
    (f64::from(ahead) * service_ms / f64::from(slots.max(1))).ceil() as u64
}

/// Estimates the service time of a backend server that schedules its requests itself.
///
/// The time from a request to its answer includes a wait of unknown length in the server's own
/// queue. The time that all its slots together were occupied, divided by the number of answers,
/// does not.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTimeEstimator {
    service: ServiceTime,
    occupied: u32,
    slots: u32,
    /// The occupied time of all slots together since the last answer, in milliseconds.
    slot_ms: f64,
    at_ms: u64,
}

impl ServiceTimeEstimator {
    /// Sets the number of requests at the server and the number of its slots, from now on.
    pub fn set_occupied(&mut self, busy: u32, slots: u32, now_ms: u64) {
        self.advance(now_ms);
        self.occupied = busy.min(slots);
        self.slots = slots;
    }

    /// Records that a request was answered.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.service.record(std::mem::take(&mut self.slot_ms));
    }

    /// Returns the expected service time, in milliseconds.
    ///
    /// Without answers it grows with the occupied time of all slots: a stalled server must not
    /// appear as fast as before, and requests that start in many slots at once end later than the
    /// mean.
    pub fn service_ms(&self) -> f64 {
        self.service.mean_ms().max(self.slot_ms)
    }

    /// Returns whether all slots have been occupied without an answer for so long that the server
    /// seems to be stuck.
    pub fn is_stuck(&self) -> bool {
        self.silent_ms() > MIN_STUCK_MS.max(STUCK_FACTOR * self.service.mean_ms())
    }

    /// Returns how long all slots have been occupied without an answer, in milliseconds.
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
