//! The agent's view of its backend server's process: failing and restarted.

use endivedyke::opaque::{Action, Backend, BackendState, Message, MessageKind};

use crate::builder::{
    ACK, AgentUnderTest, FIN, PacketSpec, entry_text, flow, from_backend, host, opener,
    reaches_backend, request, resets,
};

/// Opens a flow, sends a request on it and lets the backend server end it with or without an
/// answer.
fn open_and_end_request(agent: &mut AgentUnderTest, port: u16, answered: bool) {
    let key = flow(port);
    agent.open(&key, 500);
    let answer_bytes = if answered { 60 } else { 0 };
    let end = PacketSpec {
        flags: ACK | FIN,
        sequence: 501 + answer_bytes,
        ..PacketSpec::default()
    };
    // The bare packet that ends the flow arrives before the larger one with the answer.
    agent.deliver_from_backend(from_backend(&key, end));
    if answered {
        let answer = PacketSpec {
            flags: ACK,
            sequence: 501,
            data_bytes: 60,
            ..PacketSpec::default()
        };
        agent.deliver_from_backend(from_backend(&key, answer));
    }
}

#[test]
fn a_failing_backend_server_gets_only_a_few_probing_openers() {
    let mut agent = AgentUnderTest::new(3, true);
    for port in 1..=3 {
        open_and_end_request(&mut agent, port, false);
    }
    let mut taken = 0;
    for port in 100..150 {
        agent.now_ms += 10;
        taken += u32::from(reaches_backend(&agent.deliver(&opener(&flow(port), 0))));
    }
    assert!((1..=3).contains(&taken), "{taken} of 50 in half a second");
    let mut message = Message::new(MessageKind::HandOn);
    message.hops = 2;
    let actions = agent.deliver_message(host(2), message, &opener(&flow(160), 0));
    assert!(reaches_backend(&actions), "the other agents were no better");
    for port in 200..220 {
        agent.now_ms += 250;
        open_and_end_request(&mut agent, port, true);
    }
    assert!(reaches_backend(&agent.deliver(&opener(&flow(300), 0))));
    assert!(reaches_backend(&agent.deliver(&opener(&flow(301), 0))));
}

#[test]
fn an_answer_that_arrives_after_the_end_of_its_flow_is_not_a_failure() {
    let mut agent = AgentUnderTest::new(3, true);
    for port in 1..=20 {
        open_and_end_request(&mut agent, port, true);
    }
    for port in 100..104 {
        assert!(reaches_backend(&agent.deliver(&opener(&flow(port), 0))));
    }
}

#[test]
fn requests_without_an_answer_count_as_failed_and_free_their_slots() {
    let mut agent = AgentUnderTest::new(3, true);
    for port in 1..=4 {
        agent.open(&flow(port), 500);
    }
    assert_eq!(agent.flow_agent.busy_requests(), 4);
    agent.now_ms += 1_000;
    agent.flow_agent.expire(agent.now_ms);
    agent.deliver(&opener(&flow(50), 0));
    assert!(
        !reaches_backend(&agent.deliver(&opener(&flow(51), 0))),
        "only one opener is let through as a probe"
    );
    agent.now_ms += 2_000;
    agent.flow_agent.expire(agent.now_ms);
    assert_eq!(agent.flow_agent.busy_requests(), 0);
}

#[test]
fn a_packet_retransmitted_after_its_answer_is_not_a_new_request() {
    let mut agent = AgentUnderTest::new(1, true);
    let key = flow(1);
    agent.open(&key, 500);
    let answer = PacketSpec {
        flags: ACK,
        sequence: 501,
        data_bytes: 60,
        ..PacketSpec::default()
    };
    agent.deliver_from_backend(from_backend(&key, answer));
    assert_eq!(agent.flow_agent.busy_requests(), 0);
    agent.deliver(&request(&key, 501));
    assert_eq!(agent.flow_agent.busy_requests(), 0);
}

/// Publishes a new lifetime of the backend server beside the agent.
fn publish_next_lifetime(agent: &mut AgentUnderTest) -> Vec<Action> {
    let text = entry_text(1, BackendState::Ready);
    let backend = Backend::parse(&text).expect("sound text");
    agent
        .directory
        .apply_backend("i-next", backend, 50, agent.now_ms);
    agent.revision = 50;
    agent.handle_published_change()
}

#[test]
fn flows_of_the_previous_lifetime_are_reset_once_the_next_is_published() {
    let mut agent = AgentUnderTest::new(1, true);
    agent.handle_published_change();
    open_and_end_request(&mut agent, 1, true);
    agent.open(&flow(2), 500);
    agent.acknowledge_from_backend(&flow(2));
    agent.reconnect();
    agent.open(&flow(3), 900);
    agent.acknowledge_from_backend(&flow(3));
    let actions = publish_next_lifetime(&mut agent);
    assert_eq!(
        resets(&actions),
        [flow(2)],
        "flow 3 opened after the disconnect"
    );
    assert!(agent.handle_published_change().is_empty());
}

#[test]
fn a_lifetime_that_survived_a_disconnect_keeps_its_flows() {
    let mut agent = AgentUnderTest::new(1, true);
    agent.handle_published_change();
    agent.open(&flow(2), 500);
    agent.now_ms += 10;
    agent.flow_agent.handle_backend_disconnected(agent.now_ms);
    agent.now_ms += 10;
    agent.acknowledge_from_backend(&flow(2));
    assert!(resets(&publish_next_lifetime(&mut agent)).is_empty());
}

#[test]
fn a_failing_backend_server_without_another_takes_every_opener() {
    let mut agent = AgentUnderTest::new(1, true);
    for port in 1..=4 {
        open_and_end_request(&mut agent, port, false);
    }
    for port in 100..105 {
        assert!(reaches_backend(&agent.deliver(&opener(&flow(port), 0))));
    }
}
