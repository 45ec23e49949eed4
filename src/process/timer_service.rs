//! Periodic timers and detection of pauses of the process, without a clock of its own.

/// A step of the clock above this means that the process was paused.
pub const PAUSE_THRESHOLD_MS: u64 = 2_000;
/// The longest wait between two reads of the clock. It is well below [`PAUSE_THRESHOLD_MS`], so that waiting
/// is not taken for a pause.
pub(crate) const MAX_WAIT_MS: u64 = 200;

/// The identifier of a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerId(pub usize);

/// An event for the subscribers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimerEvent {
    /// The period of this subscription has passed.
    Due(TimerId),
    /// The process was paused for about `gap_ms`, so its state may be stale.
    Resumed {
        /// The length of the pause, in milliseconds.
        gap_ms: u64,
    },
}

#[derive(Debug)]
struct Subscription {
    period_ms: u64,
    due_ms: u64,
}

/// The subscriptions to periodic events; callers pass in the time.
#[derive(Debug, Default)]
pub struct TimerService {
    subscriptions: Vec<Subscription>,
    last_ms: u64,
}

impl TimerService {
    /// Creates a service that starts at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            subscriptions: Vec::new(),
            last_ms: now_ms,
        }
    }

    /// Subscribes to an event every `period_ms`; the first is due after `delay_ms`, which spreads the load.
    pub fn subscribe(&mut self, period_ms: u64, delay_ms: u64) -> TimerId {
        self.subscriptions.push(Subscription {
            period_ms: period_ms.max(1),
            due_ms: self.last_ms + delay_ms,
        });
        TimerId(self.subscriptions.len() - 1)
    }

    /// Advances to `now_ms` and returns the events that are due, a detected pause first.
    ///
    /// A period that elapsed several times during a pause is due once.
    pub fn advance(&mut self, now_ms: u64) -> Vec<TimerEvent> {
        let mut events = Vec::new();
        let gap_ms = now_ms.saturating_sub(self.last_ms);
        if gap_ms > PAUSE_THRESHOLD_MS {
            events.push(TimerEvent::Resumed { gap_ms });
        }
        self.last_ms = now_ms;
        for (index, subscription) in self.subscriptions.iter_mut().enumerate() {
            if subscription.due_ms <= now_ms {
                subscription.due_ms = now_ms + subscription.period_ms;
                events.push(TimerEvent::Due(TimerId(index)));
            }
        }
        events
    }

    /// Returns the time to wait before the next call of [`TimerService::advance`].
    pub fn wait_ms(&self) -> u64 {
        let next_ms = self.subscriptions.iter().map(|s| s.due_ms).min();
        let wait_ms = next_ms.map_or(MAX_WAIT_MS, |due_ms| due_ms.saturating_sub(self.last_ms));
        wait_ms.clamp(1, MAX_WAIT_MS)
    }
}
