//! What an agent does with packets.

use endivedyke::ServiceId;
use endivedyke::opaque::{
    Action, BackendState, FlowKey, KeeperIdentity, Message, MessageKind, ROUTES_HEADER, RouteTable,
    cold_backend_text,
};

use crate::builder::{self, host};
use crate::builder::{
    ACK, AgentUnderTest, BALANCER, CALLED, FIN, PacketSpec, SERVICE, acceptance, bounced, flow,
    from_backend, hosts_told, opener, publish, reaches_backend, request, resets, state_text,
    vanish,
};

#[test]
fn an_opener_is_taken_and_its_balancer_told() {
    let mut agent = AgentUnderTest::new(1, true);
    let actions = agent.deliver(&opener(&flow(1), 0));
    assert!(reaches_backend(&actions));
    assert_eq!(hosts_told(&actions, MessageKind::Holds), [BALANCER]);
}

#[test]
fn a_draining_or_crowded_or_silent_backend_server_takes_no_opener() {
    let mut draining = AgentUnderTest::new(3, true);
    publish(
        &mut draining.directory,
        1,
        &state_text(1, BackendState::Draining),
        9,
        0,
    );

    let mut crowded = AgentUnderTest::new(3, true);
    for port in 100..108 {
        crowded.deliver(&opener(&flow(port), 0));
    }

    let mut silent = AgentUnderTest::new(3, true);
    silent.deliver(&opener(&flow(100), 0));
    silent.tick_at(1_060);
    silent.deliver(&opener(&flow(101), 0));

    let mut leaving = AgentUnderTest::new(3, true);
    leaving.leave();

    let cases = [
        ("draining", draining),
        ("crowded", crowded),
        ("silent", silent),
        ("leaving", leaving),
    ];
    for (name, mut agent) in cases {
        let actions = agent.deliver(&opener(&flow(1), 0));
        assert!(!reaches_backend(&actions), "{name}");
        assert_eq!(hosts_told(&actions, MessageKind::HandOn).len(), 1, "{name}");
        assert_eq!(
            hosts_told(&actions, MessageKind::Absent),
            [BALANCER],
            "{name}"
        );
    }
}

#[test]
fn an_opener_of_another_service_never_reaches_the_backend_server() {
    let mut agent = AgentUnderTest::new(2, true);
    let text = state_text(1, BackendState::Ready).replace(builder::SERVICE, "scene-intake");
    publish(&mut agent.directory, 1, &text, 9, 0);
    let actions = agent.deliver(&opener(&flow(1), 0));
    assert!(!reaches_backend(&actions));
    assert_eq!(hosts_told(&actions, MessageKind::HandOn), [host(2)]);
}

#[test]
fn only_the_last_copy_of_an_opener_without_room_is_refused() {
    for (copy, refused) in [(0, 0), (1, 0), (2, 1)] {
        let mut agent = AgentUnderTest::new(1, true);
        agent.leave();
        let actions = agent.deliver(&opener(&flow(1), copy));
        assert_eq!(resets(&actions).len(), refused, "copy {copy}");
    }
}

#[test]
fn an_opener_without_an_answer_goes_on_and_one_with_an_answer_stays() {
    let mut agent = AgentUnderTest::new(3, true);
    agent.deliver(&opener(&flow(1), 0));
    agent.deliver(&opener(&flow(2), 0));
    agent.backend(acceptance(&flow(2), 500));
    let actions = agent.tick_at(1_060);
    assert_eq!(hosts_told(&actions, MessageKind::HandOn).len(), 1);
}

#[test]
fn the_caller_chooses_where_its_flow_opens() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.deliver(&opener(&flow(1), 0));
    agent.backend(acceptance(&flow(1), 500));
    let other = agent.deliver(&request(&flow(1), 9_001));
    assert!(!reaches_backend(&other));
    assert_eq!(hosts_told(&other, MessageKind::Find), [host(2)]);

    let mut agent = AgentUnderTest::new(2, true);
    agent.deliver(&opener(&flow(1), 0));
    agent.backend(acceptance(&flow(1), 500));
    assert!(reaches_backend(&agent.deliver(&request(&flow(1), 501))));
}

