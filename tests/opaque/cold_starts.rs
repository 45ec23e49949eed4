//! The rate of new flows that a cold backend server is handed, as set by operators.

use std::net::Ipv4Addr;

use endivedyke::opaque::{
    BackendState, Directory, Message, MessageKind, cold_backend_text, cold_start_line,
    parse_cold_starts,
};
use endivedyke::{Code, ServiceId};

use crate::builder::{
    ACK, AgentUnderTest, BALANCER, FIN, PacketSpec, SERVICE, ZONE, acceptance, entry_text, flow,
    from_backend, host, opener, publish, reaches_backend, receivers, request, resets, set_deadline,
};

/// The new flows per second that a cold backend server can take in these tests.
const FLOWS_PER_S: f64 = 20.0;
const COLD_MS: u64 = 2_000;
/// The maximum number of new flows in any second: the rate, a burst of a quarter of a second, and
/// one for rounding.
const MAX_IN_ONE_SECOND: usize = 26;

fn set_cold_rate(directory: &mut Directory) {
    let text = cold_start_line(SERVICE, COLD_MS, FLOWS_PER_S);
    directory.set_cold_starts(parse_cold_starts(&text).expect("sound"));
}

fn publish_cold(directory: &mut Directory, index: u16, now_ms: u64) {
    let text = cold_backend_text(&entry_text(index, BackendState::Ready), COLD_MS as u32);
    publish(directory, index, &text, 100 + u64::from(index), now_ms);
}

/// Returns the agent of a cold backend server on a site with four warm ones.
fn cold_agent() -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(5, true);
    set_cold_rate(&mut agent.directory);
    publish_cold(&mut agent.directory, 1, agent.now_ms);
    agent
}

/// Delivers an opener every five milliseconds. Each that is taken is answered, and its flow ended,
/// at once. Returns when openers were taken, and the receivers of the others.
fn flood(
    agent: &mut AgentUnderTest,
    first_port: u16,
    for_ms: u64,
) -> (Vec<u64>, Vec<Vec<Ipv4Addr>>) {
    let mut taken = Vec::new();
    let mut handed_on = Vec::new();
    for step in 0..(for_ms / 5) as u16 {
        agent.now_ms += 5;
        let key = flow(first_port + step);
        let actions = agent.deliver(&opener(&key, 0));
        if reaches_backend(&actions) {
            taken.push(agent.now_ms);
            agent.deliver_from_backend(acceptance(&key, 500));
            agent.deliver(&request(&key, 501));
            let spec = PacketSpec {
                flags: ACK | FIN,
                sequence: 501,
                acknowledgement: 141,
                data_bytes: 10,
            };
            agent.deliver_from_backend(from_backend(&key, spec));
        } else {
            handed_on.push(receivers(&actions, MessageKind::HandOn));
        }
    }
    (taken, handed_on)
}

/// Returns the maximum number of these times within one second.
fn max_in_one_second(times: &[u64]) -> usize {
    let count = |from: u64| {
        let window = from..from + 1_000;
        times.iter().filter(|at| window.contains(at)).count()
    };
    times.iter().map(|from| count(*from)).max().unwrap_or(0)
}

#[test]
fn a_cold_server_takes_openers_at_its_rate_and_hands_the_others_on() {
    let mut agent = cold_agent();
    let (taken, handed_on) = flood(&mut agent, 1_000, COLD_MS - 10);
    let most = max_in_one_second(&taken);
    assert!(
        (15..=MAX_IN_ONE_SECOND).contains(&most),
        "{most} in a second"
    );
    assert!(
        handed_on.iter().all(|hosts| hosts.len() == 1),
        "each of the others is handed on"
    );
}

#[test]
fn warm_servers_and_servers_without_a_rate_take_all_openers() {
    let mut warm = cold_agent();
    warm.now_ms += COLD_MS;
    assert_eq!(flood(&mut warm, 1_000, 1_000).1.len(), 0);
    let mut without_rate = cold_agent();
    without_rate.directory.set_cold_starts(Vec::new());
    assert_eq!(flood(&mut without_rate, 1_000, 1_000).1.len(), 0);
}

#[test]
fn an_agent_and_its_successor_together_stay_within_the_rate() {
    let mut agent = cold_agent();
    let (mut taken, _) = flood(&mut agent, 1_000, 700);
    let mut successor = cold_agent();
    successor.now_ms = agent.now_ms;
    taken.extend(flood(&mut successor, 2_000, 700).0);
    assert!(max_in_one_second(&taken) <= MAX_IN_ONE_SECOND, "{taken:?}");
}

