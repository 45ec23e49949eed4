//! The agent to which a balancer forwards each packet.

use endivedyke::opaque::{
    Action, BackendState, Directory, Forwarder, MessageKind, UNKNOWN_LOAD_PERMILLE,
};
use endivedyke::{Code, Suspicion};

use crate::builder::{
    PacketSpec, RST, directory, entry_text, entry_text_in, flow, flow_from, forwarded_to,
    forwarder, from_caller, host, index_of, opener, publish, receivers, request, resets,
};

fn send(forwarder: &mut Forwarder, packet: Vec<u8>) -> Action {
    let mut suspicion = Suspicion::default();
    forwarder
        .handle(&directory(5), &mut suspicion, packet, 1_000)
        .expect("forwarded")
}

#[test]
fn two_balancers_choose_the_same_agent() {
    for port in 1..200 {
        let first = send(&mut forwarder(), opener(&flow(port), 0));
        let second = send(&mut forwarder(), request(&flow(port), 1));
        assert_eq!(forwarded_to(&first), forwarded_to(&second));
    }
}

#[test]
fn each_copy_of_an_unanswered_opener_goes_to_another_agent() {
    let mut balancer = forwarder();
    let copies = [0, 1, 2].map(|copy| forwarded_to(&send(&mut balancer, opener(&flow(1), copy))));
    assert_ne!(copies[0], copies[1]);
    assert_ne!(copies[1], copies[2]);
}

#[test]
fn copies_of_a_taken_opener_go_to_the_agent_that_took_it() {
    let mut balancer = forwarder();
    send(&mut balancer, opener(&flow(1), 0));
    balancer.record_holder(flow(1), host(4), 1_001);
    assert_eq!(
        forwarded_to(&send(&mut balancer, opener(&flow(1), 1))),
        host(4)
    );
    assert_eq!(
        forwarded_to(&send(&mut balancer, request(&flow(1), 1))),
        host(4)
    );
}

#[test]
fn an_opener_without_an_answer_goes_to_the_next_agent_after_the_timeout() {
    let mut balancer = forwarder();
    let first = forwarded_to(&send(&mut balancer, opener(&flow(1), 0)));
    let mut suspicion = Suspicion::default();
    assert!(
        balancer
            .tick(&directory(5), &mut suspicion, 1_050)
            .is_empty()
    );
    let actions = balancer.tick(&directory(5), &mut suspicion, 1_100);
    let next = receivers(&actions, MessageKind::Deliver);
    assert_eq!(next.len(), 1);
    assert_ne!(next[0], first);
    assert!(
        !suspicion.is_suspected(first, 1_100),
        "one opener may be lost"
    );
}

#[test]
fn an_agent_that_leaves_two_openers_in_a_row_unanswered_is_suspected() {
    for has_sent_message in [false, true] {
        let mut balancer = forwarder();
        let mut suspicion = Suspicion::default();
        let site = directory(1);
        for (port, now_ms) in [(1, 1_000), (2, 1_200)] {
            let packet = opener(&flow(port), 0);
            balancer
                .handle(&site, &mut suspicion, packet, now_ms)
                .expect("forwarded");
            balancer.tick(&site, &mut suspicion, now_ms + 100);
            if has_sent_message {
                balancer.record_message(host(1), UNKNOWN_LOAD_PERMILLE, now_ms);
            }
        }
        assert_eq!(suspicion.is_suspected(host(1), 1_300), !has_sent_message);
    }
}

#[test]
fn an_agent_that_handed_an_opener_on_is_not_suspected() {
    let mut balancer = forwarder();
    let first = forwarded_to(&send(&mut balancer, opener(&flow(1), 0)));
    balancer.record_handed_on(&flow(1), first);
    let mut suspicion = Suspicion::default();
    assert!(
        balancer
            .tick(&directory(5), &mut suspicion, 2_000)
            .is_empty()
    );
    assert!(!suspicion.is_suspected(first, 2_000));
}

#[test]
fn draining_backend_servers_get_no_openers_and_keep_their_flows() {
    let mut directory = directory(2);
    publish(
        &mut directory,
        1,
        &entry_text(1, BackendState::Draining),
        9,
        0,
    );
    let mut suspicion = Suspicion::default();
    let mut balancer = forwarder();
    balancer.record_holder(flow(1), host(1), 1_000);
    for port in 2..100 {
        let action = balancer.handle(&directory, &mut suspicion, opener(&flow(port), 0), 1_000);
        assert_eq!(forwarded_to(&action.expect("forwarded")), host(2));
    }
    let action = balancer.handle(&directory, &mut suspicion, request(&flow(1), 1), 1_000);
    assert_eq!(forwarded_to(&action.expect("forwarded")), host(1));
}