#[test]
fn a_flow_that_nobody_holds_is_reset_once_everybody_has_said_so() {
    let mut agent = AgentUnderTest::new(3, true);
    let asked = agent.deliver(&request(&flow(1), 7));
    assert!(!reaches_backend(&asked));
    assert_eq!(hosts_told(&asked, MessageKind::Find), [host(2), host(3)]);
    let one = agent.answer(MessageKind::Absent, host(2), &flow(1));
    assert!(resets(&one).is_empty());
    let all = agent.answer(MessageKind::Absent, host(3), &flow(1));
    assert_eq!(resets(&all), [flow(1)]);
}

#[test]
fn an_agent_that_knows_more_prevents_a_reset() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.deliver(&request(&flow(1), 7));
    let actions = agent.answer_at(MessageKind::Absent, host(2), &flow(1), 99);
    assert!(resets(&actions).is_empty());
}

#[test]
fn a_silent_agent_prevents_a_reset_and_is_asked_again() {
    let mut agent = AgentUnderTest::new(3, true);
    agent.deliver(&request(&flow(1), 7));
    agent.answer(MessageKind::Absent, host(2), &flow(1));
    let again = agent.tick_at(1_200);
    assert_eq!(hosts_told(&again, MessageKind::Find), [host(3)]);
    let late = agent.tick_at(9_000);
    assert!(resets(&late).is_empty());
}

#[test]
fn a_found_flow_is_sent_to_its_holder_from_then_on() {
    let mut agent = AgentUnderTest::new(3, true);
    agent.deliver(&request(&flow(1), 7));
    let found = agent.answer(MessageKind::Found, host(3), &flow(1));
    assert_eq!(hosts_told(&found, MessageKind::Holds), [BALANCER]);
    let next = agent.deliver(&request(&flow(1), 8));
    assert_eq!(hosts_told(&next, MessageKind::Deliver), [host(3)]);
    vanish(&mut agent.directory, 3, 9, agent.now_ms);
    agent.now_ms += 10_000;
    agent.directory.expire(agent.now_ms, agent.now_ms);
    let gone = agent.deliver(&request(&flow(1), 9));
    assert_eq!(hosts_told(&gone, MessageKind::Find), [host(2)]);
}

#[test]
fn a_restarted_agent_asks_its_backend_server_before_it_says_absent() {
    let mut agent = AgentUnderTest::new(2, false);
    let asked = agent.hear(
        host(2),
        Message::new(MessageKind::Find),
        &request(&flow(1), 7),
    );
    assert!(reaches_backend(&asked));
    assert!(hosts_told(&asked, MessageKind::Absent).is_empty());
    let returned = agent.backend(bounced(request(&flow(1), 7)));
    assert_eq!(hosts_told(&returned, MessageKind::Absent), [host(2)]);
    // A second question is answered from memory, so that the packet reaches the server once.
    let again = agent.hear(
        host(2),
        Message::new(MessageKind::Find),
        &request(&flow(1), 7),
    );
    assert!(!reaches_backend(&again));
}

#[test]
fn a_restarted_agent_finds_what_its_backend_server_holds() {
    let mut agent = AgentUnderTest::new(2, false);
    agent.hear(
        host(2),
        Message::new(MessageKind::Find),
        &request(&flow(1), 7),
    );
    let settled = agent.tick_at(1_060);
    assert_eq!(hosts_told(&settled, MessageKind::Found), [host(2)]);
    assert!(reaches_backend(&agent.deliver(&request(&flow(1), 8))));
}

#[test]
fn a_returned_packet_is_restored_before_it_goes_on() {
    let mut agent = AgentUnderTest::new(2, false);
    let sent = request(&flow(1), 7);
    agent.deliver(&sent);
    let actions = agent.backend(bounced(sent.clone()));
    let payloads: Vec<&Vec<u8>> = actions
        .iter()
        .filter_map(|action| match action {
            endivedyke::opaque::Action::ToPeer(_, message, payload)
                if message.kind == MessageKind::Find =>
            {
                Some(payload)
            }
            _ => None,
        })
        .collect();
    assert_eq!(payloads, [&sent]);
}