#[test]
fn the_rate_applies_after_the_evacuation_of_a_zone_ended() {
    let mut agent = AgentUnderTest::new(5, true);
    set_cold_rate(&mut agent.directory);
    agent.handle_published_change();
    agent.directory.set_zone_evacuated(ZONE, true, 200);
    agent.handle_published_change();
    agent.now_ms += 5_000;
    agent.directory.set_zone_evacuated(ZONE, false, 201);
    agent.handle_published_change();
    // The entry does not show yet that the server is cold.
    let (taken, _) = flood(&mut agent, 1_000, COLD_MS - 10);
    assert!(max_in_one_second(&taken) <= MAX_IN_ONE_SECOND, "{taken:?}");
    agent.now_ms += 10;
    assert_eq!(flood(&mut agent, 2_000, 500).1.len(), 0, "it is warm again");
}

#[test]
fn the_rate_applies_to_a_server_that_was_seen_to_start() {
    let mut agent = AgentUnderTest::new(5, true);
    set_cold_rate(&mut agent.directory);
    agent.flow_agent.handle_backend_disconnected(agent.now_ms);
    agent.refuse_connection();
    agent.now_ms += 100;
    agent.flow_agent.handle_backend_listening(agent.now_ms);
    let (taken, _) = flood(&mut agent, 1_000, COLD_MS - 10);
    assert!(max_in_one_second(&taken) <= MAX_IN_ONE_SECOND, "{taken:?}");
}

#[test]
fn the_rate_does_not_apply_after_an_idle_connection_was_closed() {
    let mut agent = AgentUnderTest::new(5, true);
    set_cold_rate(&mut agent.directory);
    agent.reconnect();
    assert_eq!(flood(&mut agent, 1_000, 1_000).1.len(), 0);
}

#[test]
fn the_last_copy_is_refused_at_once_if_all_servers_are_cold() {
    let mut agent = AgentUnderTest::new(1, true);
    set_cold_rate(&mut agent.directory);
    publish_cold(&mut agent.directory, 1, agent.now_ms);
    let actions = agent.deliver(&opener(&flow(1), 2));
    assert!(!reaches_backend(&actions));
    assert_eq!(resets(&actions), [flow(1)]);
}

#[test]
fn malformed_cold_starts_are_refused_with_their_code() {
    let text = format!(
        "{}{}",
        cold_start_line("b", 2_000, 12.5),
        cold_start_line("a", 500, 3.0)
    );
    let starts = parse_cold_starts(&text).expect("sound");
    assert_eq!(starts.len(), 2);
    let b = starts
        .iter()
        .find(|start| start.service == ServiceId::from_name("b"));
    let b = b.expect("there");
    assert_eq!((b.cold_ms, b.flows_per_s), (2_000, 12.5));
    for text in [
        "a", "a,1", "a,x,3", "a,1,0", "a,1,-2", "a,1,NaN", "a,1,inf", "\n",
    ] {
        let code = parse_cold_starts(text).map_err(|error| error.code);
        assert_eq!(code.err(), Some(Code::ColdStartSyntax), "{text:?}");
    }
    assert!(parse_cold_starts("").expect("empty").is_empty());
}

#[test]
fn an_opener_waits_for_the_rate_of_cold_servers_if_callers_have_one_attempt() {
    let mut agent = AgentUnderTest::new(2, true);
    set_deadline(&mut agent.directory);
    set_cold_rate(&mut agent.directory);
    for index in 1..=2 {
        publish_cold(&mut agent.directory, index, agent.now_ms);
    }
    let key = flow(1);
    let mut message = Message::new(MessageKind::HandOn);
    message.host = BALANCER;
    message.hops = 1;
    let actions = agent.deliver_message(host(2), message, &opener(&key, 0));
    assert!(!reaches_backend(&actions), "the token bucket starts empty");
    assert_eq!(receivers(&actions, MessageKind::Holds), [BALANCER]);
    let later_ms = agent.now_ms + 100;
    assert!(reaches_backend(&agent.tick_at(later_ms)));
}

#[test]
fn openers_that_a_cold_server_would_take_too_late_are_refused_at_once() {
    let mut agent = AgentUnderTest::new(2, true);
    set_deadline(&mut agent.directory);
    set_cold_rate(&mut agent.directory);
    for index in 1..=2 {
        publish_cold(&mut agent.directory, index, agent.now_ms);
    }
    let mut message = Message::new(MessageKind::HandOn);
    message.host = BALANCER;
    message.hops = 1;
    let mut waiting = 0;
    for port in 1..=100 {
        let actions = agent.deliver_message(host(2), message, &opener(&flow(port), 0));
        let is_refused = resets(&actions) == [flow(port)];
        let waits = receivers(&actions, MessageKind::Holds) == [BALANCER];
        assert!(is_refused != waits, "port {port}: {actions:?}");
        waiting += usize::from(waits);
    }
    // The number of flows at the rate until callers time out.
    let most = (FLOWS_PER_S * 1.5).ceil() as usize;
    assert!((1..=most).contains(&waiting), "{waiting} wait");
}
