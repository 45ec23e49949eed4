//! The handling of packets by an agent.

use endivedyke::ServiceId;
use endivedyke::opaque::{AgentIdentity, BackendState, Message, MessageKind};

use crate::builder::{self, host};
use crate::builder::{
    ACK, AgentUnderTest, BALANCER, FIN, PacketSpec, acceptance, entry_text, flow, from_backend,
    opener, publish, reaches_backend, receivers, remove_entry, request, resets, returned_packet,
};

#[test]
fn taking_an_opener_sends_holds_to_its_balancer() {
    let mut agent = AgentUnderTest::new(1, true);
    let actions = agent.deliver(&opener(&flow(1), 0));
    assert!(reaches_backend(&actions));
    assert_eq!(receivers(&actions, MessageKind::Holds), [BALANCER]);
}

#[test]
fn an_agent_that_cannot_take_an_opener_hands_it_on() {
    let mut draining = AgentUnderTest::new(3, true);
    publish(
        &mut draining.directory,
        1,
        &entry_text(1, BackendState::Draining),
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
        assert_eq!(receivers(&actions, MessageKind::HandOn).len(), 1, "{name}");
        assert_eq!(
            receivers(&actions, MessageKind::Absent),
            [BALANCER],
            "{name}"
        );
    }
}

#[test]
fn an_opener_of_another_service_never_reaches_the_backend_server() {
    let mut agent = AgentUnderTest::new(2, true);
    let text = entry_text(1, BackendState::Ready).replace(builder::SERVICE, "scene-intake");
    publish(&mut agent.directory, 1, &text, 9, 0);
    let actions = agent.deliver(&opener(&flow(1), 0));
    assert!(!reaches_backend(&actions));
    assert_eq!(receivers(&actions, MessageKind::HandOn), [host(2)]);
}

#[test]
fn only_the_last_copy_of_an_opener_is_refused_for_lack_of_room() {
    for (copy, refused) in [(0, 0), (1, 0), (2, 1)] {
        let mut agent = AgentUnderTest::new(1, true);
        agent.leave();
        let actions = agent.deliver(&opener(&flow(1), copy));
        assert_eq!(resets(&actions).len(), refused, "copy {copy}");
    }
}

#[test]
fn only_an_opener_without_an_answer_is_handed_on_after_the_timeout() {
    let mut agent = AgentUnderTest::new(3, true);
    agent.deliver(&opener(&flow(1), 0));
    agent.deliver(&opener(&flow(2), 0));
    agent.deliver_from_backend(acceptance(&flow(2), 500));
    let actions = agent.tick_at(1_060);
    assert_eq!(receivers(&actions, MessageKind::HandOn).len(), 1);
}

#[test]
fn the_caller_chooses_where_its_flow_opens() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.deliver(&opener(&flow(1), 0));
    agent.deliver_from_backend(acceptance(&flow(1), 500));
    let other = agent.deliver(&request(&flow(1), 9_001));
    assert!(!reaches_backend(&other));
    assert_eq!(receivers(&other, MessageKind::Find), [host(2)]);

    let mut agent = AgentUnderTest::new(2, true);
    agent.deliver(&opener(&flow(1), 0));
    agent.deliver_from_backend(acceptance(&flow(1), 500));
    assert!(reaches_backend(&agent.deliver(&request(&flow(1), 501))));
}

#[test]
fn a_flow_is_reset_once_all_agents_answered_that_they_do_not_hold_it() {
    let mut agent = AgentUnderTest::new(3, true);
    let started = agent.deliver(&request(&flow(1), 7));
    assert!(!reaches_backend(&started));
    assert_eq!(receivers(&started, MessageKind::Find), [host(2), host(3)]);
    let one = agent.deliver_answer(MessageKind::Absent, host(2), &flow(1));
    assert!(resets(&one).is_empty());
    let all = agent.deliver_answer(MessageKind::Absent, host(3), &flow(1));
    assert_eq!(resets(&all), [flow(1)]);
}

#[test]
fn an_answer_from_an_agent_with_a_higher_revision_prevents_a_reset() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.deliver(&request(&flow(1), 7));
    let actions = agent.deliver_answer_at(MessageKind::Absent, host(2), &flow(1), 99);
    assert!(resets(&actions).is_empty());
}

