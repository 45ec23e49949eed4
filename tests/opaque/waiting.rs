//! What waits at its agent for a slot, where callers have time for one attempt, and what becomes of it when
//! something fails.

use endivedyke::opaque::{
    Action, BackendState, FlowKey, Message, MessageKind, ROUTES_HEADER, RouteTable, decode_wait_ms,
    parse_deadlines,
};

use crate::builder::{
    ACK, AgentUnderTest, BALANCER, CALLED, FIN, PacketSpec, RST, ZONE, flow, from_backend,
    from_caller, hosts_told, opener, publish, reaches_backend, resets, started_text, state_text,
};

const OBJECTIVE_MS: u64 = 300;
const TIMEOUT_MS: u64 = 1_500;
/// How many requests fill the backend server of these tests and what may wait in its own queue.
const FULL: u16 = 16;

/// Returns an agent of some hosts whose callers have time for one attempt.
fn agent() -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(3, true);
    let text = format!("{CALLED},{OBJECTIVE_MS},{TIMEOUT_MS}\n");
    let told = parse_deadlines(&text).expect("sound");
    agent.directory.set_deadlines(told);
    agent
}

/// Returns an agent whose backend server has as many requests as it may have, on flows from port 1 on.
fn full_agent() -> AgentUnderTest {
    let mut agent = agent();
    for port in 1..=FULL {
        agent.open(&flow(port), 500);
    }
    assert_eq!(agent.keeper.busy(), u32::from(FULL));
    agent
}

/// Lets the backend server answer the request on a flow, and returns what follows.
pub(crate) fn answer(agent: &mut AgentUnderTest, port: u16) -> Vec<Action> {
    let spec = PacketSpec {
        flags: ACK,
        sequence: 501,
        acknowledgement: 141,
        data_bytes: 60,
    };
    agent.backend(from_backend(&flow(port), spec))
}

fn next_request(port: u16) -> Vec<u8> {
    next_request_on(&flow(port))
}

/// Returns a request on a flow that is open: the bytes after its first one.
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

/// Lets requests begin on open flows until one has to wait, and returns the port of its flow.
fn first_that_waits(agent: &mut AgentUnderTest) -> u16 {
    for port in 200..300 {
        agent.answer_from_backend(&flow(port));
        if !reaches_backend(&agent.deliver(&next_request(port))) {
            return port;
        }
    }
    panic!("all requests were handed over");
}

fn offer(agent: &mut AgentUnderTest, key: &FlowKey) -> Vec<Action> {
    let mut message = Message::new(MessageKind::Offer);
    message.host = BALANCER;
    agent.hear(BALANCER, message, &opener(key, 0))
}

/// Returns the packets that actions hand to the backend server.
pub(crate) fn handed(actions: &[Action]) -> Vec<&[u8]> {
    let handed = actions.iter().filter_map(|action| match action {
        Action::ToBackend(packet) => Some(packet.as_slice()),
        _ => None,
    });
    handed.collect()
}

