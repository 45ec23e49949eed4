//! The queue of openers and requests that wait for a slot at their agent, on routes whose callers
//! have time for one attempt, also under failures.

use endivedyke::opaque::{
    Action, BackendState, FlowKey, Message, MessageKind, ROUTES_HEADER, RouteTable, decode_wait_ms,
    parse_deadlines,
};

use crate::builder::{
    ACK, AgentUnderTest, BALANCER, CALLED, FIN, PacketSpec, RST, ZONE, entry_text, flow,
    from_backend, from_caller, opener, publish, reaches_backend, receivers, resets,
    started_entry_text,
};

const OBJECTIVE_MS: u64 = 300;
const TIMEOUT_MS: u64 = 1_500;
/// The number of requests that fill the slots of the backend server and the share of its own queue
/// that may be used.
const FULL: u16 = 16;

/// Returns an agent on a site of three hosts, whose callers have time for one attempt.
fn agent() -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(3, true);
    let text = format!("{CALLED},{OBJECTIVE_MS},{TIMEOUT_MS}\n");
    let published = parse_deadlines(&text).expect("sound");
    agent.directory.set_deadlines(published);
    agent
}

/// Returns an agent whose backend server has as many requests as it may have, on flows of ports
/// from 1.
fn full_agent() -> AgentUnderTest {
    let mut agent = agent();
    for port in 1..=FULL {
        agent.open(&flow(port), 500);
    }
    assert_eq!(agent.flow_agent.busy_requests(), u32::from(FULL));
    agent
}

/// Answers the request on a flow as its backend server, and returns the agent's actions.
pub(crate) fn answer(agent: &mut AgentUnderTest, port: u16) -> Vec<Action> {
    let spec = PacketSpec {
        flags: ACK,
        sequence: 501,
        acknowledgement: 141,
        data_bytes: 60,
    };
    agent.deliver_from_backend(from_backend(&flow(port), spec))
}

fn next_request(port: u16) -> Vec<u8> {
    next_request_on(&flow(port))
}

/// Returns a request on an open flow, with the data that follows the first request.
pub(crate) fn next_request_on(key: &FlowKey) -> Vec<u8> {
    let spec = PacketSpec {
        flags: ACK,
        sequence: 141,
        acknowledgement: 561,
        data_bytes: 40,
    };
    from_caller(key, spec)
}

fn from_caller_with(port: u16, flags: u8, sequence: u32) -> Vec<u8> {
    let spec = PacketSpec {
        flags: ACK | flags,
        sequence,
        acknowledgement: 561,
        data_bytes: 0,
    };
    from_caller(&flow(port), spec)
}

/// Sends requests on open flows until one is held back, and returns the port of its flow.
fn first_held_back(agent: &mut AgentUnderTest) -> u16 {
    for port in 200..300 {
        agent.acknowledge_from_backend(&flow(port));
        if !reaches_backend(&agent.deliver(&next_request(port))) {
            return port;
        }
    }
    panic!("all requests were handed over");
}

fn offer(agent: &mut AgentUnderTest, key: &FlowKey) -> Vec<Action> {
    let mut message = Message::new(MessageKind::Offer);
    message.host = BALANCER;
    agent.deliver_message(BALANCER, message, &opener(key, 0))
}

/// Returns the packets that actions hand to the backend server.
pub(crate) fn packets_to_backend(actions: &[Action]) -> Vec<&[u8]> {
    let handed = actions.iter().filter_map(|action| match action {
        Action::ToBackend(packet) => Some(packet.as_slice()),
        _ => None,
    });
    handed.collect()
}

#[test]
fn an_offer_is_taken_if_a_slot_is_free_and_else_declined_with_the_wait() {
    let mut agent = agent();
    assert!(reaches_backend(&offer(&mut agent, &flow(1))));
    let mut agent = full_agent();
    let actions = offer(&mut agent, &flow(100));
    assert!(!reaches_backend(&actions));
    let wait_ms = actions.iter().find_map(|action| match action {
        Action::ToPeer(BALANCER, message, payload) if message.kind == MessageKind::Declined => {
            decode_wait_ms(payload)
        }
        _ => None,
    });
    assert!(wait_ms.is_some_and(|wait_ms| wait_ms > 0), "{wait_ms:?}");
}

