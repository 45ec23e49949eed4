//! A backend server counts as standing still when it serves nothing for long, and never else.

use endivedyke::{
    MIN_STALL_SILENCE_MS, RECOVERY_RAMP_MS, STALL_CHECK_INTERVAL_MS, STALL_PROBE_TIMEOUT_MS,
    StallDetector,
};
use proptest::prelude::*;

const SLOTS: u32 = 2;
/// The time of an ordinary answer, in milliseconds.
const USUAL_MS: u64 = 40;
/// When [`served`] has ended, in milliseconds.
const BEGIN_MS: u64 = 5_000;
/// How often a request comes in, in milliseconds.
const GAP_MS: u64 = 50;

/// Returns a detector of a backend server that has answered requests in the usual time until [`BEGIN_MS`].
fn served() -> StallDetector<u64> {
    let mut detector = StallDetector::new();
    for flow in 0..BEGIN_MS / GAP_MS {
        answer_one(&mut detector, flow, flow * GAP_MS, USUAL_MS);
    }
    detector
}

fn answer_one(detector: &mut StallDetector<u64>, flow: u64, at_ms: u64, took_ms: u64) {
    detector.record_request(flow, true, at_ms);
    assert_eq!(detector.check(SLOTS, at_ms + took_ms / 2), None);
    detector.record_answer(flow, at_ms + took_ms);
}

/// What happens at one moment of a test.
struct Moment {
    at_ms: u64,
    /// How long it is since the test began, in milliseconds.
    passed_ms: u64,
}

/// Lets time pass in looks; returns after how long a stall was seen first, in milliseconds.
fn stalled_after(
    detector: &mut StallDetector<u64>,
    for_ms: u64,
    mut happens: impl FnMut(&mut StallDetector<u64>, Moment),
) -> Option<u64> {
    for passed_ms in (0..for_ms).step_by(GAP_MS as usize) {
        let at_ms = BEGIN_MS + passed_ms;
        happens(detector, Moment { at_ms, passed_ms });
        if passed_ms % STALL_CHECK_INTERVAL_MS == 0 && detector.check(SLOTS, at_ms).is_some() {
            return Some(passed_ms);
        }
    }
    None
}

/// Looks at a backend server that is believed to stand still until a time.
fn look_until(detector: &mut StallDetector<u64>, end_ms: u64) {
    let from_ms = (BEGIN_MS..end_ms)
        .step_by(STALL_CHECK_INTERVAL_MS as usize)
        .find(|at_ms| detector.is_stalled(*at_ms));
    for at_ms in (from_ms.expect("a stall")..=end_ms).step_by(STALL_CHECK_INTERVAL_MS as usize) {
        detector.check(SLOTS, at_ms);
        assert!(detector.is_stalled(at_ms));
    }
}

#[test]
fn a_backend_server_that_takes_requests_and_answers_none_stands_still() {
    let mut detector = served();
    let after_ms = stalled_after(&mut detector, 5_000, |detector, moment| {
        detector.record_request(moment.at_ms, true, moment.at_ms);
    });
    let after_ms = after_ms.expect("a stall");
    assert!(
        (MIN_STALL_SILENCE_MS..=MIN_STALL_SILENCE_MS + 200).contains(&after_ms),
        "{after_ms}"
    );
    assert!(detector.is_stalled(BEGIN_MS + after_ms));
    assert_eq!(
        detector.check(SLOTS, BEGIN_MS + after_ms + STALL_CHECK_INTERVAL_MS),
        None,
        "said once"
    );
}

#[test]
fn one_answer_ends_a_stall_and_its_room_grows_from_one() {
    let mut detector = served();
    let after_ms = stalled_after(&mut detector, 5_000, |detector, moment| {
        detector.record_request(moment.at_ms, true, moment.at_ms);
    });
    let end_ms = BEGIN_MS + after_ms.expect("a stall") + 3_000;
    look_until(&mut detector, end_ms);
    assert_eq!(
        detector.ramped_limit(4.0, end_ms),
        4.0,
        "before it came back"
    );
    assert!(
        detector
            .record_answer(BEGIN_MS, end_ms)
            .is_some_and(|ms| ms >= 3_000)
    );
    assert!(!detector.is_stalled(end_ms));
    assert_eq!(
        detector.record_answer(BEGIN_MS + GAP_MS, end_ms),
        None,
        "told once"
    );
    let rooms: Vec<f64> = [
        0,
        RECOVERY_RAMP_MS / 2,
        RECOVERY_RAMP_MS,
        9 * RECOVERY_RAMP_MS,
    ]
    .iter()
    .map(|passed_ms| detector.ramped_limit(4.0, end_ms + passed_ms))
    .collect();
    assert_eq!(rooms, [1.0, 2.0, 4.0, 4.0]);
}

