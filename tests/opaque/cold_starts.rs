//! How many new flows a cold backend server is handed, by the rate that operators tell.

use std::net::Ipv4Addr;

use endivedyke::opaque::{
    BackendState, Directory, Message, MessageKind, cold_backend_text, cold_start_line,
    parse_cold_starts,
};
use endivedyke::{Code, ServiceId};

use crate::builder::{
    ACK, AgentUnderTest, BALANCER, FIN, PacketSpec, SERVICE, ZONE, acceptance, flow, from_backend,
    host, hosts_told, opener, publish, reaches_backend, request, resets, state_text, tell_deadline,
};

/// How many new flows a cold backend server bears a second in these tests.
const FLOWS_PER_S: f64 = 20.0;
const COLD_MS: u64 = 2_000;
/// The most that may pass in any second: a quarter of a second saved up, and a rounded one.
const MOST: usize = 26;

fn tell_rate(directory: &mut Directory) {
    let text = cold_start_line(SERVICE, COLD_MS, FLOWS_PER_S);
    directory.set_cold_starts(parse_cold_starts(&text).expect("sound"));
}

fn publish_cold(directory: &mut Directory, index: u16, now_ms: u64) {
    let text = cold_backend_text(&state_text(index, BackendState::Ready), COLD_MS as u32);
    publish(directory, index, &text, 100 + u64::from(index), now_ms);
}

/// Returns the agent of one cold and four warm backend servers.
fn cold_agent() -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(5, true);
    tell_rate(&mut agent.directory);
    publish_cold(&mut agent.directory, 1, agent.now_ms);
    agent
}

/// Offers an opener each five milliseconds, each answered and ended at once, and returns when they were taken
/// and to whom the others went.
fn flood(
    agent: &mut AgentUnderTest,
    first_port: u16,
    for_ms: u64,
) -> (Vec<u64>, Vec<Vec<Ipv4Addr>>) {
    let mut taken = Vec::new();
    let mut passed_on = Vec::new();
    for step in 0..(for_ms / 5) as u16 {
        agent.now_ms += 5;
        let key = flow(first_port + step);
        let actions = agent.deliver(&opener(&key, 0));
        if reaches_backend(&actions) {
            taken.push(agent.now_ms);
            agent.backend(acceptance(&key, 500));
            agent.deliver(&request(&key, 501));
            let spec = PacketSpec {
                flags: ACK | FIN,
                sequence: 501,
                acknowledgement: 141,
                data_bytes: 10,
            };
            agent.backend(from_backend(&key, spec));
        } else {
            passed_on.push(hosts_told(&actions, MessageKind::HandOn));
        }
    }
    (taken, passed_on)
}

/// Returns the most of these times that lie within one second.
fn most_in_a_second(times: &[u64]) -> usize {
    let count = |from: u64| {
        let window = from..from + 1_000;
        times.iter().filter(|at| window.contains(at)).count()
    };
    times.iter().map(|from| count(*from)).max().unwrap_or(0)
}

#[test]
fn a_flood_of_openers_reaches_a_cold_server_at_its_rate_and_warm_ones_with_the_rest() {
    let mut agent = cold_agent();
    let (taken, passed_on) = flood(&mut agent, 1_000, COLD_MS - 10);
    let most = most_in_a_second(&taken);
    assert!((15..=MOST).contains(&most), "{most} in a second");
    assert!(
        passed_on.iter().all(|hosts| hosts.len() == 1),
        "each goes on"
    );
}

#[test]
fn a_warm_server_and_one_without_a_told_rate_take_them_all() {
    let mut warm = cold_agent();
    warm.now_ms += COLD_MS;
    assert_eq!(flood(&mut warm, 1_000, 1_000).1.len(), 0);
    let mut untold = cold_agent();
    untold.directory.set_cold_starts(Vec::new());
    assert_eq!(flood(&mut untold, 1_000, 1_000).1.len(), 0);
}

#[test]
fn what_passes_an_agent_and_its_successor_stays_within_the_rate() {
    let mut agent = cold_agent();
    let (mut taken, _) = flood(&mut agent, 1_000, 700);
    let mut successor = cold_agent();
    successor.now_ms = agent.now_ms;
    taken.extend(flood(&mut successor, 2_000, 700).0);
    assert!(most_in_a_second(&taken) <= MOST, "{taken:?}");
}

