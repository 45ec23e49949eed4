//! Who of those that wait for a slot goes first, and who waits at all.

use endivedyke::{QueueParams, QueuedItem, ServiceTimeEstimator, WaitEstimate, WaitQueue};
use proptest::prelude::*;

const PARAMS: QueueParams = QueueParams {
    service_ms: 30.0,
    slots: 2,
    objective_ms: 300,
};

/// Returns something of a caller that came at a time.
fn waiting(item: u32, caller: u64, priority: u8, since_ms: u64) -> QueuedItem<u32> {
    QueuedItem {
        item,
        caller,
        priority,
        since_ms,
        objective_ms: PARAMS.objective_ms,
        due_ms: since_ms + u64::from(PARAMS.objective_ms),
        deadline_ms: since_ms + 1_500,
    }
}

/// Returns in which order they are served, all of them at one time.
fn served(mut queue: WaitQueue<u32>, now_ms: u64) -> Vec<u32> {
    let mut order = Vec::new();
    while let Some(waiting) = queue.pop_if(&PARAMS, now_ms, |_| true) {
        order.push(waiting.item);
    }
    order
}

#[test]
fn the_urgent_the_first_of_each_caller_and_the_earliest_due_go_first() {
    for (name, entries, now_ms, expected) in [
        (
            "by arrival",
            vec![(1, 1, 0, 0), (2, 2, 0, 5)],
            10,
            vec![1, 2],
        ),
        (
            "the urgent",
            vec![(1, 1, 2, 0), (2, 2, 1, 5)],
            10,
            vec![2, 1],
        ),
        (
            "late ones last",
            vec![(1, 1, 0, 0), (2, 2, 2, 250)],
            290,
            vec![2, 1],
        ),
        (
            "one of each caller",
            vec![(1, 1, 0, 0), (2, 1, 0, 1), (3, 1, 0, 2), (4, 2, 0, 3)],
            10,
            vec![1, 4, 2, 3],
        ),
    ] {
        let mut queue = WaitQueue::default();
        for (item, caller, priority, since_ms) in entries {
            assert!(queue.push(waiting(item, caller, priority, since_ms)));
        }
        assert_eq!(served(queue, now_ms), expected, "{name}");
    }
}

#[test]
fn the_newest_goes_first_while_the_queue_is_long() {
    let mut queue = WaitQueue::default();
    for item in 0..10 {
        queue.push(waiting(item, u64::from(item), 0, u64::from(item)));
    }
    let first = queue
        .pop_if(&PARAMS, 20, |_| true)
        .map(|waiting| waiting.item);
    assert_eq!(first, Some(9));
    while queue.len() > 5 {
        queue.pop_if(&PARAMS, 20, |_| true);
    }
    let first = queue
        .pop_if(&PARAMS, 20, |_| true)
        .map(|waiting| waiting.item);
    assert_eq!(first, Some(0), "a short queue is served by arrival");
}

#[test]
fn a_longer_objective_does_not_count_as_newer() {
    let mut queue = WaitQueue::default();
    queue.push(QueuedItem {
        objective_ms: 1_000,
        due_ms: 1_000,
        ..waiting(0, 0, 0, 0)
    });
    for item in 1..10 {
        queue.push(waiting(item, u64::from(item), 0, u64::from(item)));
    }
    let order = served(queue, 20);
    assert_eq!(order[0], 9, "the newest of a long queue");
    assert_eq!(order.last(), Some(&0), "what is due last, once it is short");
}

#[test]
fn a_caller_that_asks_ten_times_as_often_does_not_push_others_out() {
    let mut queue = WaitQueue::default();
    for item in 0..40 {
        queue.push(waiting(item, 1, 0, 0));
    }
    for item in 40..44 {
        queue.push(waiting(item, u64::from(item), 0, 1));
    }
    let others = served(queue, 2).iter().position(|item| *item == 43);
    assert!(others.is_some_and(|position| position <= 4), "{others:?}");
}

#[test]
fn what_waits_is_bounded() {
    let mut queue = WaitQueue::default();
    let pushed = (0..10_000).filter(|item| queue.push(waiting(*item, 1, 0, 0)));
    assert_eq!(pushed.count(), 256);
    assert!(!queue.has_room());
}

/// A fresh opener behind a few others.
const FRESH: WaitEstimate = WaitEstimate {
    age_ms: 0,
    attempt_age_ms: 0,
    wait_ms: 100,
    service_ms: 30.0,
    objective_ms: 300,
    timeout_ms: 1_500,
    longest_wait_ms: 50,
};

#[test]
fn an_opener_waits_where_that_may_help_its_caller() {
    for (name, estimate, waits) in [
        ("in time", FRESH, true),
        (
            "late, and those before it are served",
            WaitEstimate {
                wait_ms: 500,
                ..FRESH
            },
            true,
        ),
        (
            "late, behind one that waits in vain",
            WaitEstimate {
                wait_ms: 500,
                longest_wait_ms: 300,
                ..FRESH
            },
            false,
        ),
        (
            "in time, behind one that waits in vain",
            WaitEstimate {
                longest_wait_ms: 900,
                ..FRESH
            },
            true,
        ),
        (
            "after its caller has left",
            WaitEstimate {
                age_ms: 1_400,
                ..FRESH
            },
            false,
        ),
        (
            "after its attempt has ended",
            WaitEstimate {
                attempt_age_ms: 1_350,
                wait_ms: 280,
                ..FRESH
            },
            false,
        ),
    ] {
        assert_eq!(estimate.should_wait(), waits, "{name}");
    }
}

#[test]
fn a_service_time_is_that_of_slots_and_not_of_the_queue_before_them() {
    let mut slots = ServiceTimeEstimator::default();
    // Two slots that take 40 ms each, and ten more requests in the server's own queue.
    for answer in 0..200 {
        slots.set_occupied(12, 2, answer * 20);
        slots.record_answer((answer + 1) * 20);
    }
    let service_ms = slots.service_ms();
    assert!((39.0..41.0).contains(&service_ms), "{service_ms}");
    slots.set_occupied(12, 2, 4_000);
    slots.set_occupied(12, 2, 4_300);
    assert!(slots.service_ms() >= 600.0, "no answer for 300 ms");
    assert!(slots.is_stuck());
}

proptest! {
    #[test]
    fn each_one_is_served_once_and_no_urgent_one_behind_a_less_urgent_one_of_its_time(
        entries in proptest::collection::vec((0u64..5, 0u8..3, 0u64..200), 1..60),
    ) {
        let mut queue = WaitQueue::default();
        for (item, (caller, priority, since_ms)) in entries.iter().enumerate() {
            queue.push(waiting(item as u32, *caller, *priority, *since_ms));
        }
        // At this time all can still be in time.
        let order = served(queue, 200);
        let mut sorted = order.clone();
        sorted.sort_unstable();
        prop_assert_eq!(sorted, (0..entries.len() as u32).collect::<Vec<_>>());
        let priorities: Vec<u8> = order.iter().map(|item| entries[*item as usize].1).collect();
        prop_assert!(priorities.is_sorted());
    }
}