#[test]
fn a_backend_server_that_ended_has_its_flows_reset_at_once() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.open(&flow(1), 500);
    assert!(
        resets(&agent.refuse()).is_empty(),
        "one refusal is no proof"
    );
    agent.now_ms += 200;
    assert_eq!(resets(&agent.refuse()), [flow(1)]);
    agent.now_ms += 100;
    assert!(resets(&agent.refuse()).is_empty(), "once");
}

#[test]
fn a_backend_server_that_still_sends_has_not_ended() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.open(&flow(1), 500);
    agent.refuse();
    agent.now_ms += 200;
    let answer = PacketSpec {
        flags: ACK,
        sequence: 501,
        acknowledgement: 141,
        data_bytes: 100,
    };
    agent.backend(from_backend(&flow(1), answer));
    assert!(resets(&agent.refuse()).is_empty());
}

#[test]
fn a_draining_backend_server_that_refuses_connections_keeps_its_flows() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.open(&flow(1), 500);
    publish(
        &mut agent.directory,
        1,
        &state_text(1, BackendState::Draining),
        9,
        0,
    );
    for _ in 0..50 {
        agent.now_ms += 100;
        assert!(resets(&agent.refuse()).is_empty());
    }
    assert!(resets(&agent.leave()).is_empty(), "it is still published");
}

#[test]
fn an_agent_that_is_stopped_after_its_backend_server_resets_what_is_left() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.open(&flow(1), 500);
    agent.open(&flow(2), 500);
    let end = PacketSpec {
        flags: ACK | FIN,
        ..PacketSpec::default()
    };
    agent.backend(from_backend(&flow(2), end));
    publish(
        &mut agent.directory,
        1,
        &state_text(1, BackendState::Draining),
        9,
        0,
    );
    vanish(&mut agent.directory, 1, 10, 1_100);
    agent.now_ms = 5_000;
    agent.refuse();
    assert_eq!(resets(&agent.leave()), [flow(1)]);
}

#[test]
fn requests_are_counted_from_the_packets() {
    let mut agent = AgentUnderTest::new(1, true);
    agent.open(&flow(1), 500);
    assert_eq!((agent.keeper.busy(), agent.keeper.open_flows()), (1, 1));
    let answer = PacketSpec {
        flags: ACK,
        sequence: 501,
        acknowledgement: 141,
        data_bytes: 100,
    };
    agent.backend(from_backend(&flow(1), answer));
    assert_eq!((agent.keeper.busy(), agent.keeper.open_flows()), (0, 1));
    let end = PacketSpec {
        flags: ACK | FIN,
        sequence: 601,
        acknowledgement: 141,
        data_bytes: 0,
    };
    agent.backend(from_backend(&flow(1), end));
    assert_eq!((agent.keeper.busy(), agent.keeper.open_flows()), (0, 0));
}

#[test]
fn a_flow_that_the_backend_server_never_showed_is_not_reset_when_it_ends() {
    let mut agent = AgentUnderTest::new(2, false);
    // Nothing came back of this packet because the server was dead; host 2 may hold the flow.
    agent.deliver(&request(&flow(1), 7));
    agent.tick_at(1_100);
    agent.refuse();
    agent.now_ms += 200;
    assert!(resets(&agent.refuse()).is_empty());
}

#[test]
fn an_agent_behind_its_balancer_does_not_hand_openers_to_the_old_service() {
    let mut agent = AgentUnderTest::new(2, true);
    let text = state_text(1, BackendState::Ready).replace(builder::SERVICE, "scene-intake");
    publish(&mut agent.directory, 1, &text, 9, 0);
    let own = KeeperIdentity {
        service: ServiceId::of("scene-intake"),
        ..agent.identity()
    };
    agent.keeper = builder::keeper(own);
    for (newer, handed_on) in [(0, 1), (1, 0)] {
        let mut message = Message::new(MessageKind::Deliver);
        message.host = BALANCER;
        message.digest.highest = agent.revision + newer;
        let actions = agent.hear(BALANCER, message, &opener(&flow(1), 0));
        assert!(!reaches_backend(&actions));
        assert_eq!(hosts_told(&actions, MessageKind::HandOn).len(), handed_on);
    }
}

