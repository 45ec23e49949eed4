//! The agent to which a balancer offers an opener next, given the waits that agents reported.

use std::net::Ipv4Addr;

use endivedyke::{Candidate, Offer, ReportedWaits, TAKES_NONE_WAIT_MS, next_offer};

fn host(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, index)
}

/// Builds the candidates of one flow.
#[derive(Debug, Default)]
struct Flow {
    candidates: Vec<Candidate>,
    mean_wait_ms: f64,
}

impl Flow {
    fn with_mean_wait(mean_wait_ms: f64) -> Self {
        Self {
            mean_wait_ms,
            ..Self::default()
        }
    }

    fn candidate(mut self, is_same_zone: bool, wait_ms: Option<u16>, was_offered: bool) -> Self {
        let index = self.candidates.len() as u8 + 1;
        self.candidates.push(Candidate {
            host: host(index),
            is_same_zone,
            wait_ms,
            mean_wait_ms: self.mean_wait_ms,
            was_offered,
        });
        self
    }

    fn same_zone(self, wait_ms: Option<u16>) -> Self {
        self.candidate(true, wait_ms, false)
    }

    fn other_zone(self, wait_ms: Option<u16>) -> Self {
        self.candidate(false, wait_ms, false)
    }

    fn declined(self, wait_ms: u16) -> Self {
        self.candidate(true, Some(wait_ms), true)
    }

    /// Returns the host index of the next agent, and whether it may decline.
    fn next_step(&self) -> Option<(u8, bool)> {
        match next_offer(&self.candidates)? {
            Offer::MayDecline(host, _) => Some((host.octets()[3], true)),
            Offer::Assigned(host) => Some((host.octets()[3], false)),
        }
    }
}

#[test]
fn openers_go_where_the_wait_is_expected_to_be_shortest() {
    let calm = || Flow::with_mean_wait(0.0);
    let busy = || Flow::with_mean_wait(100.0);
    for (name, flow, expected) in [
        (
            "the first in the same zone",
            calm().same_zone(None).same_zone(None).other_zone(None),
            Some((1, true)),
        ),
        (
            "an agent with a free slot",
            busy().same_zone(None).same_zone(Some(0)),
            Some((2, true)),
        ),
        (
            "the next after a decline",
            calm().declined(20).same_zone(None),
            Some((2, true)),
        ),
        (
            "another zone if the wait is longer than the round trip",
            calm().declined(20).other_zone(None),
            Some((2, true)),
        ),
        (
            "not another zone if the wait is shorter than the round trip",
            calm().declined(10).other_zone(None),
            Some((1, false)),
        ),
        (
            "the best of the agents that declined",
            busy().declined(30).declined(20).same_zone(None),
            Some((2, false)),
        ),
        (
            "one that may be better than the mean",
            busy().declined(60).same_zone(None),
            Some((2, true)),
        ),
        (
            "an agent that takes none is last",
            busy().declined(TAKES_NONE_WAIT_MS).same_zone(Some(900)),
            Some((2, true)),
        ),
        (
            "the only candidate",
            calm().declined(TAKES_NONE_WAIT_MS),
            Some((1, false)),
        ),
        ("no candidate", calm(), None),
    ] {
        assert_eq!(flow.next_step(), expected, "{name}");
    }
}

#[test]
fn an_opener_is_assigned_after_the_maximum_number_of_offers() {
    let mut flow = Flow::with_mean_wait(0.0);
    for wait_ms in [50, 40, 30, 45, 60] {
        flow = flow.declined(wait_ms);
    }
    assert_eq!(flow.same_zone(None).next_step(), Some((3, false)));
}

#[test]
fn a_report_of_a_free_slot_is_used_for_one_flow_only() {
    let mut waits = ReportedWaits::default();
    waits.record(host(1), true, 0, 1_000);
    assert_eq!(waits.wait_ms(host(1), 1_001), Some(0));
    waits.record_sent_flow(host(1));
    assert_eq!(
        waits.wait_ms(host(1), 1_002),
        None,
        "the slot may be taken by now"
    );
    waits.record(host(1), true, 13, 1_003);
    assert_eq!(waits.wait_ms(host(1), 1_004), Some(13));
}

#[test]
fn reports_expire_and_the_mean_wait_decays() {
    let mut waits = ReportedWaits::default();
    for index in 1..=40 {
        waits.record(host(index), true, 100, 1_000);
        waits.record(host(index), true, TAKES_NONE_WAIT_MS, 1_000);
    }
    assert_eq!(waits.wait_ms(host(1), 1_050), None);
    assert!(waits.mean_wait_ms(true, 1_000) > 95.0);
    assert!(
        waits.mean_wait_ms(true, 1_400) < 30.0,
        "the load peak may be over"
    );
    assert!(
        waits.mean_wait_ms(false, 1_000) < 1.0,
        "no reports from other zones"
    );
}
