//! The search for the holder of a flow by a balancer without a configuration.

use std::net::Ipv4Addr;

use endivedyke::opaque::{Action, FlowSearch, Forwarder, MessageKind};
use endivedyke::{Code, Suspicion};

use crate::builder::{
    directory, flow, forwarded_to, forwarder, host, opener, receivers, request, resets,
};

/// Returns a search that `agents` agents have greeted.
fn search(agents: u16, now_ms: u64) -> FlowSearch {
    let mut search = FlowSearch::new();
    for index in 1..=agents {
        search.record_greeting(host(index), now_ms);
    }
    search
}

fn forward(balancer: &mut Forwarder, search: &mut FlowSearch, port: u16) -> Vec<Action> {
    balancer
        .handle_without_routes(search, &request(&flow(port), 7), 1_000)
        .expect("forwarded")
}

#[test]
fn a_packet_of_an_open_flow_is_shown_to_all_agents_of_a_small_site() {
    let actions = forward(&mut forwarder(), &mut search(16, 1_000), 1);
    let mut shown = receivers(&actions, MessageKind::Find);
    shown.sort_unstable();
    assert_eq!(shown, (1..=16).map(host).collect::<Vec<_>>());
    assert!(resets(&actions).is_empty());
}

#[test]
fn on_a_larger_site_each_copy_is_shown_to_twice_as_many_agents_until_all_have_seen_one() {
    for (agents, copies) in [(54, 3), (250, 5), (1_000, 7), (6_000, 27)] {
        let (mut balancer, mut search) = (forwarder(), search(agents, 1_000));
        let mut shown = Vec::new();
        for copy in 0..copies {
            let actions = forward(&mut balancer, &mut search, 1);
            let hosts = receivers(&actions, MessageKind::Find);
            let most = if copy < 5 { 16 << copy } else { 256 };
            let left = usize::from(agents) - shown.len();
            assert_eq!(hosts.len(), left.min(most), "{agents} agents");
            shown.extend(hosts);
        }
        shown.sort_unstable();
        shown.dedup();
        assert_eq!(shown.len(), usize::from(agents), "after {copies} copies");
    }
}

#[test]
fn the_first_packet_of_a_flow_is_shown_to_its_holder_at_any_size() {
    for agents in [30, 300, 1_000, 6_000] {
        let directory = directory(agents);
        let mut search = search(agents, 1_000);
        for port in 0..50 {
            let packet = opener(&flow(port), 0);
            let opened = forwarder().handle(&directory, &mut Suspicion::default(), packet, 1_000);
            let holder = forwarded_to(&opened.expect("forwarded"));
            let shown = search.next_agents(&flow(port), 1_000);
            assert!(shown.contains(&holder), "{agents} agents, flow {port}");
        }
    }
}

#[test]
fn balancers_learn_all_agents_from_one_seed_at_any_size() {
    for agents in [30, 300, 1_000, 6_000] {
        let mut other = FlowSearch::new();
        for now_ms in (0..9_800).step_by(200) {
            let list = search(agents, now_ms).agent_list(now_ms);
            assert!(list.len() <= 1_024, "fits a datagram");
            other.record_agents(&list, now_ms);
        }
        other.next_agents(&flow(1), 9_800);
        assert_eq!(other.agent_count(), usize::from(agents));
    }
}

#[test]
fn once_the_holder_is_known_packets_go_only_there() {
    let (mut balancer, mut search) = (forwarder(), search(5, 1_000));
    forward(&mut balancer, &mut search, 1);
    balancer.record_holder(flow(1), host(4), 1_010);
    let actions = forward(&mut balancer, &mut search, 1);
    assert_eq!(receivers(&actions, MessageKind::Deliver), [host(4)]);
    assert_eq!(actions.len(), 1);
}

#[test]
fn no_flow_is_opened_or_refused_without_a_configuration() {
    let mut search = search(5, 1_000);
    let opened = forwarder().handle_without_routes(&mut search, &opener(&flow(1), 2), 1_000);
    assert_eq!(opened.map_err(|error| error.code), Err(Code::RouteUnknown));
    assert!(forward(&mut forwarder(), &mut FlowSearch::new(), 1).is_empty());
}

#[test]
fn silent_agents_expire() {
    for (now_ms, known) in [(2_999, 3), (3_000, 0)] {
        let mut search = search(3, 1_000);
        assert_eq!(
            search.next_agents(&flow(1), now_ms).len(),
            known,
            "{now_ms}"
        );
    }
}

#[test]
fn another_balancer_accepts_a_list_of_agents_up_to_its_bounds() {
    let list = search(16, 1_000).agent_list(1_000);
    let mut other = FlowSearch::new();
    other.record_agents(&list, 1_000);
    assert_eq!(other.next_agents(&flow(1), 1_000).len(), 16);
    let long: Vec<u8> = (0..2_000_u32)
        .flat_map(|index| Ipv4Addr::from(index).octets())
        .collect();
    other.record_agents(&long, 1_000);
    assert_eq!(
        other.agent_count(),
        16 + 256,
        "one message lists at most 256"
    );
    for part in 1..300 {
        let listed = (0..256_u32).flat_map(|index| Ipv4Addr::from(part << 8 | index).octets());
        other.record_agents(&listed.collect::<Vec<u8>>(), 1_000);
    }
    assert_eq!(other.agent_count(), 65_536);
    // Trailing bytes that are no whole address are ignored.
    let mut odd = FlowSearch::new();
    odd.record_agents(&[10, 0, 0, 1, 10, 0], 1_000);
    assert_eq!(odd.next_agents(&flow(1), 1_000), [host(1)]);
}

#[test]
fn balancers_list_agents_that_greeted_them_and_not_agents_from_lists() {
    let mut seed = search(2, 1_000);
    let mut other = FlowSearch::new();
    other.record_agents(&seed.agent_list(1_000), 1_000);
    assert!(other.agent_list(1_000).is_empty());
    // A list that comes back from another process does not keep a silent agent alive.
    seed.record_agents(&seed.agent_list(2_900), 2_900);
    assert!(seed.agent_list(3_000).is_empty());
}