#[test]
fn an_agent_without_room_in_its_book_no_longer_says_absent() {
    let mut agent = AgentUnderTest::new(2, true);
    for port in 0..20_000 {
        let mut key = flow(1);
        key.caller.set_port(port);
        agent.answer_from_backend(&key);
    }
    let find = Message::new(MessageKind::Find);
    let asked = agent.hear(host(2), find, &request(&flow(40_000), 7));
    assert!(hosts_told(&asked, MessageKind::Absent).is_empty());
    assert!(reaches_backend(&asked));
}

#[test]
fn an_agent_that_caught_up_concludes_from_the_answers_it_has() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.deliver(&request(&flow(1), 7));
    let newer = agent.revision + 5;
    agent.answer_at(MessageKind::Absent, host(2), &flow(1), newer);
    assert!(resets(&agent.tick_at(1_050)).is_empty());
    agent.revision = newer;
    assert_eq!(resets(&agent.tick_at(1_100)), [flow(1)]);
}

#[test]
fn while_there_is_not_room_for_all_fresh_openers_go_first() {
    // Four slots: eight requests for a first copy, six for the second, four for the last.
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
fn a_retry_has_the_room_of_a_copy_that_is_as_old() {
    // Four slots, seven requests there: only what is fresh is taken.
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

/// Returns the waits that balancers are told with failed attempts.
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
fn balancers_hear_that_an_opener_was_refused_and_how_long_its_caller_waited() {
    let mut agent = AgentUnderTest::new(1, true);
    agent.leave();
    let actions = agent.deliver_retry(&opener(&flow(1), 2), 700);
    assert_eq!(failed_waits_ms(&actions), [1_300]);
    // A copy that is dropped is no attempt that failed: its caller sends the next one.
    assert!(failed_waits_ms(&agent.deliver(&opener(&flow(2), 1))).is_empty());
}

#[test]
fn balancers_hear_of_a_flow_that_is_gone_where_its_caller_may_try_again() {
    for (repeatable, told) in [("yes", vec![0]), ("no", vec![])] {
        let mut agent = AgentUnderTest::new(1, true);
        let routes = format!("{ROUTES_HEADER}\n{CALLED},{SERVICE},1,2,{repeatable}\n");
        agent
            .directory
            .set_routes(RouteTable::parse(&routes).expect("sound routes"));
        let actions = agent.deliver(&request(&flow(1), 7));
        assert_eq!(resets(&actions), [flow(1)]);
        assert_eq!(failed_waits_ms(&actions), told, "repeatable: {repeatable}");
    }
}

#[test]
fn a_backend_server_that_is_still_cold_gets_fewer_openers() {
    // Four slots: six requests for a first copy, four for the second, three for the last.
    for (busy, cold, warm) in [
        (2, [true, true, true], [true, true, true]),
        (3, [true, true, false], [true, true, true]),
        (4, [true, false, false], [true, true, false]),
        (6, [false, false, false], [true, false, false]),
    ] {
        for copy in 0..3 {
            for (after_ms, taken) in [(1_999, cold[copy]), (2_000, warm[copy])] {
                let mut agent = AgentUnderTest::new(3, true);
                let text = cold_backend_text(&state_text(1, BackendState::Ready), 2_000);
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
fn nothing_is_proved_while_lapsed_entries_may_come_back() {
    let mut agent = AgentUnderTest::new(1, true);
    agent.settled = false;
    assert!(resets(&agent.deliver(&request(&flow(1), 7))).is_empty());
    assert!(resets(&agent.tick_at(1_500)).is_empty());
    agent.settled = true;
    assert_eq!(resets(&agent.tick_at(1_520)), [flow(1)]);
}

#[test]
fn urgent_openers_have_room_where_others_have_none() {
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