#[test]
fn answers_that_outlived_a_stall_do_not_make_the_next_one_longer() {
    let mut detector = served();
    let hangs = |detector: &mut StallDetector<u64>, moment: Moment| {
        detector.record_request(moment.at_ms, true, moment.at_ms);
    };
    let first_ms = stalled_after(&mut detector, 5_000, hangs).expect("a stall");
    let end_ms = BEGIN_MS + first_ms + 2_000;
    look_until(&mut detector, end_ms);
    let waiting = (BEGIN_MS..=BEGIN_MS + first_ms).step_by(GAP_MS as usize);
    for flow in waiting {
        detector.record_answer(flow, end_ms);
    }
    let mut second_ms = None;
    for passed_ms in (0..3_000).step_by(GAP_MS as usize) {
        let at_ms = end_ms + 100 + passed_ms;
        detector.record_request(at_ms, true, at_ms);
        if detector.check(SLOTS, at_ms).is_some() {
            second_ms.get_or_insert(passed_ms);
        }
    }
    assert!(second_ms.is_some_and(|ms| ms <= MIN_STALL_SILENCE_MS + GAP_MS));
}

#[test]
fn refusals_of_a_full_queue_do_not_hide_a_stall() {
    let mut detector = served();
    let after_ms = stalled_after(&mut detector, 5_000, |detector, moment| {
        let flow = moment.at_ms;
        detector.record_request(flow, true, moment.at_ms);
        if moment.passed_ms >= 10 * GAP_MS {
            detector.remove_request(flow);
        }
    });
    assert!(after_ms.is_some_and(|ms| ms <= MIN_STALL_SILENCE_MS + STALL_CHECK_INTERVAL_MS));
}

#[test]
fn a_backend_server_that_fails_all_requests_at_once_is_no_stall() {
    let mut detector = served();
    let stalled = stalled_after(&mut detector, 20_000, |detector, moment| {
        detector.record_request(moment.at_ms, true, moment.at_ms);
        detector.remove_request(moment.at_ms.saturating_sub(2 * GAP_MS));
    });
    assert_eq!(stalled, None);
}

#[test]
fn a_backend_server_that_stands_still_is_tried_with_one_request_at_a_time() {
    let mut detector = served();
    let after_ms = stalled_after(&mut detector, 5_000, |detector, moment| {
        detector.record_request(moment.at_ms, true, moment.at_ms);
    });
    let at_ms = BEGIN_MS + after_ms.expect("a stall");
    assert!(!detector.may_probe(at_ms), "others wait there");
    let later_ms = at_ms + STALL_PROBE_TIMEOUT_MS;
    assert!(detector.may_probe(later_ms));
    detector.record_request(1, true, later_ms);
    assert!(!detector.may_probe(later_ms + 1));
    detector.remove_request(1);
    assert!(detector.may_probe(later_ms + 2));
}

#[test]
fn one_slow_request_or_a_few_are_no_stall_while_others_are_answered() {
    let mut detector = served();
    for flow in 0..8 {
        detector.record_request(flow, true, BEGIN_MS);
    }
    let stalled = stalled_after(&mut detector, 20_000, |detector, moment| {
        if moment.passed_ms % 500 == 0 {
            detector.record_request(100, true, moment.at_ms);
            detector.record_answer(100, moment.at_ms + 1);
        }
    });
    assert_eq!(stalled, None);
}

#[test]
fn fewer_requests_than_slots_or_three_are_no_stall() {
    for (slots, waiting, is_stall) in [(1, 2, false), (1, 3, true), (8, 7, false), (8, 8, true)] {
        let mut detector = served();
        let mut stalled = false;
        for passed_ms in (0..4_000).step_by(STALL_CHECK_INTERVAL_MS as usize) {
            let at_ms = BEGIN_MS + passed_ms;
            if passed_ms == 0 {
                (0..waiting).for_each(|flow| detector.record_request(flow, true, at_ms));
            }
            // A further request keeps coming in on one flow, and is given up by its caller at once.
            detector.remove_request(900);
            detector.record_request(900, true, at_ms);
            stalled |= detector.check(slots, at_ms).is_some();
        }
        assert_eq!(stalled, is_stall, "{waiting} at {slots} slots");
    }
}

