//! Lookups of a flow's holder, and the proof that no agent holds the flow.

use endivedyke::opaque::{BackendState, LookupOutcome, LookupPacket, Lookups, OpaqueMetrics};

use crate::builder::{
    BALANCER, WIRE, directory, entry_text, flow, host, publish, remove_entry, request, set_deadline,
};

/// The agents that likely hold the flow.
const LIKELY: [u16; 3] = [7, 3, 9];

fn start_lookup(lookups: &mut Lookups, hosts: u16) -> Vec<std::net::Ipv4Addr> {
    let packet = request(&flow(1), 42);
    let segment = (WIRE.decode)(&packet).expect("sound packet");
    let lookup_packet = LookupPacket {
        segment: &segment,
        packet: &packet,
        balancer: BALANCER,
    };
    lookups.start(
        &directory(hosts),
        host(1),
        || LIKELY.map(host).to_vec(),
        &lookup_packet,
        1_000,
    )
}

#[test]
fn a_single_agent_proves_that_a_flow_is_not_held() {
    let mut lookups = Lookups::new(&OpaqueMetrics::default());
    assert!(start_lookup(&mut lookups, 1).is_empty());
    let outcome = lookups.outcome(&flow(1), &directory(1), 1);
    assert_eq!(
        outcome,
        LookupOutcome::NotHeld {
            acknowledgement: 42
        }
    );
}

#[test]
fn a_backend_server_that_appears_during_a_lookup_is_queried_too() {
    let mut lookups = Lookups::new(&OpaqueMetrics::default());
    assert_eq!(start_lookup(&mut lookups, 2), [host(2)]);
    lookups.record_absent(&flow(1), host(2), 2);
    let mut grown = directory(3);
    assert_eq!(lookups.outcome(&flow(1), &grown, 3), LookupOutcome::Pending);
    let due = lookups.due_queries(&grown, 1_200);
    assert_eq!(
        due.iter().map(|(host, _)| *host).collect::<Vec<_>>(),
        [host(3)]
    );
    // A backend server that vanished without draining may come back. One that drained first is gone.
    remove_entry(&mut grown, 3, 9, 1_300);
    assert_eq!(lookups.outcome(&flow(1), &grown, 9), LookupOutcome::Pending);
    publish(
        &mut grown,
        3,
        &entry_text(3, BackendState::Draining),
        10,
        1_400,
    );
    remove_entry(&mut grown, 3, 11, 1_500);
    assert_ne!(
        lookups.outcome(&flow(1), &grown, 11),
        LookupOutcome::Pending
    );
}

#[test]
fn a_lookup_is_started_once_and_given_up_after_its_timeout() {
    let mut lookups = Lookups::new(&OpaqueMetrics::default());
    assert_eq!(start_lookup(&mut lookups, 3).len(), 2);
    assert!(
        start_lookup(&mut lookups, 3).is_empty(),
        "a lookup is already pending"
    );
    assert!(
        lookups.due_queries(&directory(3), 1_100).is_empty(),
        "too soon"
    );
    assert_eq!(lookups.due_queries(&directory(3), 1_200).len(), 2);
    lookups.due_queries(&directory(3), 3_000);
    assert!(lookups.is_empty());
}

#[test]
fn on_a_large_site_the_likely_holders_are_queried_first_and_then_the_others() {
    let mut lookups = Lookups::new(&OpaqueMetrics::default());
    assert_eq!(
        start_lookup(&mut lookups, 33).len(),
        32,
        "few enough to query all"
    );
    lookups.cancel(&flow(1));
    assert_eq!(start_lookup(&mut lookups, 34), LIKELY.map(host));
    lookups.record_absent(&flow(1), host(LIKELY[0]), 34);
    assert!(
        lookups.due_queries(&directory(34), 1_019).is_empty(),
        "too soon"
    );
    let widened = lookups.due_queries(&directory(34), 1_020);
    assert_eq!(widened.len(), 32, "all but the one that answered");
    assert_eq!(
        lookups.outcome(&flow(1), &directory(34), 34),
        LookupOutcome::Pending
    );
    for index in 2..=34 {
        lookups.record_absent(&flow(1), host(index), 34);
    }
    assert_ne!(
        lookups.outcome(&flow(1), &directory(34), 34),
        LookupOutcome::Pending
    );
}

#[test]
fn on_a_very_large_site_a_lookup_queries_a_bounded_number_and_proves_nothing() {
    for count in [260, 300, 1_000, 6_000] {
        let directory = directory(count);
        let mut lookups = Lookups::new(&OpaqueMetrics::default());
        assert_eq!(start_lookup(&mut lookups, count), LIKELY.map(host));
        assert!(
            lookups.due_queries(&directory, 1_019).is_empty(),
            "too soon"
        );
        let revision = u64::from(count);
        let near = lookups.due_queries(&directory, 1_020);
        assert_eq!(near.len(), 64, "{count} agents");
        for (host, _) in &near[1..] {
            lookups.record_absent(&flow(1), *host, revision);
        }
        let silent = lookups.due_queries(&directory, 1_220);
        assert_eq!(
            silent,
            near[..1],
            "the agent that did not answer most likely holds the flow"
        );
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
        let outcome = lookups.outcome(&flow(1), &directory, revision);
        assert_eq!(outcome, LookupOutcome::Pending);
    }
}

// After a restart of all processes, agents are too busy to answer at once. Repeated queries at a fixed
// interval would keep them busy for as long as callers with a deadline wait.
#[test]
fn with_a_deadline_the_interval_between_retries_doubles() {
    for (has_deadline, expected_ms) in [
        (true, vec![1_200, 1_400, 1_800]),
        (false, (1_200..2_600).step_by(200).collect()),
    ] {
        let mut lookups = Lookups::new(&OpaqueMetrics::default());
        start_lookup(&mut lookups, 2);
        let mut directory = directory(2);
        if has_deadline {
            set_deadline(&mut directory);
        }
        let is_queried_at = |now_ms: &u64| !lookups.due_queries(&directory, *now_ms).is_empty();
        let queried_ms: Vec<u64> = (1_000..3_000).step_by(10).filter(is_queried_at).collect();
        assert_eq!(queried_ms, expected_ms);
    }
}