#[test]
fn a_flow_to_an_address_without_a_route_is_reset_at_once() {
    let mut key = flow(1);
    key.called.set_port(444);
    let mut balancer = forwarder();
    for packet in [opener(&key, 0), request(&key, 77)] {
        assert_eq!(resets(&[send(&mut balancer, packet)]), [key]);
    }
}

#[test]
fn a_reset_without_a_route_is_dropped_not_answered() {
    let mut key = flow(1);
    key.called.set_port(444);
    let spec = PacketSpec {
        flags: RST,
        ..PacketSpec::default()
    };
    let mut suspicion = Suspicion::default();
    let result = forwarder().handle(
        &directory(1),
        &mut suspicion,
        from_caller(&key, spec),
        1_000,
    );
    assert_eq!(result.map_err(|error| error.code), Err(Code::RouteUnknown));
}

#[test]
fn hints_expire_with_the_flow_lifetime() {
    let mut balancer = forwarder();
    balancer.record_holder(flow(1), host(1), 1_000);
    balancer.expire(60_000);
    assert_eq!(balancer.hint_count(), 1);
    balancer.expire(61_001);
    assert_eq!(balancer.hint_count(), 0);
}

#[test]
fn malformed_packets_are_dropped_with_their_code() {
    let mut short = opener(&flow(1), 0);
    short.pop();
    for packet in [Vec::new(), short, vec![0xff; 4_000]] {
        let mut suspicion = Suspicion::default();
        let result = forwarder().handle(&directory(1), &mut suspicion, packet, 1_000);
        assert_eq!(
            result.map_err(|error| error.code),
            Err(Code::SegmentMalformed)
        );
    }
}

#[test]
fn of_two_candidates_the_clearly_less_loaded_one_gets_the_opener() {
    let first = forwarded_to(&send(&mut forwarder(), opener(&flow(1), 0)));
    let second = forwarded_to(&send(&mut forwarder(), opener(&flow(1), 1)));
    let cases = [
        (1_000, 100, second),
        (1_000, 900, first),
        (100, 1_000, first),
    ];
    for (first_load, second_load, chosen) in cases {
        let mut balancer = forwarder();
        balancer.record_message(first, first_load, 900);
        balancer.record_message(second, second_load, 900);
        let host = forwarded_to(&send(&mut balancer, opener(&flow(1), 0)));
        assert_eq!(host, chosen, "{first_load} and {second_load}");
    }
}

#[test]
fn expired_and_unknown_loads_do_not_change_the_choice() {
    let first = forwarded_to(&send(&mut forwarder(), opener(&flow(1), 0)));
    let second = forwarded_to(&send(&mut forwarder(), opener(&flow(1), 1)));
    for (load, recorded_ms) in [(2_000, 0), (UNKNOWN_LOAD_PERMILLE, 900)] {
        let mut balancer = forwarder();
        balancer.record_message(first, load, recorded_ms);
        balancer.record_message(second, 0, recorded_ms);
        let mut suspicion = Suspicion::default();
        let packet = opener(&flow(1), 0);
        let action = balancer.handle(&directory(5), &mut suspicion, packet, 2_500);
        assert_eq!(forwarded_to(&action.expect("forwarded")), first);
    }
}

/// Returns a site of nine backend servers, every third of which is in the balancer's zone.
fn three_zones() -> Directory {
    let mut site = directory(9);
    for index in (1..=9).filter(|index| index % 3 != 0) {
        let text = entry_text_in("zone-b", index, BackendState::Ready);
        publish(&mut site, index, &text, 20, 0);
    }
    site
}

fn is_near(host: std::net::Ipv4Addr) -> bool {
    index_of(host).is_multiple_of(3)
}

#[test]
fn most_openers_stay_in_the_zone_and_other_zones_share_the_rest_evenly() {
    let site = three_zones();
    let mut counts = [0_u32; 10];
    for port in 1..9_001 {
        let mut suspicion = Suspicion::default();
        let packet = opener(&flow(port), 0);
        let action = forwarder().handle(&site, &mut suspicion, packet, 1_000);
        counts[usize::from(index_of(forwarded_to(&action.expect("forwarded"))))] += 1;
    }
    let near: u32 = (1..10)
        .filter(|index| index % 3 == 0)
        .map(|index| counts[index])
        .sum();
    // All but (6·5·4·3) / (9·8·7·6) of the openers have an agent of the zone among their first four by
    // hash.
    assert!((7_800..8_060).contains(&near), "{counts:?}");
    let is_even = |share: u32, index: usize| counts[index].abs_diff(share) < share / 5;
    assert!(
        [3, 6, 9].iter().all(|index| is_even(near / 3, *index)),
        "{counts:?}"
    );
    let far = 9_000 - near;
    assert!(
        [1, 2, 4, 5, 7, 8]
            .iter()
            .all(|index| is_even(far / 6, *index)),
        "{counts:?}"
    );
}