#[test]
fn an_offer_is_taken_with_a_slot_free_and_declined_with_the_wait_without_one() {
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
fn an_opener_that_is_assigned_waits_and_goes_with_the_next_answer() {
    let mut agent = full_agent();
    let actions = agent.deliver(&opener(&flow(100), 0));
    assert!(!reaches_backend(&actions));
    assert_eq!(hosts_told(&actions, MessageKind::Holds), [BALANCER]);
    let copy = agent.deliver(&opener(&flow(100), 1));
    assert!(!reaches_backend(&copy), "a copy is the same opener");
    assert_eq!(hosts_told(&copy, MessageKind::Holds), [BALANCER]);
    let mut taken = 0;
    for port in 1..=FULL {
        agent.now_ms += 5;
        taken += handed(&answer(&mut agent, port)).len();
    }
    assert_eq!(taken, 1);
}

#[test]
fn an_opener_that_waited_in_vain_is_refused_with_time_for_another_attempt() {
    let mut agent = full_agent();
    agent.deliver(&opener(&flow(100), 0));
    let actions = agent.tick_at(agent.now_ms + 2 * OBJECTIVE_MS);
    assert_eq!(resets(&actions), [flow(100)]);
    assert_eq!(hosts_told(&actions, MessageKind::Absent), [BALANCER]);
    assert_eq!(hosts_told(&actions, MessageKind::AttemptFailed), [BALANCER]);
    let later = agent.tick_at(agent.now_ms + TIMEOUT_MS);
    assert!(!reaches_backend(&later), "no server has it");
}

#[test]
fn an_opener_does_not_wait_for_a_backend_server_that_answers_nothing() {
    let mut agent = full_agent();
    agent.deliver(&opener(&flow(100), 0));
    let actions = agent.tick_at(agent.now_ms + OBJECTIVE_MS);
    assert_eq!(hosts_told(&actions, MessageKind::HandOn).len(), 1);
}

#[test]
fn what_waits_goes_to_others_when_its_agent_stops_or_its_backend_server_is_gone() {
    type Failure = fn(&mut AgentUnderTest) -> Vec<Action>;
    let failures: [(&str, Failure); 4] = [
        ("the agent stops", |agent| agent.leave()),
        ("nothing listens any more", |agent| {
            agent.refuse();
            agent.now_ms += 200;
            agent.refuse()
        }),
        ("the zone is evacuated", |agent| {
            agent.directory.set_zone_evacuated(ZONE, true, 100);
            agent.tick_at(agent.now_ms + 20)
        }),
        ("the backend server drains", |agent| {
            let text = state_text(1, BackendState::Draining);
            publish(&mut agent.directory, 1, &text, 100, agent.now_ms);
            agent.tick_at(agent.now_ms + 20)
        }),
    ];
    for (name, fail) in failures {
        let mut agent = full_agent();
        agent.deliver(&opener(&flow(100), 0));
        let actions = fail(&mut agent);
        let passed_on = hosts_told(&actions, MessageKind::HandOn).len();
        let dropped = !resets(&actions).contains(&flow(100));
        assert!(
            passed_on >= 1 || (name == "the zone is evacuated" && dropped),
            "{name}: {actions:?}"
        );
        let later = agent.tick_at(agent.now_ms + 2_000);
        assert!(resets(&later).is_empty(), "{name}: it is forgotten here");
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
fn an_agent_that_wakes_late_hands_over_nothing_stale() {
    let mut agent = full_agent();
    agent.deliver(&opener(&flow(100), 0));
    agent.now_ms += 10_000;
    let actions = answer(&mut agent, 1);
    assert_eq!(resets(&actions), [flow(100)]);
    assert!(!reaches_backend(&actions));
}

#[test]
fn a_new_lifetime_of_the_backend_server_gets_what_waits_once() {
    let mut agent = full_agent();
    publish(
        &mut agent.directory,
        1,
        &started_text(1, 100),
        100,
        agent.now_ms,
    );
    agent.published_changed();
    agent.deliver(&opener(&flow(100), 0));
    agent.reconnect();
    publish(
        &mut agent.directory,
        1,
        &started_text(1, 200),
        200,
        agent.now_ms,
    );
    agent.published_changed();
    let mut handed_over = 0;
    for after_ms in [20, 40, 60] {
        let actions = agent.tick_at(agent.now_ms + after_ms);
        handed_over += handed(&actions).len();
    }
    assert_eq!(handed_over, 1);
}

#[test]
fn a_request_on_an_open_flow_waits_for_room_whole_and_in_order() {
    let mut agent = full_agent();
    let port = first_that_waits(&mut agent);
    let first = next_request(port);
    assert!(!reaches_backend(&agent.deliver(&first)), "nor its copy");
    let end = from_caller_with(port, FIN, 181);
    assert!(
        !reaches_backend(&agent.deliver(&end)),
        "nor what is behind it"
    );
    let acknowledges = from_caller_with(port, 0, 181);
    assert!(reaches_backend(&agent.deliver(&acknowledges)));
    let mut actions = Vec::new();
    for port in 1..=FULL {
        agent.now_ms += 5;
        actions.extend(answer(&mut agent, port));
    }
    assert_eq!(handed(&actions), [first.as_slice(), end.as_slice()]);
}

#[test]
fn a_request_whose_caller_left_is_handed_over_no_more() {
    let mut agent = full_agent();
    let port = first_that_waits(&mut agent);
    let left = from_caller_with(port, RST, 181);
    assert!(
        reaches_backend(&agent.deliver(&left)),
        "its backend server is told"
    );
    for port in 1..=FULL {
        agent.now_ms += 5;
        assert!(!reaches_backend(&answer(&mut agent, port)));
    }
}

#[test]
fn a_request_is_not_kept_from_a_backend_server_that_answers_nothing() {
    let mut agent = full_agent();
    let port = first_that_waits(&mut agent);
    let later_ms = agent.now_ms + OBJECTIVE_MS;
    let actions = agent.tick_at(later_ms);
    assert_eq!(
        handed(&actions),
        [next_request(port).as_slice()],
        "its own queue refuses at once"
    );
}

#[test]
fn requests_that_wait_are_handed_over_when_the_agent_stops() {
    let mut agent = full_agent();
    let port = first_that_waits(&mut agent);
    assert_eq!(handed(&agent.leave()), [next_request(port).as_slice()]);
}

#[test]
fn without_a_deadline_nothing_waits_here() {
    let mut agent = AgentUnderTest::new(3, true);
    for port in 1..=20 {
        agent.open(&flow(port), 500);
    }
    answer(&mut agent, 1);
    assert!(reaches_backend(&agent.deliver(&next_request(1))));
    let actions = agent.deliver(&opener(&flow(100), 0));
    assert!(hosts_told(&actions, MessageKind::Holds).is_empty());
    assert_eq!(hosts_told(&actions, MessageKind::HandOn).len(), 1);
}

#[test]
fn a_packet_that_was_overtaken_waits_in_its_place() {
    let mut agent = full_agent();
    for port in 200..300 {
        agent.answer_from_backend(&flow(port));
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
    let port = first_that_waits(&mut agent);
    agent.deliver(&from_caller_with(port, RST, 181));
    let port = port + 1;
    let (first, second) = (next_request(port), part(port, 181));
    assert!(!reaches_backend(&agent.deliver(&second)));
    assert!(!reaches_backend(&agent.deliver(&first)), "overtaken");
    assert!(!reaches_backend(&agent.deliver(&first)), "and its copy");
    let mut actions = Vec::new();
    for port in 1..=FULL {
        agent.now_ms += 5;
        actions.extend(answer(&mut agent, port));
    }
    assert_eq!(handed(&actions), [first.as_slice(), second.as_slice()]);
}

#[test]
fn an_offer_that_an_older_configuration_does_not_know_is_declined() {
    let mut agent = agent();
    let routes = RouteTable::parse(&format!("{ROUTES_HEADER}\n")).expect("sound");
    agent.directory.set_routes(routes);
    agent.directory.set_deadlines(Vec::new());
    let mut message = Message::new(MessageKind::Offer);
    message.host = BALANCER;
    message.digest.highest = (agent.revision + 1).into();
    let actions = agent.hear(BALANCER, message, &opener(&flow(1), 0));
    assert_eq!(hosts_told(&actions, MessageKind::Declined), [BALANCER]);
    assert!(actions.iter().any(|action| match action {
        Action::ToPeer(_, _, payload) => decode_wait_ms(payload).is_some(),
        _ => false,
    }));
}
