//! The order of the wait queue, which openers wait at all, and the estimate of the service time.

use endivedyke::{QueueParams, QueuedItem, ServiceTimeEstimator, WaitEstimate, WaitQueue};
use proptest::prelude::*;

const PARAMS: QueueParams = QueueParams {
    service_ms: 30.0,
    slots: 2,
    objective_ms: 300,
};

/// Returns an item of a caller, queued at `since_ms`.
fn queued(item: u32, caller: u64, priority: u8, since_ms: u64) -> QueuedItem<u32> {
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

/// Returns the order in which all items are served at `now_ms`.
fn served(mut queue: WaitQueue<u32>, now_ms: u64) -> Vec<u32> {
    let mut order = Vec::new();
    while let Some(queued) = queue.pop_if(&PARAMS, now_ms, |_| true) {
        order.push(queued.item);
    }
    order
}

#[test]
fn the_order_is_by_priority_then_by_turn_of_the_caller_then_by_due_time() {
    for (name, entries, now_ms, expected) in [
        (
            "in order of arrival",
            vec![(1, 1, 0, 0), (2, 2, 0, 5)],
            10,
            vec![1, 2],
        ),
        (
            "by priority",
            vec![(1, 1, 2, 0), (2, 2, 1, 5)],
            10,
            vec![2, 1],
        ),
        (
            "late items last",
            vec![(1, 1, 0, 0), (2, 2, 2, 250)],
            290,
            vec![2, 1],
        ),
        (
            "one item of each caller",
            vec![(1, 1, 0, 0), (2, 1, 0, 1), (3, 1, 0, 2), (4, 2, 0, 3)],
            10,
            vec![1, 4, 2, 3],
        ),
    ] {
        let mut queue = WaitQueue::default();
        for (item, caller, priority, since_ms) in entries {
            assert!(queue.push(queued(item, caller, priority, since_ms)));
        }
        assert_eq!(served(queue, now_ms), expected, "{name}");
    }
}

#[test]
fn the_newest_item_goes_first_while_the_queue_is_long() {
    let mut queue = WaitQueue::default();
    for item in 0..10 {
        queue.push(queued(item, u64::from(item), 0, u64::from(item)));
    }
    let first = queue
        .pop_if(&PARAMS, 20, |_| true)
        .map(|queued| queued.item);
    assert_eq!(first, Some(9));
    while queue.len() > 5 {
        queue.pop_if(&PARAMS, 20, |_| true);
    }
    let first = queue
        .pop_if(&PARAMS, 20, |_| true)
        .map(|queued| queued.item);
    assert_eq!(
        first,
        Some(0),
        "a short queue is served in order of arrival"
    );
}

#[test]
fn a_longer_objective_does_not_make_an_item_newer() {
    let mut queue = WaitQueue::default();
    queue.push(QueuedItem {
        objective_ms: 1_000,
        due_ms: 1_000,
        ..queued(0, 0, 0, 0)
    });
    for item in 1..10 {
        queue.push(queued(item, u64::from(item), 0, u64::from(item)));
    }
    let order = served(queue, 20);
    assert_eq!(order[0], 9, "the newest item of a long queue");
    assert_eq!(
        order.last(),
        Some(&0),
        "the item that is due last, once the queue is short"
    );
}

#[test]
fn a_caller_with_ten_times_as_many_items_does_not_starve_others() {
    let mut queue = WaitQueue::default();
    for item in 0..40 {
        queue.push(queued(item, 1, 0, 0));
    }
    for item in 40..44 {
        queue.push(queued(item, u64::from(item), 0, 1));
    }
    let others = served(queue, 2).iter().position(|item| *item == 43);
    assert!(others.is_some_and(|position| position <= 4), "{others:?}");
}

#[test]
fn the_queue_is_bounded() {
    let mut queue = WaitQueue::default();
    let pushed = (0..10_000).filter(|item| queue.push(queued(*item, 1, 0, 0)));
    assert_eq!(pushed.count(), 256);
    assert!(!queue.has_room());
}

/// A new opener behind a few others.
const NEW_OPENER: WaitEstimate = WaitEstimate {
    age_ms: 0,
    attempt_age_ms: 0,
    wait_ms: 100,
    service_ms: 30.0,
    objective_ms: 300,
    timeout_ms: 1_500,
    longest_wait_ms: 50,
};

#[test]
fn an_opener_waits_only_if_it_may_be_served_in_time() {
    for (name, estimate, should_wait) in [
        ("in time", NEW_OPENER, true),
        (
            "late, while those before it are served",
            WaitEstimate {
                wait_ms: 500,
                ..NEW_OPENER
            },
            true,
        ),
        (
            "late, behind one that has waited for a whole objective",
            WaitEstimate {
                wait_ms: 500,
                longest_wait_ms: 300,
                ..NEW_OPENER
            },
            false,
        ),
        (
            "in time, behind one that has waited for longer than its objective",
            WaitEstimate {
                longest_wait_ms: 900,
                ..NEW_OPENER
            },
            true,
        ),
        (
            "served after its caller gives up",
            WaitEstimate {
                age_ms: 1_400,
                ..NEW_OPENER
            },
            false,
        ),
        (
            "served after its attempt ends",
            WaitEstimate {
                attempt_age_ms: 1_350,
                wait_ms: 280,
                ..NEW_OPENER
            },
            false,
        ),
    ] {
        assert_eq!(estimate.should_wait(), should_wait, "{name}");
    }
}

#[test]
fn the_service_time_excludes_the_wait_in_the_server_queue() {
    let mut estimator = ServiceTimeEstimator::default();
    // Two slots with a service time of 40 ms, and ten more requests in the server's own queue.
    for answer in 0..200 {
        estimator.set_occupied(12, 2, answer * 20);
        estimator.record_answer((answer + 1) * 20);
    }
    let service_ms = estimator.service_ms();
    assert!((39.0..41.0).contains(&service_ms), "{service_ms}");
    estimator.set_occupied(12, 2, 4_000);
    estimator.set_occupied(12, 2, 4_300);
    assert!(estimator.service_ms() >= 600.0, "no answer for 300 ms");
    assert!(estimator.is_stuck());
}

proptest! {
    #[test]
    fn each_item_is_served_once_and_in_order_of_priority(
        entries in proptest::collection::vec((0u64..5, 0u8..3, 0u64..200), 1..60),
    ) {
        let mut queue = WaitQueue::default();
        for (item, (caller, priority, since_ms)) in entries.iter().enumerate() {
            queue.push(queued(item as u32, *caller, *priority, *since_ms));
        }
        // At this time all items can still meet their objective.
        let order = served(queue, 200);
        let mut sorted = order.clone();
        sorted.sort_unstable();
        prop_assert_eq!(sorted, (0..entries.len() as u32).collect::<Vec<_>>());
        let priorities: Vec<u8> = order.iter().map(|item| entries[*item as usize].1).collect();
        prop_assert!(priorities.is_sorted());
    }
}