#[test]
fn requests_of_one_flow_are_no_stall() {
    let mut detector = served();
    let stalled = stalled_after(&mut detector, 10_000, |detector, moment| {
        detector.record_request(7, true, moment.at_ms);
    });
    assert_eq!(stalled, None);
}

#[test]
fn an_idle_backend_server_is_no_stall_nor_is_its_first_work_after_it() {
    let mut detector = served();
    assert_eq!(stalled_after(&mut detector, 20_000, |_, _| {}), None);
    let at_ms = BEGIN_MS + 20_000;
    for flow in 0..10 {
        detector.record_request(flow, true, at_ms);
    }
    for passed_ms in (0..MIN_STALL_SILENCE_MS).step_by(STALL_CHECK_INTERVAL_MS as usize) {
        assert_eq!(detector.check(SLOTS, at_ms + passed_ms), None);
    }
}

#[test]
fn silence_without_further_requests_is_no_stall() {
    let mut detector = served();
    let stalled = stalled_after(&mut detector, 20_000, |detector, moment| {
        if moment.passed_ms == 0 {
            (0..20).for_each(|flow| detector.record_request(flow, true, moment.at_ms));
        }
    });
    assert_eq!(stalled, None, "whoever hands them over may be cut off");
}

#[test]
fn a_backend_server_that_has_just_started_is_no_stall() {
    let hangs = |detector: &mut StallDetector<u64>, moment: Moment| {
        detector.record_request(moment.at_ms, true, moment.at_ms);
    };
    assert_eq!(stalled_after(&mut StallDetector::new(), 9_000, hangs), None);
    let mut detector = served();
    detector.reset();
    assert_eq!(
        stalled_after(&mut detector, 9_000, hangs),
        None,
        "a new process"
    );
}

#[test]
fn uploads_that_are_under_way_are_no_stall() {
    let mut detector = served();
    let stalled = stalled_after(&mut detector, 20_000, |detector, moment| {
        let flow = moment.at_ms;
        detector.record_request(flow, true, moment.at_ms);
        detector.record_request(flow, true, moment.at_ms);
    });
    assert_eq!(stalled, None, "of several packets");
    let stalled = stalled_after(&mut served(), 20_000, |detector, moment| {
        detector.record_request(moment.at_ms, false, moment.at_ms);
    });
    assert_eq!(stalled, None, "of a packet behind which more may come");
}

#[test]
fn requests_that_callers_gave_up_are_no_stall() {
    let mut detector = served();
    let stalled = stalled_after(&mut detector, 20_000, |detector, moment| {
        detector.record_request(moment.at_ms, true, moment.at_ms);
        detector.remove_request(moment.at_ms.saturating_sub(500));
    });
    assert_eq!(stalled, None);
}

#[test]
fn answers_as_slow_as_some_before_are_no_stall() {
    let mut detector = served();
    answer_one(&mut detector, 1, BEGIN_MS, 200);
    for passed_ms in (0..2_000).step_by(GAP_MS as usize) {
        detector.check(SLOTS, BEGIN_MS + 200 + passed_ms);
    }
    let mut at_ms = BEGIN_MS + 2_200;
    for took_ms in [600, 1_500, 3_000] {
        // All wait behind the slots, as long as the slowest answer before took and a half more.
        let end_ms = at_ms + took_ms;
        let mut flow = 1_000;
        while at_ms < end_ms {
            detector.record_request(flow, true, at_ms);
            assert_eq!(detector.check(SLOTS, at_ms), None, "{took_ms}");
            at_ms += GAP_MS;
            flow += 1;
        }
        (1_000..flow).for_each(|flow| {
            detector.record_answer(flow, end_ms);
        });
    }
}

