//! Local facts: who is suspected, who answers, what a pause makes of what was known.

mod common;

use std::net::Ipv4Addr;

use common::{host, store, table_text};
use endivedyke::{
    ANSWER_TIMEOUT_MS, Code, KeyRing, PAUSE_MS, RetryBudget, ReturnPath, SUSPICION_MS, SealedId,
    SealedIdKind, ServiceId, Suspicion, TimerEvent, TimerService, owner, steer,
};

const SERVICE: &str = "panel-front";

/// A QUIC version 1 packet with a long header of this type.
fn long_packet(packet_type: u8, id: &[u8]) -> Vec<u8> {
    let mut packet = vec![0xc0 | (packet_type << 4), 0, 0, 0, 1, id.len() as u8];
    packet.extend_from_slice(id);
    packet.resize(1_200, 0);
    packet
}

#[test]
fn packets_go_to_the_token_and_openers_to_the_owner() {
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
    // A host that neither the table nor the host list knows is followed all the same.
    for packet in [short, long_packet(0, &token), long_packet(2, &token)] {
        let route = route(&packet).expect("a route");
        assert_eq!((route.host, route.opens), (gone, false));
    }
    assert!(route(&long_packet(0, &[5; 8])).expect("a route").opens);
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
        crossed.expect_err("never to another service").code,
        Code::PacketUnroutable
    );
}

#[test]
fn a_silent_owner_is_passed_over_for_a_while() {
    let text = table_text(SERVICE, &[100, 100, 100], 9);
    let store = store(&[("table/panel-front", 1, &text)]);
    let service = ServiceId::from_name(SERVICE);
    let mut suspicion = Suspicion::default();
    let choose = |suspicion: &Suspicion, now_ms| owner(&store, suspicion, service, 77, now_ms);
    let first = choose(&suspicion, 0).expect("an owner");
    suspicion.sent(first, 0);
    suspicion.sent(first, ANSWER_TIMEOUT_MS);
    assert_eq!(choose(&suspicion, ANSWER_TIMEOUT_MS), Ok(first), "not yet");
    let late_ms = ANSWER_TIMEOUT_MS + 1;
    suspicion.sent(first, late_ms);
    assert_ne!(choose(&suspicion, late_ms), Ok(first));
    assert_eq!(
        choose(&suspicion, late_ms + SUSPICION_MS),
        Ok(first),
        "tried again"
    );
    suspicion.suspect(first, late_ms);
    suspicion.answered(first);
    assert_eq!(
        choose(&suspicion, late_ms),
        Ok(first),
        "an answer ends it at once"
    );
    for index in 0..3 {
        suspicion.suspect(host(index), late_ms);
    }
    assert_eq!(
        choose(&suspicion, late_ms),
        Ok(first),
        "all suspected is nobody suspected"
    );
    suspicion.prune(late_ms + SUSPICION_MS);
    assert!(suspicion.suspected(late_ms).is_empty());
}

#[test]
fn answers_leave_a_dead_balancer() {
    let (a, b) = (host(0), host(1));
    let listed = [a, b];
    let mut path = ReturnPath::default();
    path.heard(a, 0);
    path.heard(b, 0);
    assert_eq!(path.choose(a, 100, &listed), a, "a live one is kept");
    path.heard(b, 400);
    assert_eq!(
        path.choose(a, 400, &listed),
        b,
        "silent while another is heard"
    );
    path.heard(a, 500);
    assert_eq!(path.choose(a, 500, &listed), a, "heard again");
    path.leaving(a);
    assert_eq!(path.choose(a, 500, &listed), b, "it said that it stops");
    let tried = [
        path.choose(b, 2_000, &listed),
        path.choose(b, 2_000, &listed),
    ];
    assert!(
        tried.contains(&a) && tried.contains(&b),
        "all silent: each in turn"
    );
    assert_eq!(ReturnPath::default().choose(a, 0, &[]), a);
}

#[test]
fn a_pause_is_told_before_what_fell_due_in_it() {
    let mut timer = TimerService::new(0);
    let id = timer.subscribe(100, 50);
    assert_eq!(timer.wait_ms(), 50);
    assert_eq!(timer.advance(49), []);
    assert_eq!(timer.advance(50), [TimerEvent::Due(id)]);
    assert_eq!(timer.advance(150), [TimerEvent::Due(id)]);
    let late_ms = 150 + PAUSE_MS + 1;
    let gap_ms = PAUSE_MS + 1;
    let events = [TimerEvent::Resumed { gap_ms }, TimerEvent::Due(id)];
    assert_eq!(timer.advance(late_ms), events, "due once, after the pause");
}

#[test]
fn retries_are_a_part_of_the_requests() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!((90..=102).contains(&retries), "{retries} of 1000");
}

#[test]
fn an_initial_ring_seals_for_every_process_alike() {
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