#[test]
fn a_silent_agent_prevents_a_reset_and_is_asked_again() {
    let mut agent = AgentUnderTest::new(3, true);
    agent.deliver(&request(&flow(1), 7));
    agent.deliver_answer(MessageKind::Absent, host(2), &flow(1));
    let again = agent.tick_at(1_200);
    assert_eq!(receivers(&again, MessageKind::Find), [host(3)]);
    let late = agent.tick_at(9_000);
    assert!(resets(&late).is_empty());
}

#[test]
fn packets_of_a_found_flow_are_sent_to_its_holder() {
    let mut agent = AgentUnderTest::new(3, true);
    agent.deliver(&request(&flow(1), 7));
    let found = agent.deliver_answer(MessageKind::Found, host(3), &flow(1));
    assert_eq!(receivers(&found, MessageKind::Holds), [BALANCER]);
    let next = agent.deliver(&request(&flow(1), 8));
    assert_eq!(receivers(&next, MessageKind::Deliver), [host(3)]);
    remove_entry(&mut agent.directory, 3, 9, agent.now_ms);
    agent.now_ms += 10_000;
    agent.directory.expire(agent.now_ms, agent.now_ms);
    let gone = agent.deliver(&request(&flow(1), 9));
    assert_eq!(receivers(&gone, MessageKind::Find), [host(2)]);
}

#[test]
fn a_restarted_agent_tries_its_backend_server_before_it_answers_absent() {
    let mut agent = AgentUnderTest::new(2, false);
    let asked = agent.deliver_message(
        host(2),
        Message::new(MessageKind::Find),
        &request(&flow(1), 7),
    );
    assert!(reaches_backend(&asked));
    assert!(receivers(&asked, MessageKind::Absent).is_empty());
    let returned = agent.deliver_from_backend(returned_packet(request(&flow(1), 7)));
    assert_eq!(receivers(&returned, MessageKind::Absent), [host(2)]);
    // A second lookup is answered from the agent's records, so that the packet reaches the server
    // only once.
    let again = agent.deliver_message(
        host(2),
        Message::new(MessageKind::Find),
        &request(&flow(1), 7),
    );
    assert!(!reaches_backend(&again));
}

#[test]
fn a_restarted_agent_answers_found_if_its_backend_server_keeps_the_packet() {
    let mut agent = AgentUnderTest::new(2, false);
    agent.deliver_message(
        host(2),
        Message::new(MessageKind::Find),
        &request(&flow(1), 7),
    );
    let actions = agent.tick_at(1_060);
    assert_eq!(receivers(&actions, MessageKind::Found), [host(2)]);
    assert!(reaches_backend(&agent.deliver(&request(&flow(1), 8))));
}

#[test]
fn a_returned_packet_is_restored_before_it_is_sent_to_other_agents() {
    let mut agent = AgentUnderTest::new(2, false);
    let sent = request(&flow(1), 7);
    agent.deliver(&sent);
    let actions = agent.deliver_from_backend(returned_packet(sent.clone()));
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
fn flows_are_reset_at_once_when_the_backend_server_has_ended() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.open(&flow(1), 500);
    assert!(
        resets(&agent.refuse_connection()).is_empty(),
        "a single refusal does not prove that the process ended"
    );
    agent.now_ms += 200;
    assert_eq!(resets(&agent.refuse_connection()), [flow(1)]);
    agent.now_ms += 100;
    assert!(resets(&agent.refuse_connection()).is_empty(), "only once");
}

#[test]
fn a_backend_server_that_still_sends_has_not_ended() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.open(&flow(1), 500);
    agent.refuse_connection();
    agent.now_ms += 200;
    let answer = PacketSpec {
        flags: ACK,
        sequence: 501,
        acknowledgement: 141,
        data_bytes: 100,
    };
    agent.deliver_from_backend(from_backend(&flow(1), answer));
    assert!(resets(&agent.refuse_connection()).is_empty());
}

#[test]
fn a_draining_backend_server_that_refuses_connections_keeps_its_flows() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.open(&flow(1), 500);
    publish(
        &mut agent.directory,
        1,
        &entry_text(1, BackendState::Draining),
        9,
        0,
    );
    for _ in 0..50 {
        agent.now_ms += 100;
        assert!(resets(&agent.refuse_connection()).is_empty());
    }
    assert!(resets(&agent.leave()).is_empty(), "it is still published");
}