#[test]
fn an_assigned_opener_is_queued_and_handed_over_after_an_answer() {
    let mut agent = full_agent();
    let actions = agent.deliver(&opener(&flow(100), 0));
    assert!(!reaches_backend(&actions));
    assert_eq!(receivers(&actions, MessageKind::Holds), [BALANCER]);
    let copy = agent.deliver(&opener(&flow(100), 1));
    assert!(!reaches_backend(&copy), "a copy is the same opener");
    assert_eq!(receivers(&copy, MessageKind::Holds), [BALANCER]);
    let mut taken = 0;
    for port in 1..=FULL {
        agent.now_ms += 5;
        taken += packets_to_backend(&answer(&mut agent, port)).len();
    }
    assert_eq!(taken, 1);
}

#[test]
fn an_opener_that_waits_too_long_is_refused_while_its_caller_has_time_to_retry() {
    let mut agent = full_agent();
    agent.deliver(&opener(&flow(100), 0));
    let actions = agent.tick_at(agent.now_ms + 2 * OBJECTIVE_MS);
    assert_eq!(resets(&actions), [flow(100)]);
    assert_eq!(receivers(&actions, MessageKind::Absent), [BALANCER]);
    assert_eq!(receivers(&actions, MessageKind::AttemptFailed), [BALANCER]);
    let later = agent.tick_at(agent.now_ms + TIMEOUT_MS);
    assert!(!reaches_backend(&later), "no server has it");
}

#[test]
fn a_queued_opener_is_handed_on_if_the_backend_server_answers_nothing() {
    let mut agent = full_agent();
    agent.deliver(&opener(&flow(100), 0));
    let actions = agent.tick_at(agent.now_ms + OBJECTIVE_MS);
    assert_eq!(receivers(&actions, MessageKind::HandOn).len(), 1);
}

#[test]
fn a_queued_opener_is_handed_on_when_the_agent_stops_or_the_backend_server_is_unavailable() {
    type Failure = fn(&mut AgentUnderTest) -> Vec<Action>;
    let failures: [(&str, Failure); 4] = [
        ("the agent stops", |agent| agent.leave()),
        ("nothing listens any more", |agent| {
            agent.refuse_connection();
            agent.now_ms += 200;
            agent.refuse_connection()
        }),
        ("the zone is evacuated", |agent| {
            agent.directory.set_zone_evacuated(ZONE, true, 100);
            agent.tick_at(agent.now_ms + 20)
        }),
        ("the backend server drains", |agent| {
            let text = entry_text(1, BackendState::Draining);
            publish(&mut agent.directory, 1, &text, 100, agent.now_ms);
            agent.tick_at(agent.now_ms + 20)
        }),
    ];
    for (name, fail) in failures {
        let mut agent = full_agent();
        agent.deliver(&opener(&flow(100), 0));
        let actions = fail(&mut agent);
        let handed_on = receivers(&actions, MessageKind::HandOn).len();
        let dropped = !resets(&actions).contains(&flow(100));
        assert!(
            handed_on >= 1 || (name == "the zone is evacuated" && dropped),
            "{name}: {actions:?}"
        );
        let later = agent.tick_at(agent.now_ms + 2_000);
        assert!(
            resets(&later).is_empty(),
            "{name}: the opener is no longer queued"
        );
    }
}

#[test]
fn an_opener_whose_route_was_taken_away_while_it_waited_is_not_handed_over() {
    let mut agent = full_agent();
    agent.deliver(&opener(&flow(100), 0));
    let routes = format!("{ROUTES_HEADER}\n{CALLED},another,1,2,yes\n");
    agent
        .directory
        .set_routes(RouteTable::parse(&routes).expect("sound"));
    for port in 1..=FULL {
        agent.now_ms += 5;
        assert!(!reaches_backend(&answer(&mut agent, port)));
    }
}

#[test]
fn an_agent_that_was_paused_hands_over_no_expired_opener() {
    let mut agent = full_agent();
    agent.deliver(&opener(&flow(100), 0));
    agent.now_ms += 10_000;
    let actions = answer(&mut agent, 1);
    assert_eq!(resets(&actions), [flow(100)]);
    assert!(!reaches_backend(&actions));
}

#[test]
fn a_new_lifetime_of_the_backend_server_gets_a_queued_opener_once() {
    let mut agent = full_agent();
    publish(
        &mut agent.directory,
        1,
        &started_entry_text(1, 100),
        100,
        agent.now_ms,
    );
    agent.handle_published_change();
    agent.deliver(&opener(&flow(100), 0));
    agent.reconnect();
    publish(
        &mut agent.directory,
        1,
        &started_entry_text(1, 200),
        200,
        agent.now_ms,
    );
    agent.handle_published_change();
    let mut handed_over = 0;
    for after_ms in [20, 40, 60] {
        let actions = agent.tick_at(agent.now_ms + after_ms);
        handed_over += packets_to_backend(&actions).len();
    }
    assert_eq!(handed_over, 1);
}

