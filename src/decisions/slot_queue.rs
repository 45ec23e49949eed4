//! Connects the tasks of requests that wait for a slot to the decisions of [`crate::Slots`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_channel::oneshot;

use crate::code::Code;
use crate::decisions::slots::{ArrivalOutcome, Refusal, RequestId, Slots};
use crate::process::clock::Clock;

type SlotResult = Result<SlotGuard, Refusal>;

/// The slots of a target and the tasks that wait for them.
pub(crate) struct SlotQueue {
    slots: RefCell<Slots>,
    waiting: RefCell<Vec<(RequestId, oneshot::Sender<SlotResult>)>>,
    next_id: Cell<u64>,
    busy_ms: Cell<u64>,
    clock: Clock,
}

/// A slot in use, which is freed on drop.
pub(crate) struct SlotGuard {
    queue: Rc<SlotQueue>,
    started_ms: u64,
    has_run: bool,
}

impl SlotGuard {
    /// Records that the request was sent to the backend server, from which its service time is
    /// measured.
    pub(crate) fn set_running(&mut self) {
        self.started_ms = self.queue.clock.now_ms();
        self.has_run = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now_ms = self.queue.clock.now_ms();
        let mut slots = self.queue.slots.borrow_mut();
        if self.has_run {
            let took_ms = now_ms.saturating_sub(self.started_ms);
            self.queue.busy_ms.set(self.queue.busy_ms.get() + took_ms);
            slots.finish(took_ms);
        } else {
            slots.release();
        }
        drop(slots);
        self.queue.grant_free_slots();
    }
}

/// Removes a request from the queue on drop, as when its task ends before it gets a slot.
struct QueuedRequest {
    queue: Rc<SlotQueue>,
    id: RequestId,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.queue.slots.borrow_mut().cancel(self.id);
        self.queue
            .waiting
            .borrow_mut()
            .retain(|(id, _)| *id != self.id);
    }
}

impl SlotQueue {
    pub(crate) fn new(slots: u32, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            slots: RefCell::new(Slots::new(slots)),
            waiting: RefCell::default(),
            next_id: Cell::new(0),
            busy_ms: Cell::new(0),
            clock,
        })
    }

    pub(crate) fn set_limit(self: &Rc<Self>, slots: u32) {
        self.slots.borrow_mut().set_limit(slots);
        self.grant_free_slots();
    }

    pub(crate) fn busy_slots(&self) -> u32 {
        self.slots.borrow().busy_slots()
    }

    /// Returns the total service time of the requests that ended since the last call, in
    /// milliseconds.
    pub(crate) fn take_busy_ms(&self) -> u64 {
        self.busy_ms.take()
    }

    pub(crate) fn queued_requests(&self) -> usize {
        self.slots.borrow().queued_requests()
    }

    pub(crate) fn service_ms(&self) -> f64 {
        self.slots.borrow().service_ms()
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.slots.borrow().has_free_slot()
    }

    pub(crate) fn retry_after_ms(&self) -> u32 {
        self.slots.borrow().retry_after_ms()
    }

    /// Takes a slot if one is free now.
    pub(crate) fn try_acquire(self: &Rc<Self>, deadline_ms: u64) -> Option<SlotGuard> {
        if !self.has_free_slot() {
            return None;
        }
        let arrival = self.arrive(self.new_id(), deadline_ms);
        (arrival == ArrivalOutcome::Run).then(|| self.guard())
    }

    /// Waits for a slot; a request that can't meet its deadline is refused at once.
    pub(crate) async fn acquire(self: &Rc<Self>, deadline_ms: u64) -> SlotResult {
        let id = self.new_id();
        match self.arrive(id, deadline_ms) {
            ArrivalOutcome::Run => Ok(self.guard()),
            ArrivalOutcome::Refused(refusal) => Err(refusal),
            ArrivalOutcome::Queued => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.borrow_mut().push((id, sender));
                let _queued = QueuedRequest {
                    queue: self.clone(),
                    id,
                };
                receiver
                    .await
                    .unwrap_or_else(|_| Err(self.deadline_refusal()))
            }
        }
    }

    /// Refuses waiting requests whose deadline has passed.
    pub(crate) fn refuse_expired(&self) {
        let expired = self.slots.borrow_mut().remove_expired(self.clock.now_ms());
        for id in expired {
            self.refuse_at_deadline(id);
        }
    }

    fn new_id(&self) -> RequestId {
        self.next_id.set(self.next_id.get() + 1);
        RequestId(self.next_id.get())
    }

    fn arrive(&self, id: RequestId, deadline_ms: u64) -> ArrivalOutcome {
        let now_ms = self.clock.now_ms();
        self.slots.borrow_mut().arrive(id, deadline_ms, now_ms)
    }

    fn guard(self: &Rc<Self>) -> SlotGuard {
        SlotGuard {
            queue: self.clone(),
            started_ms: self.clock.now_ms(),
            has_run: false,
        }
    }

    fn deadline_refusal(&self) -> Refusal {
        Refusal {
            code: Code::Deadline,
            retry_after_ms: self.retry_after_ms(),
        }
    }

    fn refuse_at_deadline(&self, id: RequestId) {
        if let Some(sender) = self.take_waiting(id) {
            // Sending fails if the task of the request has ended; it needs no answer then.
            let _ = sender.send(Err(self.deadline_refusal()));
        }
    }

    fn take_waiting(&self, id: RequestId) -> Option<oneshot::Sender<SlotResult>> {
        let mut waiting = self.waiting.borrow_mut();
        let index = waiting.iter().position(|(queued, _)| *queued == id)?;
        Some(waiting.remove(index).1)
    }

    fn grant_free_slots(self: &Rc<Self>) {
        loop {
            let dequeued = self.slots.borrow_mut().dequeue(self.clock.now_ms());
            for id in dequeued.expired {
                self.refuse_at_deadline(id);
            }
            let Some(id) = dequeued.run else {
                return;
            };
            let guard = self.guard();
            match self.take_waiting(id) {
                // If the receiver is gone, the guard is dropped, which frees the slot again.
                Some(sender) => drop(sender.send(Ok(guard))),
                None => drop(guard),
            }
        }
    }
}
