//! Decisions that a process makes from its own observations: routing of packets, suspicion of
//! silent hosts, return paths, timers after a pause, and the retry budget.

mod common;

use std::net::Ipv4Addr;

use common::{host, store, table_text};
use endivedyke::{
    ANSWER_TIMEOUT_MS, Code, KeyRing, PAUSE_THRESHOLD_MS, RetryBudget, ReturnPath, SUSPICION_MS,
    SealedId, SealedIdKind, ServiceId, Suspicion, TimerEvent, TimerService, owner_host, steer,
};

const SERVICE: &str = "panel-front";

/// Returns a QUIC version 1 packet with a long header of this type.
fn long_packet(packet_type: u8, id: &[u8]) -> Vec<u8> {
    let mut packet = vec![0xc0 | (packet_type << 4), 0, 0, 0, 1, id.len() as u8];
    packet.extend_from_slice(id);
    packet.resize(1_200, 0);
    packet
}

#[test]
fn packets_follow_their_token_and_openers_go_to_the_owner() {
    let text = table_text(SERVICE, &[100, 100, 100], 9);
    let store = store(&[("table/panel-front", 1, &text)]);
    let service = ServiceId::from_name(SERVICE);
    let gone = Ipv4Addr::new(10, 9, 9, 9);
    let token = SealedId {
        host: gone,
        incarnation: 3,
        service,
        nonce: 1,
    };
    let token = token.seal(store.key_ring(), SealedIdKind::Token, [0; 3]);
    let mut short = vec![0x40];
    short.extend_from_slice(&token);
    short.resize(60, 0);
    let route = |packet: &[u8]| steer(&store, &Suspicion::default(), service, packet, 0);
    // A packet goes to the host of its token, even if neither the table nor the host list has that
    // host.
    for packet in [short, long_packet(0, &token), long_packet(2, &token)] {
        let route = route(&packet).expect("a route");
        assert_eq!((route.host, route.may_open), (gone, false));
    }
    assert!(route(&long_packet(0, &[5; 8])).expect("a route").may_open);
    let cases = [
        (long_packet(0, &[5; 7]), Code::PacketUnroutable),
        (long_packet(2, &[5; 20]), Code::PacketUnroutable),
        (vec![0x40; 60], Code::PacketUnroutable),
        (vec![0x40; 5], Code::PacketShort),
    ];
    for (packet, code) in cases {
        assert_eq!(route(&packet).expect_err("dropped").code, code);
    }
    let other = ServiceId::from_name("study-intake");
    let crossed = steer(
        &store,
        &Suspicion::default(),
        other,
        &long_packet(2, &token),
        0,
    );
    assert_eq!(
        crossed.expect_err("a token of another service").code,
        Code::PacketUnroutable
    );
}

#[test]
fn a_silent_owner_is_skipped_until_its_suspicion_expires() {
    let text = table_text(SERVICE, &[100, 100, 100], 9);
    let store = store(&[("table/panel-front", 1, &text)]);
    let service = ServiceId::from_name(SERVICE);
    let mut suspicion = Suspicion::default();
    let choose = |suspicion: &Suspicion, now_ms| owner_host(&store, suspicion, service, 77, now_ms);
    let first = choose(&suspicion, 0).expect("an owner");
    suspicion.record_sent(first, 0);
    suspicion.record_sent(first, ANSWER_TIMEOUT_MS);
    assert_eq!(choose(&suspicion, ANSWER_TIMEOUT_MS), Ok(first), "not yet");
    let late_ms = ANSWER_TIMEOUT_MS + 1;
    suspicion.record_sent(first, late_ms);
    assert_ne!(choose(&suspicion, late_ms), Ok(first));
    assert_eq!(
        choose(&suspicion, late_ms + SUSPICION_MS),
        Ok(first),
        "the suspicion expired"
    );
    suspicion.suspect(first, late_ms);
    suspicion.record_answer(first);
    assert_eq!(
        choose(&suspicion, late_ms),
        Ok(first),
        "an answer ends the suspicion at once"
    );
    for index in 0..3 {
        suspicion.suspect(host(index), late_ms);
    }
    assert_eq!(
        choose(&suspicion, late_ms),
        Ok(first),
        "if all are suspected, suspicion is ignored"
    );
    suspicion.prune(late_ms + SUSPICION_MS);
    assert!(suspicion.suspected_hosts(late_ms).is_empty());
}

#[test]
fn answers_avoid_balancers_that_are_silent_or_leave() {
    let (a, b) = (host(0), host(1));
    let listed = [a, b];
    let mut path = ReturnPath::default();
    path.record_datagram(a, 0);
    path.record_datagram(b, 0);
    assert_eq!(path.choose(a, 100, &listed), a, "a live balancer is kept");
    path.record_datagram(b, 400);
    assert_eq!(
        path.choose(a, 400, &listed),
        b,
        "the first is silent, the other is not"
    );
    path.record_datagram(a, 500);
    assert_eq!(path.choose(a, 500, &listed), a, "the first sends again");
    path.set_leaving(a);
    assert_eq!(path.choose(a, 500, &listed), b, "the first leaves");
    let tried = [
        path.choose(b, 2_000, &listed),
        path.choose(b, 2_000, &listed),
    ];
    assert!(
        tried.contains(&a) && tried.contains(&b),
        "all are silent: they are tried in turn"
    );
    assert_eq!(ReturnPath::default().choose(a, 0, &[]), a);
}

#[test]
fn a_pause_is_reported_before_the_timers_that_fell_due_in_it() {
    let mut timer = TimerService::new(0);
    let id = timer.subscribe(100, 50);
    assert_eq!(timer.wait_ms(), 50);
    assert_eq!(timer.advance(49), []);
    assert_eq!(timer.advance(50), [TimerEvent::Due(id)]);
    assert_eq!(timer.advance(150), [TimerEvent::Due(id)]);
    let late_ms = 150 + PAUSE_THRESHOLD_MS + 1;
    let gap_ms = PAUSE_THRESHOLD_MS + 1;
    let events = [TimerEvent::Resumed { gap_ms }, TimerEvent::Due(id)];
    assert_eq!(timer.advance(late_ms), events, "the timer is due once");
}

#[test]
fn retries_are_limited_to_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!((90..=102).contains(&retries), "{retries} of 1000");
}

#[test]
fn initial_key_rings_of_one_cluster_open_each_others_ids() {
    let key = common::cluster_key();
    let token = SealedId {
        host: host(0),
        incarnation: 1,
        service: ServiceId::from_name(SERVICE),
        nonce: 9,
    };
    let sealed = token.seal(&KeyRing::initial(&key), SealedIdKind::Ticket, [0; 3]);
    let opened = SealedId::open(
        &KeyRing::initial(&key),
        SealedIdKind::Ticket,
        token.service,
        &sealed,
    );
    assert_eq!(opened, Some(token));
}
