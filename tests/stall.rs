//! A backend server that takes requests and answers none for a minimum time is stalled. Servers that
//! are slow, idle, failing or just started are not, as a false stall would reset sound flows.

use endivedyke::{
    MIN_STALL_SILENCE_MS, RECOVERY_RAMP_MS, STALL_CHECK_INTERVAL_MS, STALL_PROBE_TIMEOUT_MS,
    StallDetector,
};
use proptest::prelude::*;

const SLOTS: u32 = 2;
/// The usual time until an answer, in milliseconds.
const USUAL_ANSWER_MS: u64 = 40;
/// The time of the last answers of [`detector_with_answers`], in milliseconds.
const BEGIN_MS: u64 = 5_000;
/// The interval of requests, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 50;

/// Returns the detector of a backend server that answered in the usual time until [`BEGIN_MS`].
fn detector_with_answers() -> StallDetector<u64> {
    let mut detector = StallDetector::new();
    for flow in 0..BEGIN_MS / REQUEST_INTERVAL_MS {
        answer_one(
            &mut detector,
            flow,
            flow * REQUEST_INTERVAL_MS,
            USUAL_ANSWER_MS,
        );
    }
    detector
}

fn answer_one(detector: &mut StallDetector<u64>, flow: u64, at_ms: u64, took_ms: u64) {
    detector.record_request(flow, true, at_ms);
    assert_eq!(detector.check(SLOTS, at_ms + took_ms / 2), None);
    detector.record_answer(flow, at_ms + took_ms);
}

/// One step of a test.
struct Step {
    at_ms: u64,
    /// The time since [`BEGIN_MS`], in milliseconds.
    passed_ms: u64,
}

/// Runs steps with regular checks; returns the time until a stall is detected, in milliseconds.
fn stalled_after(
    detector: &mut StallDetector<u64>,
    for_ms: u64,
    mut run_step: impl FnMut(&mut StallDetector<u64>, Step),
) -> Option<u64> {
    for passed_ms in (0..for_ms).step_by(REQUEST_INTERVAL_MS as usize) {
        let at_ms = BEGIN_MS + passed_ms;
        run_step(detector, Step { at_ms, passed_ms });
        if passed_ms % STALL_CHECK_INTERVAL_MS == 0 && detector.check(SLOTS, at_ms).is_some() {
            return Some(passed_ms);
        }
    }
    None
}

/// Checks a stalled backend server until `end_ms`.
fn check_until(detector: &mut StallDetector<u64>, end_ms: u64) {
    let from_ms = (BEGIN_MS..end_ms)
        .step_by(STALL_CHECK_INTERVAL_MS as usize)
        .find(|at_ms| detector.is_stalled(*at_ms));
    for at_ms in (from_ms.expect("a stall")..=end_ms).step_by(STALL_CHECK_INTERVAL_MS as usize) {
        detector.check(SLOTS, at_ms);
        assert!(detector.is_stalled(at_ms));
    }
}