#[test]
fn a_server_of_a_zone_that_was_just_taken_back_may_be_cold() {
    let mut agent = AgentUnderTest::new(5, true);
    tell_rate(&mut agent.directory);
    agent.published_changed();
    agent.directory.set_zone_evacuated(ZONE, true, 200);
    agent.published_changed();
    agent.now_ms += 5_000;
    agent.directory.set_zone_evacuated(ZONE, false, 201);
    agent.published_changed();
    // Its entry has not told so yet.
    let (taken, _) = flood(&mut agent, 1_000, COLD_MS - 10);
    assert!(most_in_a_second(&taken) <= MOST, "{taken:?}");
    agent.now_ms += 10;
    assert_eq!(flood(&mut agent, 2_000, 500).1.len(), 0, "it is warm again");
}

#[test]
fn a_server_that_was_just_seen_to_start_may_be_cold() {
    let mut agent = AgentUnderTest::new(5, true);
    tell_rate(&mut agent.directory);
    agent.keeper.backend_breaks(agent.now_ms);
    agent.refuse();
    agent.now_ms += 100;
    agent.keeper.backend_listens(agent.now_ms);
    let (taken, _) = flood(&mut agent, 1_000, COLD_MS - 10);
    assert!(most_in_a_second(&taken) <= MOST, "{taken:?}");
}

#[test]
fn the_rest_of_an_idle_connection_makes_no_server_cold() {
    let mut agent = AgentUnderTest::new(5, true);
    tell_rate(&mut agent.directory);
    agent.reconnect();
    assert_eq!(flood(&mut agent, 1_000, 1_000).1.len(), 0);
}

#[test]
fn where_all_are_cold_the_last_copy_is_refused_at_once() {
    let mut agent = AgentUnderTest::new(1, true);
    tell_rate(&mut agent.directory);
    publish_cold(&mut agent.directory, 1, agent.now_ms);
    let actions = agent.deliver(&opener(&flow(1), 2));
    assert!(!reaches_backend(&actions));
    assert_eq!(resets(&actions), [flow(1)]);
}

#[test]
fn cold_starts_are_parsed_whole_or_refused_with_their_code() {
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
    assert!(parse_cold_starts("").expect("none told").is_empty());
}

#[test]
fn an_opener_that_all_decline_for_their_rates_waits_where_callers_have_no_second_attempt() {
    let mut agent = AgentUnderTest::new(2, true);
    tell_deadline(&mut agent.directory);
    tell_rate(&mut agent.directory);
    for index in 1..=2 {
        publish_cold(&mut agent.directory, index, agent.now_ms);
    }
    let key = flow(1);
    let mut message = Message::new(MessageKind::HandOn);
    message.host = BALANCER;
    message.hops = 1;
    let actions = agent.hear(host(2), message, &opener(&key, 0));
    assert!(!reaches_backend(&actions), "the rate begins at none");
    assert_eq!(hosts_told(&actions, MessageKind::Holds), [BALANCER]);
    let later_ms = agent.now_ms + 100;
    assert!(reaches_backend(&agent.tick_at(later_ms)));
}

#[test]
fn openers_that_the_rate_of_a_cold_server_serves_too_late_are_refused_at_once() {
    let mut agent = AgentUnderTest::new(2, true);
    tell_deadline(&mut agent.directory);
    tell_rate(&mut agent.directory);
    for index in 1..=2 {
        publish_cold(&mut agent.directory, index, agent.now_ms);
    }
    let mut message = Message::new(MessageKind::HandOn);
    message.host = BALANCER;
    message.hops = 1;
    let mut wait = 0;
    for port in 1..=100 {
        let actions = agent.hear(host(2), message, &opener(&flow(port), 0));
        let is_refused = resets(&actions) == [flow(port)];
        let waits = hosts_told(&actions, MessageKind::Holds) == [BALANCER];
        assert!(is_refused != waits, "port {port}: {actions:?}");
        wait += usize::from(waits);
    }
    // What the rate lets through until callers give up.
    let most = (FLOWS_PER_S * 1.5).ceil() as usize;
    assert!((1..=most).contains(&wait), "{wait} wait");
}
