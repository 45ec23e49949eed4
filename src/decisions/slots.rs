//! The slots of one target and the bounded queue of requests that wait for one.

use crate::code::Code;
use crate::decisions::service_time::{self, ServiceTime};
use crate::decisions::wait_queue::{QueueParams, QueuedItem, WaitQueue};

/// The maximum number of waiting requests per slot.
pub(crate) const MAX_QUEUED_PER_SLOT: u32 = 2;
/// The minimum retry-after time of a refusal, in milliseconds.
pub(crate) const MIN_RETRY_AFTER_MS: u32 = 50;
/// The maximum retry-after time of a refusal, in milliseconds.
pub(crate) const MAX_RETRY_AFTER_MS: u32 = 30_000;

/// The id of a request within its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The outcome for a request on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// It has a slot and runs.
    Run,
    /// It waits for a slot.
    Queued,
    /// It is refused; this is its final answer.
    Refused(Refusal),
}

/// Why a request was not run, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// The time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u32,
}

/// The waiting requests that leave the queue when a slot is free.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// The request that runs now.
    pub run: Option<RequestId>,
    /// Requests whose deadline has passed; each is refused with [`Code::Deadline`].
    pub expired: Vec<RequestId>,
}

/// The slots, running requests and waiting requests of one target.
#[derive(Debug)]
pub struct Slots {
    slots: u32,
    busy: u32,
    queue: WaitQueue<RequestId>,
    service: ServiceTime,
}

impl Slots {
    /// Creates a target's slots, all of them free.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            busy: 0,
            queue: WaitQueue::with_max_len(usize::MAX),
            service: ServiceTime::default(),
        }
    }

    /// Sets the number of slots; running requests above a lower number are not interrupted.
    pub fn set_limit(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the number of running requests.
    pub fn busy_slots(&self) -> u32 {
        self.busy
    }

    /// Returns the number of waiting requests.
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether a request could run at once.
    pub fn has_free_slot(&self) -> bool {
        self.busy < self.slots && self.queue.is_empty()
    }

    /// Returns the mean service time, in milliseconds.
    pub fn service_ms(&self) -> f64 {
        self.service.mean_ms()
    }

    /// Returns the expected wait of a request that arrives now, in milliseconds.
    pub fn wait_ms(&self) -> u64 {
        if self.has_free_slot() {
            return 0;
        }
        service_time::wait_ms(self.queue.len() as u32 + 1, self.service_ms(), self.slots)
    }

    /// Runs, queues or refuses a request that has to end by `deadline_ms`.
    pub fn arrive(&mut self, id: RequestId, deadline_ms: u64, now_ms: u64) -> ArrivalOutcome {
        if deadline_ms <= now_ms {
            return self.refuse(Code::Deadline);
        }
        if self.has_free_slot() {
            self.busy += 1;
            return ArrivalOutcome::Run;
        }
        if self.queue.len() as u64 >= u64::from(self.slots) * u64::from(MAX_QUEUED_PER_SLOT) {
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
            // No request is overdue before its deadline, so that the order is that of arrival.
            due_ms: u64::MAX,
            deadline_ms,
        };
        if !self.queue.push(waiting) {
            return self.refuse(Code::Overloaded);
        }
        ArrivalOutcome::Queued
    }

    /// Frees a slot and records the service time of its request.
    pub fn finish(&mut self, took_ms: u64) {
        self.service.record(took_ms as f64);
        self.release();
    }

    /// Frees a slot whose request never ran, without recording a service time.
    pub fn release(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Assigns a free slot to the first waiting request whose deadline has not passed.
    pub fn dequeue(&mut self, now_ms: u64) -> Dequeued {
        let mut dequeued = Dequeued::default();
        if self.busy >= self.slots {
            return dequeued;
        }
        dequeued.expired = self.remove_expired(now_ms);
        let params = QueueParams {
            service_ms: self.service_ms(),
            slots: self.slots,
            objective_ms: u32::MAX,
        };
        if let Some(waiting) = self.queue.pop_if(&params, now_ms, |_| true) {
            self.busy += 1;
            dequeued.run = Some(waiting.item);
        }
        dequeued
    }

    /// Removes and returns waiting requests whose deadline has passed, so that they are refused at
    /// once.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<RequestId> {
        let expired = self.queue.take_if(|waiting| waiting.deadline_ms <= now_ms);
        expired.into_iter().map(|waiting| waiting.item).collect()
    }

    /// Removes a waiting request that its caller cancelled; returns whether it was waiting.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        !self.queue.take_if(|waiting| waiting.item == id).is_empty()
    }

    /// Returns the time after which a refused caller should retry, in milliseconds.
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