#[test]
fn an_agent_stopped_after_its_backend_server_resets_the_remaining_flows() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.open(&flow(1), 500);
    agent.open(&flow(2), 500);
    let end = PacketSpec {
        flags: ACK | FIN,
        ..PacketSpec::default()
    };
    agent.deliver_from_backend(from_backend(&flow(2), end));
    publish(
        &mut agent.directory,
        1,
        &entry_text(1, BackendState::Draining),
        9,
        0,
    );
    remove_entry(&mut agent.directory, 1, 10, 1_100);
    agent.now_ms = 5_000;
    agent.refuse_connection();
    assert_eq!(resets(&agent.leave()), [flow(1)]);
}

#[test]
fn busy_requests_and_open_flows_are_counted_from_packets() {
    let mut agent = AgentUnderTest::new(1, true);
    agent.open(&flow(1), 500);
    assert_eq!(
        (
            agent.flow_agent.busy_requests(),
            agent.flow_agent.open_flows()
        ),
        (1, 1)
    );
    let answer = PacketSpec {
        flags: ACK,
        sequence: 501,
        acknowledgement: 141,
        data_bytes: 100,
    };
    agent.deliver_from_backend(from_backend(&flow(1), answer));
    assert_eq!(
        (
            agent.flow_agent.busy_requests(),
            agent.flow_agent.open_flows()
        ),
        (0, 1)
    );
    let end = PacketSpec {
        flags: ACK | FIN,
        sequence: 601,
        acknowledgement: 141,
        data_bytes: 0,
    };
    agent.deliver_from_backend(from_backend(&flow(1), end));
    assert_eq!(
        (
            agent.flow_agent.busy_requests(),
            agent.flow_agent.open_flows()
        ),
        (0, 0)
    );
}

#[test]
fn a_flow_without_a_packet_from_the_backend_server_is_not_reset_when_it_ends() {
    let mut agent = AgentUnderTest::new(2, false);
    // The packet was not returned because the server was dead. Host 2 may hold the flow.
    agent.deliver(&request(&flow(1), 7));
    agent.tick_at(1_100);
    agent.refuse_connection();
    agent.now_ms += 200;
    assert!(resets(&agent.refuse_connection()).is_empty());
}

#[test]
fn an_agent_with_an_older_revision_does_not_hand_openers_on_to_the_old_service() {
    let mut agent = AgentUnderTest::new(2, true);
    let text = entry_text(1, BackendState::Ready).replace(builder::SERVICE, "scene-intake");
    publish(&mut agent.directory, 1, &text, 9, 0);
    let own = AgentIdentity {
        service: ServiceId::from_name("scene-intake"),
        ..agent.identity()
    };
    agent.flow_agent = builder::flow_agent(own);
    for (newer, handed_on) in [(0, 1), (1, 0)] {
        let mut message = Message::new(MessageKind::Deliver);
        message.host = BALANCER;
        message.digest.highest = (agent.revision + newer).into();
        let actions = agent.deliver_message(BALANCER, message, &opener(&flow(1), 0));
        assert!(!reaches_backend(&actions));
        assert_eq!(receivers(&actions, MessageKind::HandOn).len(), handed_on);
    }
}

#[test]
fn an_agent_whose_flow_table_is_full_no_longer_answers_absent() {
    let mut agent = AgentUnderTest::new(2, true);
    for port in 0..20_000 {
        let mut key = flow(1);
        key.caller.set_port(port);
        agent.acknowledge_from_backend(&key);
    }
    let find = Message::new(MessageKind::Find);
    let asked = agent.deliver_message(host(2), find, &request(&flow(40_000), 7));
    assert!(receivers(&asked, MessageKind::Absent).is_empty());
    assert!(reaches_backend(&asked));
}

#[test]
fn a_lookup_concludes_once_the_agent_has_the_revision_of_the_answers() {
    let mut agent = AgentUnderTest::new(2, true);
    agent.deliver(&request(&flow(1), 7));
    let newer = agent.revision + 5;
    agent.deliver_answer_at(MessageKind::Absent, host(2), &flow(1), newer);
    assert!(resets(&agent.tick_at(1_050)).is_empty());
    agent.revision = newer;
    assert_eq!(resets(&agent.tick_at(1_100)), [flow(1)]);
}

#[test]
fn no_flow_is_reset_while_lapsed_entries_may_come_back() {
    let mut agent = AgentUnderTest::new(1, true);
    agent.is_settled = false;
    assert!(resets(&agent.deliver(&request(&flow(1), 7))).is_empty());
    assert!(resets(&agent.tick_at(1_500)).is_empty());
    agent.is_settled = true;
    assert_eq!(resets(&agent.tick_at(1_520)), [flow(1)]);
}