#[test]
fn copies_of_one_opener_go_to_three_agents_whatever_their_zones() {
    let site = three_zones();
    for port in 1..500 {
        let mut balancer = forwarder();
        let mut suspicion = Suspicion::default();
        let mut send = |copy| {
            let packet = opener(&flow(port), copy);
            forwarded_to(
                &balancer
                    .handle(&site, &mut suspicion, packet, 1_000)
                    .expect("forwarded"),
            )
        };
        let mut hosts = [send(0), send(1), send(2)];
        hosts.sort_unstable();
        assert!(
            hosts.windows(2).all(|pair| pair[0] != pair[1]),
            "{port}: {hosts:?}"
        );
    }
}

#[test]
fn a_clearly_less_loaded_agent_in_another_zone_is_preferred_to_a_near_one() {
    let site = three_zones();
    let mut chosen = 0;
    for port in 1..500 {
        let mut suspicion = Suspicion::default();
        let mut send = |balancer: &mut Forwarder, copy| {
            let packet = opener(&flow(port), copy);
            let action = balancer.handle(&site, &mut suspicion, packet, 1_000);
            forwarded_to(&action.expect("forwarded"))
        };
        let mut without_loads = forwarder();
        let (first, second) = (send(&mut without_loads, 0), send(&mut without_loads, 1));
        let mut with_loads = forwarder();
        for index in 1..=9 {
            let load_permille = if index % 3 == 0 { 1_500 } else { 500 };
            with_loads.record_message(host(index), load_permille, 1_000);
        }
        let prefers_far = is_near(first) && !is_near(second);
        let expected = if prefers_far { second } else { first };
        assert_eq!(send(&mut with_loads, 0), expected, "{port}");
        chosen += u32::from(prefers_far);
    }
    assert!(chosen > 100, "{chosen}");
}

#[test]
fn an_opener_that_the_less_loaded_agent_does_not_answer_goes_to_the_other_one() {
    let site = directory(5);
    for port in 1..200 {
        let mut suspicion = Suspicion::default();
        let mut without_loads = forwarder();
        let packet = opener(&flow(port), 0);
        let action = without_loads.handle(&site, &mut suspicion, packet.clone(), 1_000);
        let first = forwarded_to(&action.expect("forwarded"));
        let mut with_loads = forwarder();
        for index in 1..=5 {
            let load_permille = if host(index) == first { 1_500 } else { 500 };
            with_loads.record_message(host(index), load_permille, 1_000);
        }
        let action = with_loads.handle(&site, &mut suspicion, packet, 1_000);
        let less_loaded = forwarded_to(&action.expect("forwarded"));
        assert_ne!(less_loaded, first);
        let actions = with_loads.tick(&site, &mut suspicion, 1_100);
        assert_eq!(receivers(&actions, MessageKind::Deliver), [first], "{port}");
    }
}

fn waited_ms(balancer: &mut Forwarder, packet: Vec<u8>, now_ms: u64) -> u16 {
    let mut suspicion = Suspicion::default();
    let action = balancer.handle(&directory(5), &mut suspicion, packet, now_ms);
    match action {
        Ok(Action::ToPeer(_, message, _)) => message.waited_ms,
        other => panic!("not forwarded: {other:?}"),
    }
}

#[test]
fn the_next_opener_of_a_caller_after_a_failed_attempt_is_its_retry() {
    for (after_ms, expected_ms) in [(7, 607), (125, 725), (126, 0)] {
        let mut balancer = forwarder();
        balancer.record_failed_attempt(&flow(1), 600, 1_000);
        let now_ms = 1_000 + after_ms;
        let first = waited_ms(&mut balancer, opener(&flow(2), 0), now_ms);
        assert_eq!(first, expected_ms, "after {after_ms} ms");
        // Its copies have the same age. The next opener from the same address is not a retry.
        assert_eq!(
            waited_ms(&mut balancer, opener(&flow(2), 1), now_ms + 200),
            first
        );
        assert_eq!(waited_ms(&mut balancer, opener(&flow(3), 0), now_ms), 0);
    }
}

#[test]
fn an_opener_of_another_caller_is_not_a_retry() {
    let mut balancer = forwarder();
    balancer.record_failed_attempt(&flow(1), 600, 1_000);
    let other = flow_from("100.64.0.8".parse().expect("address"), 2);
    assert_eq!(waited_ms(&mut balancer, opener(&other, 0), 1_007), 0);
    assert_eq!(waited_ms(&mut balancer, opener(&flow(2), 0), 1_008), 608);
}

#[test]
fn as_many_openers_are_retries_as_attempts_failed() {
    let mut balancer = forwarder();
    balancer.record_failed_attempt(&flow(1), 600, 1_000);
    balancer.record_failed_attempt(&flow(2), 100, 1_001);
    let ages = [3, 4, 5].map(|port| waited_ms(&mut balancer, opener(&flow(port), 0), 1_010));
    assert_eq!(ages, [610, 109, 0]);
}
