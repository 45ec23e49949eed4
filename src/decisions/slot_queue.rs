//! Waits for slots: the tasks of requests around the decisions of [`crate::Slots`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_channel::oneshot;

use crate::code::Code;
use crate::decisions::slots::{ArrivalOutcome, Refusal, RequestId, Slots};
use crate::process::clock::Clock;

type Grant = Result<SlotGuard, Refusal>;

/// The slots of a target with the requests that wait for them.
pub(crate) struct SlotQueue {
    slots: RefCell<Slots>,
    waiting: RefCell<Vec<(RequestId, oneshot::Sender<Grant>)>>,
    next_id: Cell<u64>,
    busy_ms: Cell<u64>,
    clock: Clock,
}

/// A slot in use; it is freed when this is dropped.
pub(crate) struct SlotGuard {
    queue: Rc<SlotQueue>,
    started_ms: u64,
    ran: bool,
}

impl SlotGuard {
    /// Notes that the request was handed to the backend server, so that its time counts.
    pub(crate) fn set_running(&mut self) {
        self.started_ms = self.queue.clock.now_ms();
        self.ran = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now_ms = self.queue.clock.now_ms();
        let mut slots = self.queue.slots.borrow_mut();
        if self.ran {
            let took_ms = now_ms.saturating_sub(self.started_ms);
            self.queue.busy_ms.set(self.queue.busy_ms.get() + took_ms);
            slots.finish(took_ms);
        } else {
            slots.release();
        }
        drop(slots);
        self.queue.grant_free();
    }
}

/// Takes a request out of the queue when its task ends before it had a slot.
struct Waiter {
    queue: Rc<SlotQueue>,
    id: RequestId,
}

impl Drop for Waiter {
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
        self.grant_free();
    }

    pub(crate) fn busy(&self) -> u32 {
        self.slots.borrow().busy()
    }

    /// Returns the time that ended requests have held slots since the last call, in milliseconds.
    pub(crate) fn take_busy_ms(&self) -> u64 {
        self.busy_ms.take()
    }

    pub(crate) fn queued(&self) -> usize {
        self.slots.borrow().queued()
    }

    pub(crate) fn service_ms(&self) -> f64 {
        self.slots.borrow().service_ms()
    }

    pub(crate) fn has_free(&self) -> bool {
        self.slots.borrow().has_free()
    }

    pub(crate) fn retry_after_ms(&self) -> u32 {
        self.slots.borrow().retry_after_ms()
    }

    /// Takes a slot if one is free now.
    pub(crate) fn try_acquire(self: &Rc<Self>, deadline_ms: u64) -> Option<SlotGuard> {
        if !self.has_free() {
            return None;
        }
        let arrival = self.arrive(self.new_id(), deadline_ms);
        (arrival == ArrivalOutcome::Run).then(|| self.guard())
    }

    /// Waits for a slot; a request that can't have one in time is refused at once.
    pub(crate) async fn acquire(self: &Rc<Self>, deadline_ms: u64) -> Grant {
        let id = self.new_id();
        match self.arrive(id, deadline_ms) {
            ArrivalOutcome::Run => Ok(self.guard()),
            ArrivalOutcome::Refused(refusal) => Err(refusal),
            ArrivalOutcome::Queued => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.borrow_mut().push((id, sender));
                let _waiter = Waiter {
                    queue: self.clone(),
                    id,
                };
                receiver.await.unwrap_or_else(|_| Err(self.late()))
            }
        }
    }

    /// Answers waiting requests whose deadline has passed.
    pub(crate) fn refuse_expired(&self) {
        let expired = self.slots.borrow_mut().remove_expired(self.clock.now_ms());
        for id in expired {
            self.refuse_late(id);
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
            ran: false,
        }
    }

    fn late(&self) -> Refusal {
        Refusal {
            code: Code::Deadline,
            retry_after_ms: self.retry_after_ms(),
        }
    }

    fn refuse_late(&self, id: RequestId) {
        if let Some(sender) = self.take_waiting(id) {
            // A request whose task has ended needs no answer.
            let _ = sender.send(Err(self.late()));
        }
    }

    fn take_waiting(&self, id: RequestId) -> Option<oneshot::Sender<Grant>> {
        let mut waiting = self.waiting.borrow_mut();
        let index = waiting.iter().position(|(known, _)| *known == id)?;
        Some(waiting.remove(index).1)
    }

    fn grant_free(self: &Rc<Self>) {
        loop {
            let next = self.slots.borrow_mut().dequeue(self.clock.now_ms());
            for id in next.expired {
                self.refuse_late(id);
            }
            let Some(id) = next.run else {
                return;
            };
            let guard = self.guard();
            match self.take_waiting(id) {
                // A receiver that is gone drops the guard, which frees the slot again.
                Some(sender) => drop(sender.send(Ok(guard))),
                None => drop(guard),
            }
        }
    }
}
