//! Agents correct imbalance with new flows, keep to hard limits and deflect an opener at most once.

mod common;

use common::{host, report, table, table_text};
use endivedyke::{
    Admission, Code, Decision, Health, MovedFraction, Opener, OpenerSource, PeerLoads,
    REPORT_MAX_AGE_MS, SlotLoad, Table,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn opener(hash: u64) -> Opener {
    Opener {
        hash,
        source: OpenerSource::Balancer,
        health_permille: 1_000,
    }
}

/// Returns the admission of a target with this many open flows.
fn admission_with(flows: u32) -> Admission {
    let mut admission = Admission::after_slow_start(host(0));
    (0..flows).for_each(|_| admission.flow_opened());
    admission
}

fn peer_loads(open_flows: &[u32]) -> PeerLoads {
    let mut peer_loads = PeerLoads::default();
    for (index, flows) in open_flows.iter().enumerate() {
        peer_loads.merge(report(index + 1, 1, *flows), NOW_MS);
    }
    peer_loads
}

const NOW_MS: u64 = 100_000;
const STALE_MS: u64 = REPORT_MAX_AGE_MS + 1;

/// Returns the decision of a target with this many open flows about an opener.
fn decide(flows: u32, table: &Table, peers: &[u32], opener: &Opener) -> Decision {
    let mut random = StdRng::seed_from_u64(1);
    admission_with(flows).decide(opener, table, &mut peer_loads(peers), NOW_MS, &mut random)
}

#[test]
fn targets_above_the_mean_deflect_to_peers_below_it() {
    let cases: &[(u32, &[u32], Decision)] = &[
        (100, &[100, 100], Decision::Accept),
        (90, &[100, 100], Decision::Accept),
        (200, &[100, 200], Decision::Deflect(host(1))),
        (200, &[200, 50], Decision::Deflect(host(2))),
        (50, &[], Decision::Accept),
    ];
    for (flows, peers, expected) in cases {
        let table = table(&[100, 100, 100]);
        assert_eq!(
            decide(*flows, &table, peers, &opener(1)),
            *expected,
            "{flows} {peers:?}"
        );
    }
}

#[test]
fn full_draining_and_failing_targets_accept_no_openers() {
    let full = Table::parse(&table_text("s", &[100, 100], 10)).expect("sound");
    assert_eq!(
        decide(10, &full, &[5], &opener(1)),
        Decision::Deflect(host(1))
    );
    assert_eq!(
        decide(10, &full, &[10], &opener(1)),
        Decision::Refuse(Code::NoTarget)
    );
    let deflected_opener = Opener {
        source: OpenerSource::DeflectingOwner,
        ..opener(1)
    };
    assert_eq!(decide(10, &full, &[0], &deflected_opener), Decision::Return);
    assert_eq!(
        decide(9, &full, &[0], &deflected_opener),
        Decision::Accept,
        "deflected only once"
    );
    let returned = Opener {
        source: OpenerSource::ReturningPeer,
        ..opener(1)
    };
    assert_eq!(
        decide(9, &full, &[0], &returned),
        Decision::Accept,
        "its owner has room"
    );
    assert_eq!(
        decide(10, &full, &[0], &returned),
        Decision::Refuse(Code::NoTarget)
    );
    let failing = Opener {
        health_permille: 0,
        ..opener(1)
    };
    assert_eq!(
        decide(0, &table(&[100, 100]), &[9], &failing),
        Decision::Deflect(host(1))
    );
    assert_eq!(
        decide(0, &table(&[0, 100]), &[9], &opener(1)),
        Decision::Deflect(host(1))
    );

    let without_report = decide(10, &full, &[], &opener(1));
    assert_eq!(
        without_report,
        Decision::Deflect(host(1)),
        "a peer without a report decides itself"
    );

    let mut random = StdRng::seed_from_u64(1);
    let mut draining = admission_with(0);
    draining.set_draining(true);
    let table = table(&[100, 100]);
    let decision = draining.decide(
        &opener(1),
        &table,
        &mut peer_loads(&[50]),
        NOW_MS,
        &mut random,
    );
    assert_eq!(decision, Decision::Deflect(host(1)));
}

#[test]
fn an_opener_in_several_datagrams_gets_one_decision() {
    let mut random = StdRng::seed_from_u64(1);
    let table = table(&[100, 100, 100]);
    let mut admission = admission_with(200);
    let mut peer_loads = peer_loads(&[100, 100]);
    let first = admission.decide(&opener(7), &table, &mut peer_loads, NOW_MS, &mut random);
    for _ in 0..20 {
        admission.flow_closed();
        let again = admission.decide(&opener(7), &table, &mut peer_loads, NOW_MS, &mut random);
        assert_eq!(first, again);
    }
    assert_eq!(admission.remembered_decision(7, NOW_MS), Some(first));
    assert_eq!(admission.remembered_decision(7, NOW_MS + 10_000), None);
}

#[test]
fn the_owner_decides_finally_about_a_returned_opener() {
    let mut random = StdRng::seed_from_u64(1);
    let table = table(&[100, 100]);
    let mut admission = admission_with(200);
    let mut peer_loads = peer_loads(&[100]);
    let first = admission.decide(&opener(7), &table, &mut peer_loads, NOW_MS, &mut random);
    assert_eq!(first, Decision::Deflect(host(1)));
    peer_loads.record_returned_opener(host(1));
    let returned = Opener {
        source: OpenerSource::ReturningPeer,
        ..opener(7)
    };
    let second = admission.decide(&returned, &table, &mut peer_loads, NOW_MS, &mut random);
    assert_eq!(second, Decision::Accept);
    let again = admission.decide(&opener(7), &table, &mut peer_loads, NOW_MS, &mut random);
    assert_eq!(
        again,
        Decision::Accept,
        "its later datagrams get the same decision"
    );
    let next = admission.decide(&opener(8), &table, &mut peer_loads, NOW_MS, &mut random);
    assert_eq!(
        next,
        Decision::Accept,
        "the peer gets no more openers until its next report"
    );
}

#[test]
fn an_unanswered_deflection_times_out_and_the_owner_accepts_the_opener() {
    let mut random = StdRng::seed_from_u64(1);
    let table = table(&[100, 100]);
    let mut admission = admission_with(200);
    let mut peer_loads = peer_loads(&[100]);
    let mut decide =
        |now_ms| admission.decide(&opener(7), &table, &mut peer_loads, now_ms, &mut random);
    assert_eq!(decide(NOW_MS), Decision::Deflect(host(1)));
    assert_eq!(
        decide(NOW_MS + 100),
        Decision::Deflect(host(1)),
        "its second datagram"
    );
    assert_eq!(
        decide(NOW_MS + 1_000),
        Decision::Accept,
        "a retransmission: the peer has failed"
    );
    assert_eq!(decide(NOW_MS + 1_100), Decision::Accept);
}

#[test]
fn a_started_target_reaches_its_full_share_gradually() {
    let admission = Admission::new(host(0), 1_000);
    let shares: Vec<u16> = [1_000, 6_000, 11_000, 90_000]
        .iter()
        .map(|now_ms| admission.share_permille(1_000, *now_ms))
        .collect();
    assert_eq!(shares, [100, 550, 1_000, 1_000]);
    assert_eq!(admission.share_permille(0, 90_000), 0);
}

#[test]
fn a_failing_server_loses_its_share_and_recovers_it() {
    let mut health = Health::default();
    assert_eq!(health.share_permille(), 1_000);
    (0..20).for_each(|_| health.record_outcome(false));
    assert!(health.is_failing());
    assert!(health.try_start_probe(5_000));
    assert!(!health.try_start_probe(5_500), "one probe a second");
    (0..30).for_each(|_| health.record_outcome(true));
    assert_eq!(health.share_permille(), 1_000);
}

#[test]
fn older_reports_never_replace_newer_or_stale_ones() {
    let mut peer_loads = PeerLoads::default();
    assert!(peer_loads.merge(report(1, 5, 50), 0));
    assert!(
        !peer_loads.merge(report(1, 4, 40), 1),
        "overtaken by a newer one"
    );
    assert!(
        !peer_loads.merge(report(1, 5, 50), STALE_MS),
        "passed on by a peer after it became stale"
    );
    assert!(peer_loads.fresh_load(host(1), STALE_MS).is_none());
    let mut restarted = report(1, 1, 3);
    restarted.incarnation = 2;
    assert!(peer_loads.merge(restarted, STALE_MS + 1));
    peer_loads.record_deflected_flow(host(1));
    assert_eq!(
        peer_loads
            .fresh_load(host(1), STALE_MS + 1)
            .map(|known| known.report.open_flows),
        Some(4)
    );
}

proptest! {
    /// However wrong the reports of peers are, no target exceeds its connections.
    #[test]
    fn targets_never_exceed_their_connections(
        connections in 1u32..20,
        reported_flows in proptest::collection::vec(0u32..40, 3),
        openers in proptest::collection::vec((any::<u64>(), any::<bool>()), 1..80),
    ) {
        let text = table_text("s", &[100, 100, 100, 100], connections);
        let table = Table::parse(&text).expect("sound");
        let mut peer_loads = peer_loads(&reported_flows);
        let mut admission = admission_with(0);
        let mut random = StdRng::seed_from_u64(3);
        let mut accepted: Vec<u64> = Vec::new();
        let mut seen: Vec<u64> = Vec::new();
        for (hash, deflected) in openers {
            let source = if deflected { OpenerSource::DeflectingOwner } else { OpenerSource::Balancer };
            let opener = Opener { hash, source, health_permille: 1_000 };
            let decision = admission.decide(&opener, &table, &mut peer_loads, NOW_MS, &mut random);
            if decision == Decision::Accept && !accepted.contains(&hash) {
                accepted.push(hash);
                admission.flow_opened();
            }
            let new = !seen.contains(&hash);
            seen.push(hash);
            prop_assert!(!(new && deflected && matches!(decision, Decision::Deflect(_))));
            prop_assert!(admission.open_flows() <= connections);
        }
    }
}

#[test]
fn requests_move_until_busy_slots_follow_the_table() {
    let mut random = StdRng::seed_from_u64(1);
    // The load of each target's callers, in slots; the third target has twice the weight of the
    // others.
    let offered_slots = [3.0, 1.0, 2.0];
    let weights = [100.0, 100.0, 200.0];
    let mut fractions: Vec<MovedFraction> = (0..3).map(|_| MovedFraction::default()).collect();
    let mut busy = offered_slots;
    for _ in 0..60 {
        for (fraction, busy) in fractions.iter_mut().zip(busy) {
            fraction.observe(busy);
        }
        let loads: Vec<SlotLoad> = (0..3)
            .map(|index| SlotLoad {
                busy_slots: fractions[index].busy_slots(),
                weight: weights[index],
            })
            .collect();
        let peers = |index: usize| {
            let others = (0..3).filter(|other| *other != index);
            others
                .map(|other| (other, loads[other]))
                .collect::<Vec<_>>()
        };
        busy = offered_slots;
        for index in 0..3 {
            let (at, peers): (Vec<usize>, Vec<SlotLoad>) = peers(index).into_iter().unzip();
            fractions[index].adjust(weights[index], &peers);
            for _ in 0..200 {
                let part = offered_slots[index] / 200.0;
                if fractions[index].should_move(&mut random)
                    && let Some(drawn) =
                        fractions[index].pick_peer(weights[index], &peers, &mut random)
                {
                    busy[index] -= part;
                    busy[at[drawn]] += part;
                }
            }
        }
    }
    // Without moves the first target has twice its share.
    for (index, share) in [1.5, 1.5, 3.0].iter().enumerate() {
        let excess = fractions[index].busy_slots() / share - 1.0;
        assert!(excess < 0.15, "target {index}: {excess}");
    }
}
