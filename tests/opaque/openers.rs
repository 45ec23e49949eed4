//! The openers that an agent takes under overload, and the notification of balancers about refused
//! ones.

use endivedyke::opaque::{
    Action, BackendState, FlowKey, MessageKind, ROUTES_HEADER, RouteTable, cold_backend_text,
};

use crate::builder::{
    AgentUnderTest, BALANCER, CALLED, SERVICE, entry_text, flow, opener, publish, reaches_backend,
    request, resets,
};

#[test]
fn under_overload_fresh_openers_are_taken_first() {
    // With four slots the limits are eight requests for the first copy, six for the second and four for
    // the last.
    for (busy, taken) in [
        (3, [true, true, true]),
        (5, [true, true, false]),
        (7, [true, false, false]),
    ] {
        for (copy, taken) in taken.into_iter().enumerate() {
            let mut agent = AgentUnderTest::new(3, true);
            for port in 100..100 + busy {
                agent.deliver(&opener(&flow(port), 0));
            }
            let actions = agent.deliver(&opener(&flow(1), copy as u32));
            assert_eq!(reaches_backend(&actions), taken, "{busy} busy, copy {copy}");
        }
    }
}

#[test]
fn a_retry_has_the_limit_of_a_copy_of_the_same_age() {
    // With four slots and seven requests there, only fresh openers are taken.
    for (waited_ms, taken) in [(0, true), (100, true), (200, false), (600, false)] {
        let mut agent = AgentUnderTest::new(3, true);
        for port in 100..107 {
            agent.deliver(&opener(&flow(port), 0));
        }
        let actions = agent.deliver_retry(&opener(&flow(1), 0), waited_ms);
        assert_eq!(reaches_backend(&actions), taken, "waited {waited_ms} ms");
    }
}

#[test]
fn an_opener_that_is_passed_on_keeps_its_age() {
    let mut agent = AgentUnderTest::new(3, true);
    agent.leave();
    let actions = agent.deliver_retry(&opener(&flow(1), 0), 700);
    let passed_on = actions.iter().find_map(|action| match action {
        Action::ToPeer(_, message, _) if message.kind == MessageKind::HandOn => Some(*message),
        _ => None,
    });
    assert_eq!(passed_on.map(|message| message.waited_ms), Some(700));
}

/// Returns the waits in the reports of failed attempts to the balancer.
fn failed_waits_ms(actions: &[Action]) -> Vec<u16> {
    let waits = actions.iter().filter_map(|action| match action {
        Action::ToPeer(BALANCER, message, _) if message.kind == MessageKind::AttemptFailed => {
            Some(message.waited_ms)
        }
        _ => None,
    });
    waits.collect()
}

#[test]
fn balancers_are_notified_of_a_refused_opener_with_the_wait_of_its_caller() {
    let mut agent = AgentUnderTest::new(1, true);
    agent.leave();
    let actions = agent.deliver_retry(&opener(&flow(1), 2), 700);
    assert_eq!(failed_waits_ms(&actions), [1_300]);
    // A dropped copy is no failed attempt, since its caller sends the next one.
    assert!(failed_waits_ms(&agent.deliver(&opener(&flow(2), 1))).is_empty());
}

#[test]
fn balancers_are_notified_of_a_flow_that_is_gone_if_its_caller_may_retry() {
    for (repeatable, expected_waits_ms) in [("yes", vec![0]), ("no", vec![])] {
        let mut agent = AgentUnderTest::new(1, true);
        let routes = format!("{ROUTES_HEADER}\n{CALLED},{SERVICE},1,2,{repeatable}\n");
        agent
            .directory
            .set_routes(RouteTable::parse(&routes).expect("sound routes"));
        let actions = agent.deliver(&request(&flow(1), 7));
        assert_eq!(resets(&actions), [flow(1)]);
        assert_eq!(
            failed_waits_ms(&actions),
            expected_waits_ms,
            "repeatable: {repeatable}"
        );
    }
}

#[test]
fn a_cold_backend_server_takes_fewer_openers() {
    // With four slots the cold limits are six requests for the first copy, four for the second and three
    // for the last.
    for (busy, cold, warm) in [
        (2, [true, true, true], [true, true, true]),
        (3, [true, true, false], [true, true, true]),
        (4, [true, false, false], [true, true, false]),
        (6, [false, false, false], [true, false, false]),
    ] {
        for copy in 0..3 {
            for (after_ms, taken) in [(1_999, cold[copy]), (2_000, warm[copy])] {
                let mut agent = AgentUnderTest::new(3, true);
                let text = cold_backend_text(&entry_text(1, BackendState::Ready), 2_000);
                publish(&mut agent.directory, 1, &text, 9, 1_000);
                agent.now_ms = 1_000 + after_ms;
                for port in 100..100 + busy {
                    agent.deliver(&opener(&flow(port), 0));
                }
                let actions = agent.deliver(&opener(&flow(1), copy as u32));
                assert_eq!(
                    reaches_backend(&actions),
                    taken,
                    "{busy} busy, copy {copy}, after {after_ms} ms"
                );
            }
        }
    }
}

#[test]
fn urgent_openers_are_taken_where_others_are_not() {
    let mut agent = AgentUnderTest::new(1, true);
    let routes =
        format!("{ROUTES_HEADER}\n{CALLED},{SERVICE},1,2,yes\n192.0.2.2:443,{SERVICE},1,1,no\n");
    agent
        .directory
        .set_routes(RouteTable::parse(&routes).expect("sound routes"));
    for port in 1..=8 {
        agent.deliver(&opener(&flow(port), 0));
    }
    assert!(!reaches_backend(&agent.deliver(&opener(&flow(9), 0))));
    for port in 20..24 {
        let urgent = FlowKey {
            called: "192.0.2.2:443".parse().expect("address"),
            ..flow(port)
        };
        assert!(reaches_backend(&agent.deliver(&opener(&urgent, 0))));
    }
    let urgent = FlowKey {
        called: "192.0.2.2:443".parse().expect("address"),
        ..flow(30)
    };
    assert!(!reaches_backend(&agent.deliver(&opener(&urgent, 0))));
}
