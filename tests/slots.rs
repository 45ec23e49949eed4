//! Slots are never exceeded, refusals are immediate and final, and no request runs past its
//! deadline.

use endivedyke::{ArrivalOutcome, Code, RequestId, Slots};
use proptest::prelude::*;

#[test]
fn requests_above_the_queue_limit_are_refused_with_a_retry_time() {
    let mut slots = Slots::new(1);
    assert_eq!(slots.arrive(RequestId(1), 1_000, 0), ArrivalOutcome::Run);
    assert_eq!(slots.arrive(RequestId(2), 1_000, 0), ArrivalOutcome::Queued);
    assert_eq!(slots.arrive(RequestId(3), 1_000, 0), ArrivalOutcome::Queued);
    let ArrivalOutcome::Refused(refusal) = slots.arrive(RequestId(4), 1_000, 0) else {
        panic!("the queue is bounded");
    };
    assert_eq!(refusal.code, Code::Overloaded);
    assert!(refusal.retry_after_ms >= 50);
}

#[test]
fn a_request_that_can_not_meet_its_deadline_is_refused_on_arrival() {
    let mut slots = Slots::new(1);
    assert_eq!(slots.arrive(RequestId(1), 1_000, 0), ArrivalOutcome::Run);
    // Before the first request has ended, 20 ms of waiting and 20 ms of service are assumed.
    for (deadline_ms, code) in [(0, Code::Deadline), (39, Code::Deadline)] {
        let ArrivalOutcome::Refused(refusal) = slots.arrive(RequestId(2), deadline_ms, 0) else {
            panic!("deadline {deadline_ms}");
        };
        assert_eq!(refusal.code, code);
    }
    assert_eq!(slots.arrive(RequestId(3), 40, 0), ArrivalOutcome::Queued);
}

#[test]
fn a_resumed_process_runs_no_request_past_its_deadline() {
    let mut slots = Slots::new(1);
    slots.arrive(RequestId(1), 1_000, 0);
    slots.arrive(RequestId(2), 500, 0);
    slots.arrive(RequestId(3), 9_000, 0);
    slots.finish(20);
    let dequeued = slots.dequeue(5_000);
    assert_eq!(dequeued.expired, [RequestId(2)]);
    assert_eq!(dequeued.run, Some(RequestId(3)));
}

#[test]
fn waiting_requests_run_in_order_of_arrival() {
    let mut slots = Slots::new(1);
    slots.arrive(RequestId(1), 9_000, 0);
    slots.arrive(RequestId(2), 9_000, 0);
    slots.arrive(RequestId(3), 60, 0);
    slots.finish(20);
    assert_eq!(slots.dequeue(30).run, Some(RequestId(2)));
    slots.finish(20);
    assert_eq!(
        slots.dequeue(50).run,
        Some(RequestId(3)),
        "its deadline has not passed"
    );
}

#[test]
fn a_lower_limit_does_not_interrupt_running_requests() {
    let mut slots = Slots::new(3);
    for id in 1..=3 {
        assert_eq!(slots.arrive(RequestId(id), 1_000, 0), ArrivalOutcome::Run);
    }
    assert_eq!(slots.arrive(RequestId(4), 1_000, 0), ArrivalOutcome::Queued);
    slots.set_limit(1);
    slots.finish(10);
    assert_eq!(slots.dequeue(0).run, None, "two still run");
    slots.finish(10);
    slots.finish(10);
    assert_eq!(slots.dequeue(0).run, Some(RequestId(4)));
}

proptest! {
    #[test]
    fn slots_and_queue_limits_hold_for_any_events(
        limit in 1u32..6,
        events in proptest::collection::vec((0u8..4, 1u64..400), 1..200),
    ) {
        let mut slots = Slots::new(limit);
        let mut now_ms = 0;
        let mut next_id = 0;
        let mut running = 0u32;
        let mut waiting: Vec<(RequestId, u64)> = Vec::new();
        for (event, amount) in events {
            match event {
                0 | 1 => {
                    next_id += 1;
                    let (id, deadline_ms) = (RequestId(next_id), now_ms + amount);
                    match slots.arrive(id, deadline_ms, now_ms) {
                        ArrivalOutcome::Run => running += 1,
                        ArrivalOutcome::Queued => waiting.push((id, deadline_ms)),
                        ArrivalOutcome::Refused(refusal) => prop_assert!(refusal.retry_after_ms > 0),
                    }
                }
                2 if running > 0 => {
                    slots.finish(amount);
                    running -= 1;
                    let dequeued = slots.dequeue(now_ms);
                    waiting.retain(|(id, _)| !dequeued.expired.contains(id));
                    if let Some(id) = dequeued.run {
                        let index = waiting.iter().position(|(queued, _)| *queued == id);
                        let (_, deadline_ms) = waiting.remove(index.expect("it waited"));
                        prop_assert!(deadline_ms > now_ms, "ran past its deadline");
                        running += 1;
                    }
                }
                _ => now_ms += amount,
            }
            prop_assert!(running <= limit);
            prop_assert_eq!(running, slots.busy_slots());
            prop_assert!(slots.queued_requests() <= 2 * limit as usize);
        }
    }
}
