//! When it is proved that nobody holds a flow.

use endivedyke::opaque::{BackendState, Lookups, OpaqueMetrics, LookupPacket, LookupOutcome};

use crate::builder::{
    BALANCER, WIRE, directory, flow, host, publish, request, state_text, tell_deadline, vanish,
};

/// Who likely holds the flow.
const LIKELY: [u16; 3] = [7, 3, 9];

fn ask(lookups: &mut Lookups, hosts: u16) -> Vec<std::net::Ipv4Addr> {
    let packet = request(&flow(1), 42);
    let segment = (WIRE.decode)(&packet).expect("sound packet");
    let question = LookupPacket {
        segment: &segment,
        packet: &packet,
        balancer: BALANCER,
    };
    lookups.start(
        &directory(hosts),
        host(1),
        || LIKELY.map(host).to_vec(),
        &question,
        1_000,
    )
}

#[test]
fn a_lone_agent_proves_it_alone() {
    let mut lookups = Lookups::new(&OpaqueMetrics::default());
    assert!(ask(&mut lookups, 1).is_empty());
    let verdict = lookups.outcome(&flow(1), &directory(1), 1);
    assert_eq!(
        verdict,
        LookupOutcome::NotHeld {
            acknowledgement: 42
        }
    );
}

#[test]
fn a_backend_server_that_appears_meanwhile_is_asked_too() {
    let mut lookups = Lookups::new(&OpaqueMetrics::default());
    assert_eq!(ask(&mut lookups, 2), [host(2)]);
    lookups.record_absent(&flow(1), host(2), 2);
    let mut grown = directory(3);
    assert_eq!(lookups.outcome(&flow(1), &grown, 3), LookupOutcome::Pending);
    let due = lookups.due_queries(&grown, 1_200);
    assert_eq!(
        due.iter().map(|(host, _)| *host).collect::<Vec<_>>(),
        [host(3)]
    );
    // One that vanished without draining may come back; one that drained before is gone.
    vanish(&mut grown, 3, 9, 1_300);
    assert_eq!(lookups.outcome(&flow(1), &grown, 9), LookupOutcome::Pending);
    publish(
        &mut grown,
        3,
        &state_text(3, BackendState::Draining),
        10,
        1_400,
    );
    vanish(&mut grown, 3, 11, 1_500);
    assert_ne!(lookups.outcome(&flow(1), &grown, 11), LookupOutcome::Pending);
}

#[test]
fn a_question_is_asked_once_and_given_up_in_time() {
    let mut lookups = Lookups::new(&OpaqueMetrics::default());
    assert_eq!(ask(&mut lookups, 3).len(), 2);
    assert!(ask(&mut lookups, 3).is_empty(), "one is open already");
    assert!(lookups.due_queries(&directory(3), 1_100).is_empty(), "too soon");
    assert_eq!(lookups.due_queries(&directory(3), 1_200).len(), 2);
    lookups.due_queries(&directory(3), 3_000);
    assert!(lookups.is_empty());
}

#[test]
fn on_a_large_site_the_likely_holders_are_asked_first_and_the_others_soon() {
    let mut lookups = Lookups::new(&OpaqueMetrics::default());
    assert_eq!(ask(&mut lookups, 33).len(), 32, "few enough to ask all");
    lookups.cancel(&flow(1));
    assert_eq!(ask(&mut lookups, 34), LIKELY.map(host));
    lookups.record_absent(&flow(1), host(LIKELY[0]), 34);
    assert!(lookups.due_queries(&directory(34), 1_019).is_empty(), "too soon");
    let widened = lookups.due_queries(&directory(34), 1_020);
    assert_eq!(widened.len(), 32, "all but the one that answered");
    assert_eq!(lookups.outcome(&flow(1), &directory(34), 34), LookupOutcome::Pending);
    for index in 2..=34 {
        lookups.record_absent(&flow(1), host(index), 34);
    }
    assert_ne!(lookups.outcome(&flow(1), &directory(34), 34), LookupOutcome::Pending);
}

#[test]
fn a_site_too_large_to_ask_whole_asks_a_bounded_number_and_proves_nothing() {
    for count in [260, 300, 1_000, 6_000] {
        let directory = directory(count);
        let mut lookups = Lookups::new(&OpaqueMetrics::default());
        assert_eq!(ask(&mut lookups, count), LIKELY.map(host));
        assert!(lookups.due_queries(&directory, 1_019).is_empty(), "too soon");
        let revision = u64::from(count);
        let near = lookups.due_queries(&directory, 1_020);
        assert_eq!(near.len(), 64, "{count} agents");
        for (host, _) in &near[1..] {
            lookups.record_absent(&flow(1), *host, revision);
        }
        let silent = lookups.due_queries(&directory, 1_220);
        assert_eq!(silent, near[..1], "the silent one most likely holds it");
        lookups.record_absent(&flow(1), near[0].0, revision);
        let far = lookups.due_queries(&directory, 1_420);
        assert_eq!(far.len(), 256 - 64, "{count} agents");
        for (host, _) in far {
            lookups.record_absent(&flow(1), host, revision);
        }
        assert!(
            lookups.due_queries(&directory, 1_620).is_empty(),
            "all of them answered"
        );
        let verdict = lookups.outcome(&flow(1), &directory, revision);
        assert_eq!(verdict, LookupOutcome::Pending);
    }
}

#[test]
fn agents_that_are_too_busy_to_answer_are_asked_ever_less_often() {
    for (has_deadline, expected_ms) in [
        (true, vec![1_200, 1_400, 1_800]),
        (false, (1_200..2_600).step_by(200).collect()),
    ] {
        let mut lookups = Lookups::new(&OpaqueMetrics::default());
        ask(&mut lookups, 2);
        let mut directory = directory(2);
        if has_deadline {
            tell_deadline(&mut directory);
        }
        let asked_at = |now_ms: &u64| !lookups.due_queries(&directory, *now_ms).is_empty();
        let asked_ms: Vec<u64> = (1_000..3_000).step_by(10).filter(asked_at).collect();
        assert_eq!(asked_ms, expected_ms);
    }
}