#[test]
fn a_pause_of_the_agent_begins_the_measurement_anew() {
    let mut detector = served();
    for flow in 0..10 {
        detector.record_request(flow, true, BEGIN_MS + flow);
    }
    let resumed_ms = BEGIN_MS + 3_000;
    detector.record_request(100, true, resumed_ms);
    for passed_ms in (0..9_000).step_by(STALL_CHECK_INTERVAL_MS as usize) {
        assert_eq!(detector.check(SLOTS, resumed_ms + passed_ms), None);
    }
    let mut detector = served();
    let after_ms = stalled_after(&mut detector, 5_000, |detector, moment| {
        detector.record_request(moment.at_ms, true, moment.at_ms);
    });
    let stalled_ms = BEGIN_MS + after_ms.expect("a stall");
    let resumed_ms = stalled_ms + 400;
    assert!(
        !detector.is_stalled(resumed_ms),
        "what was believed before a pause is void"
    );
    detector.check(SLOTS, resumed_ms);
    assert!(!detector.is_stalled(resumed_ms));
    for pause_ms in [400, 700, 5_000] {
        let mut detector = served();
        let mut at_ms = BEGIN_MS;
        for step in 0..200 {
            detector.record_request(at_ms, true, at_ms);
            assert_eq!(detector.check(SLOTS, at_ms), None, "paused again and again");
            at_ms += if step % 4 == 3 {
                pause_ms
            } else {
                STALL_CHECK_INTERVAL_MS
            };
        }
    }
}

/// Plays requests that come and end at given times; tells whether a stall was ever seen.
fn stalls_in(requests: &[(u64, u64)], slots: u32) -> bool {
    let mut detector = served();
    let mut events: Vec<(u64, bool, u64)> = Vec::new();
    for (flow, (at_ms, took_ms)) in requests.iter().enumerate() {
        events.push((BEGIN_MS + at_ms, true, 10_000 + flow as u64));
        events.push((BEGIN_MS + at_ms + took_ms, false, 10_000 + flow as u64));
    }
    events.sort_unstable();
    let end_ms = events.last().map_or(0, |event| event.0);
    let mut events = events.into_iter().peekable();
    let mut stalled = false;
    for look_ms in (BEGIN_MS..end_ms + 10_000).step_by(STALL_CHECK_INTERVAL_MS as usize) {
        while let Some((at_ms, comes, flow)) = events.next_if(|event| event.0 <= look_ms) {
            if comes {
                detector.record_request(flow, true, at_ms);
            } else {
                detector.record_answer(flow, at_ms);
            }
        }
        stalled |= detector.check(slots, look_ms).is_some();
    }
    stalled
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Whatever is answered within the least silence is no stall, in any order and at any rate.
    #[test]
    fn requests_answered_in_time_never_look_like_a_stall(
        requests in prop::collection::vec((0_u64..20_000, 0..MIN_STALL_SILENCE_MS), 1..400),
        slots in 0_u32..5,
    ) {
        prop_assert!(!stalls_in(&requests, slots));
    }

    /// Times as long as those that were seen before, and half as long again, are no stall either.
    #[test]
    fn requests_as_slow_as_some_before_never_look_like_a_stall(
        slowest_ms in 500_u64..10_000,
        parts in prop::collection::vec((0_u64..20_000, 0.0_f64..1.5), 1..300),
    ) {
        let first = (0, slowest_ms);
        let later = parts.iter().map(|(at_ms, part)| {
            (2 * slowest_ms + at_ms, (part * slowest_ms as f64) as u64)
        });
        let requests: Vec<(u64, u64)> = std::iter::once(first).chain(later).collect();
        prop_assert!(!stalls_in(&requests, 2));
    }

    /// A heavy tail of service times at a few slots, whose requests wait for each other, is no stall.
    #[test]
    fn a_queue_with_a_long_tail_never_looks_like_a_stall(
        draws in prop::collection::vec((1_u64..120, 0.002_f64..1.0), 50..400),
    ) {
        let mut free_ms = [0_u64; SLOTS as usize];
        let mut at_ms = 0;
        let requests: Vec<(u64, u64)> = draws.iter().map(|(gap_ms, draw)| {
            at_ms += gap_ms;
            // A Pareto distribution with a shape of 1.5: one of a hundred takes twenty times the least.
            let work_ms = (20.0 / draw.powf(1.0 / 1.5)) as u64;
            let slot = usize::from(free_ms[1] < free_ms[0]);
            let end_ms = free_ms[slot].max(at_ms) + work_ms;
            free_ms[slot] = end_ms;
            (at_ms, end_ms - at_ms)
        }).collect();
        prop_assert!(!stalls_in(&requests, SLOTS));
    }
}
