//! The slots of one target and the bounded queue before them.

use crate::code::Code;
use crate::decisions::service_time::{self, ServiceTime};
use crate::decisions::wait_queue::{QueueParams, QueuedItem, WaitQueue};

/// How many requests may wait for each slot.
pub(crate) const QUEUE_PER_SLOT: u32 = 2;
/// The shortest time after which a refused caller is told to come back, in milliseconds.
pub(crate) const MIN_RETRY_AFTER_MS: u32 = 50;
/// The longest such time, in milliseconds.
pub(crate) const MAX_RETRY_AFTER_MS: u32 = 30_000;

/// Identifies a request in its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// What happens to a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// It has a slot.
    Run,
    /// It waits.
    Queued,
    /// It gets its final answer at once.
    Refused(Refusal),
}

/// Why a request does not run, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// After how long a new try makes sense, in milliseconds.
    pub retry_after_ms: u32,
}

/// What becomes of waiting requests when a slot is free.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// The request that runs now.
    pub run: Option<RequestId>,
    /// Requests whose deadline can no longer be met; each is refused with [`Code::Deadline`].
    pub expired: Vec<RequestId>,
}

/// Slots, running requests and waiting requests of one target.
#[derive(Debug)]
pub struct Slots {
    slots: u32,
    busy: u32,
    queue: WaitQueue<RequestId>,
    service: ServiceTime,
}

impl Slots {
    /// Makes free slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            busy: 0,
            queue: WaitQueue::with_max_len(usize::MAX),
            service: ServiceTime::default(),
        }
    }

    /// Changes the limit; requests above a lower one end undisturbed.
    pub fn set_limit(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns how many requests run.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Tells whether a request could run at once.
    pub fn has_free(&self) -> bool {
        self.busy < self.slots && self.queue.is_empty()
    }

    /// Returns the mean service time, in milliseconds.
    pub fn service_ms(&self) -> f64 {
        self.service.mean_ms()
    }

    /// Returns for how long a request that arrives now would wait, in milliseconds.
    pub fn wait_ms(&self) -> u64 {
        if self.has_free() {
            return 0;
        }
        service_time::wait_ms(self.queue.len() as u32 + 1, self.service_ms(), self.slots)
    }

    /// Takes a request that must have ended by `deadline_ms`.
    pub fn arrive(&mut self, id: RequestId, deadline_ms: u64, now_ms: u64) -> ArrivalOutcome {
        if deadline_ms <= now_ms {
            return self.refuse(Code::Deadline);
        }
        if self.has_free() {
            self.busy += 1;
            return ArrivalOutcome::Run;
        }
        if self.queue.len() as u64 >= u64::from(self.slots) * u64::from(QUEUE_PER_SLOT) {
            return self.refuse(Code::Overloaded);
        }
        let end_ms = now_ms as f64 + self.wait_ms() as f64 + self.service_ms();
        if end_ms > deadline_ms as f64 {
            return self.refuse(Code::Deadline);
        }
        let waiting = QueuedItem {
            item: id,
            caller: id.0,
            priority: 0,
            since_ms: now_ms,
            objective_ms: u32::MAX,
            // None is late before its deadline, so that they are served by arrival.
            due_ms: u64::MAX,
            deadline_ms,
        };
        if !self.queue.push(waiting) {
            return self.refuse(Code::Overloaded);
        }
        ArrivalOutcome::Queued
    }

    /// Frees a slot after a service time of `took_ms`.
    pub fn finish(&mut self, took_ms: u64) {
        self.service.record(took_ms as f64);
        self.release();
    }

    /// Frees a slot whose request never ran, so that it says nothing about the service time.
    pub fn release(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Gives a free slot to the waiting request that goes first of those that can still meet their deadlines.
    pub fn dequeue(&mut self, now_ms: u64) -> Dequeued {
        let mut next = Dequeued::default();
        if self.busy >= self.slots {
            return next;
        }
        next.expired = self.remove_expired(now_ms);
        let params = QueueParams {
            service_ms: self.service_ms(),
            slots: self.slots,
            objective_ms: u32::MAX,
        };
        if let Some(waiting) = self.queue.pop_if(&params, now_ms, |_| true) {
            self.busy += 1;
            next.run = Some(waiting.item);
        }
        next
    }

    /// Removes waiting requests whose deadline has passed, so that they are answered at once.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<RequestId> {
        let expired = self.queue.take_if(|waiting| waiting.deadline_ms <= now_ms);
        expired.into_iter().map(|waiting| waiting.item).collect()
    }

    /// Removes a waiting request that its caller has cancelled, and says whether it waited.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        !self.queue.take_if(|waiting| waiting.item == id).is_empty()
    }

    /// Returns after how long a refused caller should come back, in milliseconds.
    pub fn retry_after_ms(&self) -> u32 {
        let backlog = self.queue.len() as f64 + f64::from(self.busy);
        let clear_ms = backlog * self.service_ms() / f64::from(self.slots.max(1));
        (clear_ms as u32).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    fn refuse(&self, code: Code) -> ArrivalOutcome {
        ArrivalOutcome::Refused(Refusal {
            code,
            retry_after_ms: self.retry_after_ms(),
        })
    }
}