#[test]
fn a_request_on_an_open_flow_is_held_back_whole_and_in_order() {
    let mut agent = full_agent();
    let port = first_held_back(&mut agent);
    let first = next_request(port);
    assert!(
        !reaches_backend(&agent.deliver(&first)),
        "a copy is held back too"
    );
    let end = from_caller_with(port, FIN, 181);
    assert!(
        !reaches_backend(&agent.deliver(&end)),
        "the end of the data is held back too"
    );
    let acknowledges = from_caller_with(port, 0, 181);
    assert!(reaches_backend(&agent.deliver(&acknowledges)));
    let mut actions = Vec::new();
    for port in 1..=FULL {
        agent.now_ms += 5;
        actions.extend(answer(&mut agent, port));
    }
    assert_eq!(
        packets_to_backend(&actions),
        [first.as_slice(), end.as_slice()]
    );
}

#[test]
fn a_held_back_request_is_dropped_when_its_caller_leaves() {
    let mut agent = full_agent();
    let port = first_held_back(&mut agent);
    let left = from_caller_with(port, RST, 181);
    assert!(
        reaches_backend(&agent.deliver(&left)),
        "the backend server gets the reset"
    );
    for port in 1..=FULL {
        agent.now_ms += 5;
        assert!(!reaches_backend(&answer(&mut agent, port)));
    }
}

#[test]
fn held_back_requests_are_handed_over_if_the_backend_server_answers_nothing() {
    let mut agent = full_agent();
    let port = first_held_back(&mut agent);
    let later_ms = agent.now_ms + OBJECTIVE_MS;
    let actions = agent.tick_at(later_ms);
    assert_eq!(
        packets_to_backend(&actions),
        [next_request(port).as_slice()],
        "the server's own full queue refuses it at once"
    );
}

#[test]
fn held_back_requests_are_handed_over_when_the_agent_stops() {
    let mut agent = full_agent();
    let port = first_held_back(&mut agent);
    assert_eq!(
        packets_to_backend(&agent.leave()),
        [next_request(port).as_slice()]
    );
}

#[test]
fn nothing_is_queued_without_a_deadline() {
    let mut agent = AgentUnderTest::new(3, true);
    for port in 1..=20 {
        agent.open(&flow(port), 500);
    }
    answer(&mut agent, 1);
    assert!(reaches_backend(&agent.deliver(&next_request(1))));
    let actions = agent.deliver(&opener(&flow(100), 0));
    assert!(receivers(&actions, MessageKind::Holds).is_empty());
    assert_eq!(receivers(&actions, MessageKind::HandOn).len(), 1);
}

#[test]
fn a_packet_that_arrives_out_of_order_is_queued_in_sequence() {
    let mut agent = full_agent();
    for port in 200..300 {
        agent.acknowledge_from_backend(&flow(port));
    }
    let part = |port: u16, sequence: u32| {
        let spec = PacketSpec {
            flags: ACK,
            sequence,
            acknowledgement: 561,
            data_bytes: 40,
        };
        from_caller(&flow(port), spec)
    };
    let port = first_held_back(&mut agent);
    agent.deliver(&from_caller_with(port, RST, 181));
    let port = port + 1;
    let (first, second) = (next_request(port), part(port, 181));
    assert!(!reaches_backend(&agent.deliver(&second)));
    assert!(
        !reaches_backend(&agent.deliver(&first)),
        "arrives out of order"
    );
    assert!(!reaches_backend(&agent.deliver(&first)), "its copy");
    let mut actions = Vec::new();
    for port in 1..=FULL {
        agent.now_ms += 5;
        actions.extend(answer(&mut agent, port));
    }
    assert_eq!(
        packets_to_backend(&actions),
        [first.as_slice(), second.as_slice()]
    );
}

#[test]
fn an_offer_for_a_route_unknown_to_an_older_configuration_is_declined() {
    let mut agent = agent();
    let routes = RouteTable::parse(&format!("{ROUTES_HEADER}\n")).expect("sound");
    agent.directory.set_routes(routes);
    agent.directory.set_deadlines(Vec::new());
    let mut message = Message::new(MessageKind::Offer);
    message.host = BALANCER;
    message.digest.highest = (agent.revision + 1).into();
    let actions = agent.deliver_message(BALANCER, message, &opener(&flow(1), 0));
    assert_eq!(receivers(&actions, MessageKind::Declined), [BALANCER]);
    assert!(actions.iter().any(|action| match action {
        Action::ToPeer(_, _, payload) => decode_wait_ms(payload).is_some(),
        _ => false,
    }));
}
