//! What an agent does with packets.

use endivedyke::ServiceId;
use endivedyke::opaque::{BackendState, KeeperIdentity, Message, MessageKind};

use crate::builder::{self, host};
use crate::builder::{
    ACK, AgentUnderTest, BALANCER, FIN, PacketSpec, acceptance, bounced, flow, from_backend,
    hosts_told, opener, publish, reaches_backend, request, resets, state_text, vanish,
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
        service: ServiceId::from_name("scene-intake"),
        ..agent.identity()
    };
    agent.keeper = builder::keeper(own);
    for (newer, handed_on) in [(0, 1), (1, 0)] {
        let mut message = Message::new(MessageKind::Deliver);
        message.host = BALANCER;
        message.digest.highest = (agent.revision + newer).into();
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
fn nothing_is_proved_while_lapsed_entries_may_come_back() {
    let mut agent = AgentUnderTest::new(1, true);
    agent.settled = false;
    assert!(resets(&agent.deliver(&request(&flow(1), 7))).is_empty());
    assert!(resets(&agent.tick_at(1_500)).is_empty());
    agent.settled = true;
    assert_eq!(resets(&agent.tick_at(1_520)), [flow(1)]);
}