#[test]
fn a_backend_server_that_accepts_requests_and_answers_none_is_stalled() {
    let mut detector = detector_with_answers();
    let after_ms = stalled_after(&mut detector, 5_000, |detector, step| {
        detector.record_request(step.at_ms, true, step.at_ms);
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
        "returned once"
    );
}

#[test]
fn one_answer_ends_a_stall_and_ramps_the_limit_up_from_one() {
    let mut detector = detector_with_answers();
    let after_ms = stalled_after(&mut detector, 5_000, |detector, step| {
        detector.record_request(step.at_ms, true, step.at_ms);
    });
    let end_ms = BEGIN_MS + after_ms.expect("a stall") + 3_000;
    check_until(&mut detector, end_ms);
    assert_eq!(
        detector.ramped_limit(4.0, end_ms),
        4.0,
        "before the recovery"
    );
    assert!(
        detector
            .record_answer(BEGIN_MS, end_ms)
            .is_some_and(|ms| ms >= 3_000)
    );
    assert!(!detector.is_stalled(end_ms));
    assert_eq!(
        detector.record_answer(BEGIN_MS + REQUEST_INTERVAL_MS, end_ms),
        None,
        "returned once"
    );
    let limits: Vec<f64> = [
        0,
        RECOVERY_RAMP_MS / 2,
        RECOVERY_RAMP_MS,
        9 * RECOVERY_RAMP_MS,
    ]
    .iter()
    .map(|passed_ms| detector.ramped_limit(4.0, end_ms + passed_ms))
    .collect();
    assert_eq!(limits, [1.0, 2.0, 4.0, 4.0]);
}

#[test]
fn answers_to_requests_from_before_a_recovery_do_not_delay_the_next_detection() {
    let mut detector = detector_with_answers();
    let hang = |detector: &mut StallDetector<u64>, step: Step| {
        detector.record_request(step.at_ms, true, step.at_ms);
    };
    let first_ms = stalled_after(&mut detector, 5_000, hang).expect("a stall");
    let end_ms = BEGIN_MS + first_ms + 2_000;
    check_until(&mut detector, end_ms);
    let waiting = (BEGIN_MS..=BEGIN_MS + first_ms).step_by(REQUEST_INTERVAL_MS as usize);
    for flow in waiting {
        detector.record_answer(flow, end_ms);
    }
    let mut second_ms = None;
    for passed_ms in (0..3_000).step_by(REQUEST_INTERVAL_MS as usize) {
        let at_ms = end_ms + 100 + passed_ms;
        detector.record_request(at_ms, true, at_ms);
        if detector.check(SLOTS, at_ms).is_some() {
            second_ms.get_or_insert(passed_ms);
        }
    }
    assert!(second_ms.is_some_and(|ms| ms <= MIN_STALL_SILENCE_MS + REQUEST_INTERVAL_MS));
}

#[test]
fn refusals_of_a_full_queue_do_not_hide_a_stall() {
    let mut detector = detector_with_answers();
    let after_ms = stalled_after(&mut detector, 5_000, |detector, step| {
        let flow = step.at_ms;
        detector.record_request(flow, true, step.at_ms);
        if step.passed_ms >= 10 * REQUEST_INTERVAL_MS {
            detector.remove_request(flow);
        }
    });
    assert!(after_ms.is_some_and(|ms| ms <= MIN_STALL_SILENCE_MS + STALL_CHECK_INTERVAL_MS));
}

#[test]
fn a_backend_server_that_fails_all_requests_quickly_is_not_stalled() {
    let mut detector = detector_with_answers();
    let stalled = stalled_after(&mut detector, 20_000, |detector, step| {
        detector.record_request(step.at_ms, true, step.at_ms);
        detector.remove_request(step.at_ms.saturating_sub(2 * REQUEST_INTERVAL_MS));
    });
    assert_eq!(stalled, None);
}

#[test]
fn a_stalled_backend_server_is_probed_with_one_request_at_a_time() {
    let mut detector = detector_with_answers();
    let after_ms = stalled_after(&mut detector, 5_000, |detector, step| {
        detector.record_request(step.at_ms, true, step.at_ms);
    });
    let at_ms = BEGIN_MS + after_ms.expect("a stall");
    assert!(!detector.may_probe(at_ms), "other requests wait there");
    let later_ms = at_ms + STALL_PROBE_TIMEOUT_MS;
    assert!(detector.may_probe(later_ms));
    detector.record_request(1, true, later_ms);
    assert!(!detector.may_probe(later_ms + 1));
    detector.remove_request(1);
    assert!(detector.may_probe(later_ms + 2));
}

#[test]
fn a_few_slow_requests_are_no_stall_while_others_are_answered() {
    let mut detector = detector_with_answers();
    for flow in 0..8 {
        detector.record_request(flow, true, BEGIN_MS);
    }
    let stalled = stalled_after(&mut detector, 20_000, |detector, step| {
        if step.passed_ms % 500 == 0 {
            detector.record_request(100, true, step.at_ms);
            detector.record_answer(100, step.at_ms + 1);
        }
    });
    assert_eq!(stalled, None);
}

#[test]
fn fewer_requests_than_slots_or_than_three_are_no_stall() {
    for (slots, waiting, is_stall) in [(1, 2, false), (1, 3, true), (8, 7, false), (8, 8, true)] {
        let mut detector = detector_with_answers();
        let mut stalled = false;
        for passed_ms in (0..4_000).step_by(STALL_CHECK_INTERVAL_MS as usize) {
            let at_ms = BEGIN_MS + passed_ms;
            if passed_ms == 0 {
                (0..waiting).for_each(|flow| detector.record_request(flow, true, at_ms));
            }
            // Requests keep arriving on one further flow, and their caller gives each up at once.
            detector.remove_request(900);
            detector.record_request(900, true, at_ms);
            stalled |= detector.check(slots, at_ms).is_some();
        }
        assert_eq!(stalled, is_stall, "{waiting} at {slots} slots");
    }
}

#[test]
fn requests_of_one_flow_are_no_stall() {
    let mut detector = detector_with_answers();
    let stalled = stalled_after(&mut detector, 10_000, |detector, step| {
        detector.record_request(7, true, step.at_ms);
    });
    assert_eq!(stalled, None);
}

#[test]
fn neither_idleness_nor_the_first_requests_after_it_are_a_stall() {
    let mut detector = detector_with_answers();
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
fn silence_without_further_arrivals_is_no_stall() {
    let mut detector = detector_with_answers();
    let stalled = stalled_after(&mut detector, 20_000, |detector, step| {
        if step.passed_ms == 0 {
            (0..20).for_each(|flow| detector.record_request(flow, true, step.at_ms));
        }
    });
    assert_eq!(stalled, None, "the sender of the requests may be cut off");
}

#[test]
fn a_backend_server_that_has_just_started_is_not_stalled() {
    let hang = |detector: &mut StallDetector<u64>, step: Step| {
        detector.record_request(step.at_ms, true, step.at_ms);
    };
    assert_eq!(stalled_after(&mut StallDetector::new(), 9_000, hang), None);
    let mut detector = detector_with_answers();
    detector.reset();
    assert_eq!(
        stalled_after(&mut detector, 9_000, hang),
        None,
        "a new process"
    );
}

#[test]
fn incomplete_uploads_are_no_stall() {
    let mut detector = detector_with_answers();
    let stalled = stalled_after(&mut detector, 20_000, |detector, step| {
        let flow = step.at_ms;
        detector.record_request(flow, true, step.at_ms);
        detector.record_request(flow, true, step.at_ms);
    });
    assert_eq!(stalled, None, "several packets of an upload");
    let stalled = stalled_after(&mut detector_with_answers(), 20_000, |detector, step| {
        detector.record_request(step.at_ms, false, step.at_ms);
    });
    assert_eq!(stalled, None, "a packet after which more may follow");
}

#[test]
fn requests_that_callers_gave_up_are_no_stall() {
    let mut detector = detector_with_answers();
    let stalled = stalled_after(&mut detector, 20_000, |detector, step| {
        detector.record_request(step.at_ms, true, step.at_ms);
        detector.remove_request(step.at_ms.saturating_sub(500));
    });
    assert_eq!(stalled, None);
}

#[test]
fn answers_somewhat_slower_than_recent_ones_are_no_stall() {
    let mut detector = detector_with_answers();
    answer_one(&mut detector, 1, BEGIN_MS, 200);
    for passed_ms in (0..2_000).step_by(REQUEST_INTERVAL_MS as usize) {
        detector.check(SLOTS, BEGIN_MS + 200 + passed_ms);
    }
    let mut at_ms = BEGIN_MS + 2_200;
    for took_ms in [600, 1_500, 3_000] {
        // All requests wait for a slot, for up to three times as long as the slowest answer so far.
        let end_ms = at_ms + took_ms;
        let mut flow = 1_000;
        while at_ms < end_ms {
            detector.record_request(flow, true, at_ms);
            assert_eq!(detector.check(SLOTS, at_ms), None, "{took_ms}");
            at_ms += REQUEST_INTERVAL_MS;
            flow += 1;
        }
        (1_000..flow).for_each(|flow| {
            detector.record_answer(flow, end_ms);
        });
    }
}

#[test]
fn a_pause_of_the_agent_restarts_the_measurement() {
    let mut detector = detector_with_answers();
    for flow in 0..10 {
        detector.record_request(flow, true, BEGIN_MS + flow);
    }
    let resumed_ms = BEGIN_MS + 3_000;
    detector.record_request(100, true, resumed_ms);
    for passed_ms in (0..9_000).step_by(STALL_CHECK_INTERVAL_MS as usize) {
        assert_eq!(detector.check(SLOTS, resumed_ms + passed_ms), None);
    }
    let mut detector = detector_with_answers();
    let after_ms = stalled_after(&mut detector, 5_000, |detector, step| {
        detector.record_request(step.at_ms, true, step.at_ms);
    });
    let stalled_ms = BEGIN_MS + after_ms.expect("a stall");
    let resumed_ms = stalled_ms + 400;
    assert!(
        !detector.is_stalled(resumed_ms),
        "a stall detected before a pause is void"
    );
    detector.check(SLOTS, resumed_ms);
    assert!(!detector.is_stalled(resumed_ms));
    for pause_ms in [400, 700, 5_000] {
        let mut detector = detector_with_answers();
        let mut at_ms = BEGIN_MS;
        for step in 0..200 {
            detector.record_request(at_ms, true, at_ms);
            assert_eq!(detector.check(SLOTS, at_ms), None, "repeated pauses");
            at_ms += if step % 4 == 3 {
                pause_ms
            } else {
                STALL_CHECK_INTERVAL_MS
            };
        }
    }
}

/// Replays requests, each with its start and duration, and returns whether a stall was detected.
fn detects_stall(requests: &[(u64, u64)], slots: u32) -> bool {
    let mut detector = detector_with_answers();
    let mut events: Vec<(u64, bool, u64)> = Vec::new();
    for (flow, (at_ms, took_ms)) in requests.iter().enumerate() {
        events.push((BEGIN_MS + at_ms, true, 10_000 + flow as u64));
        events.push((BEGIN_MS + at_ms + took_ms, false, 10_000 + flow as u64));
    }
    events.sort_unstable();
    let end_ms = events.last().map_or(0, |event| event.0);
    let mut events = events.into_iter().peekable();
    let mut stalled = false;
    for check_ms in (BEGIN_MS..end_ms + 10_000).step_by(STALL_CHECK_INTERVAL_MS as usize) {
        while let Some((at_ms, is_arrival, flow)) = events.next_if(|event| event.0 <= check_ms) {
            if is_arrival {
                detector.record_request(flow, true, at_ms);
            } else {
                detector.record_answer(flow, at_ms);
            }
        }
        stalled |= detector.check(slots, check_ms).is_some();
    }
    stalled
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Requests answered within the shortest silence are no stall, in any order and at any rate.
    #[test]
    fn requests_answered_within_the_shortest_silence_are_no_stall(
        requests in prop::collection::vec((0_u64..20_000, 0..MIN_STALL_SILENCE_MS), 1..400),
        slots in 0_u32..5,
    ) {
        prop_assert!(!detects_stall(&requests, slots));
    }

    /// Requests that take up to 1.5 times as long as the slowest one before are no stall.
    #[test]
    fn requests_about_as_slow_as_the_slowest_before_are_no_stall(
        slowest_ms in 500_u64..10_000,
        fractions in prop::collection::vec((0_u64..20_000, 0.0_f64..1.5), 1..300),
    ) {
        let first = (0, slowest_ms);
        let later = fractions.iter().map(|(at_ms, fraction)| {
            (2 * slowest_ms + at_ms, (fraction * slowest_ms as f64) as u64)
        });
        let requests: Vec<(u64, u64)> = std::iter::once(first).chain(later).collect();
        prop_assert!(!detects_stall(&requests, 2));
    }

    /// Service times with a heavy tail at a few slots, where requests wait for each other, are no
    /// stall.
    #[test]
    fn service_times_with_a_heavy_tail_are_no_stall(
        draws in prop::collection::vec((1_u64..120, 0.002_f64..1.0), 50..400),
    ) {
        let mut free_ms = [0_u64; SLOTS as usize];
        let mut at_ms = 0;
        let requests: Vec<(u64, u64)> = draws.iter().map(|(gap_ms, draw)| {
            at_ms += gap_ms;
            // A Pareto distribution with shape 1.5: one in a hundred takes twenty times the
            // minimum.
            let work_ms = (20.0 / draw.powf(1.0 / 1.5)) as u64;
            let slot = usize::from(free_ms[1] < free_ms[0]);
            let end_ms = free_ms[slot].max(at_ms) + work_ms;
            free_ms[slot] = end_ms;
            (at_ms, end_ms - at_ms)
        }).collect();
        prop_assert!(!detects_stall(&requests, SLOTS));
    }
}
