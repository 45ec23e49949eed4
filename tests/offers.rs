//! To whom a balancer offers an opener next, by what it heard of agents.

use std::net::Ipv4Addr;

use endivedyke::{Candidate, Offer, ReportedWaits, TAKES_NONE_WAIT_MS, next_offer};

fn host(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, index)
}

/// Candidates of one flow, built one after the other.
#[derive(Debug, Default)]
struct Flow {
    candidates: Vec<Candidate>,
    mean_wait_ms: f64,
}

impl Flow {
    fn at_level(mean_wait_ms: f64) -> Self {
        Self {
            mean_wait_ms,
            ..Self::default()
        }
    }

    fn with(mut self, is_same_zone: bool, wait_ms: Option<u16>, was_offered: bool) -> Self {
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

    fn near(self, wait_ms: Option<u16>) -> Self {
        self.with(true, wait_ms, false)
    }

    fn far(self, wait_ms: Option<u16>) -> Self {
        self.with(false, wait_ms, false)
    }

    fn declined(self, wait_ms: u16) -> Self {
        self.with(true, Some(wait_ms), true)
    }

    fn offered(&self) -> Option<(u8, bool)> {
        match next_offer(&self.candidates)? {
            Offer::MayDecline(host, _) => Some((host.octets()[3], true)),
            Offer::Assigned(host) => Some((host.octets()[3], false)),
        }
    }
}

#[test]
fn openers_go_where_they_wait_least() {
    let calm = || Flow::at_level(0.0);
    let busy = || Flow::at_level(100.0);
    for (name, flow, expected) in [
        (
            "the first nearby",
            calm().near(None).near(None).far(None),
            Some((1, true)),
        ),
        (
            "one that has room",
            busy().near(None).near(Some(0)),
            Some((2, true)),
        ),
        (
            "the next after a decline",
            calm().declined(20).near(None),
            Some((2, true)),
        ),
        (
            "another zone once it is worth the way",
            calm().declined(20).far(None),
            Some((2, true)),
        ),
        (
            "not for less than the way",
            calm().declined(10).far(None),
            Some((1, false)),
        ),
        (
            "the best of those asked",
            busy().declined(30).declined(20).near(None),
            Some((2, false)),
        ),
        (
            "one that may be better than usual",
            busy().declined(60).near(None),
            Some((2, true)),
        ),
        (
            "one that takes none goes last",
            busy().declined(TAKES_NONE_WAIT_MS).near(Some(900)),
            Some((2, true)),
        ),
        (
            "the only one",
            calm().declined(TAKES_NONE_WAIT_MS),
            Some((1, false)),
        ),
        ("none", calm(), None),
    ] {
        assert_eq!(flow.offered(), expected, "{name}");
    }
}

#[test]
fn an_opener_is_assigned_after_a_few_offers() {
    let mut flow = Flow::at_level(0.0);
    for wait_ms in [50, 40, 30, 45, 60] {
        flow = flow.declined(wait_ms);
    }
    assert_eq!(flow.near(None).offered(), Some((3, false)));
}

#[test]
fn a_balancer_does_not_send_a_rush_to_the_one_agent_that_had_room() {
    let mut waits = ReportedWaits::default();
    waits.record(host(1), true, 0, 1_000);
    assert_eq!(waits.wait_ms(host(1), 1_001), Some(0));
    waits.record_sent_flow(host(1));
    assert_eq!(
        waits.wait_ms(host(1), 1_002),
        None,
        "it may have none by now"
    );
    waits.record(host(1), true, 13, 1_003);
    assert_eq!(waits.wait_ms(host(1), 1_004), Some(13));
}

#[test]
fn a_word_counts_for_a_moment_and_a_level_for_some() {
    let mut waits = ReportedWaits::default();
    for index in 1..=40 {
        waits.record(host(index), true, 100, 1_000);
        waits.record(host(index), true, TAKES_NONE_WAIT_MS, 1_000);
    }
    assert_eq!(waits.wait_ms(host(1), 1_050), None);
    assert!(waits.mean_wait_ms(true, 1_000) > 95.0);
    assert!(
        waits.mean_wait_ms(true, 1_400) < 30.0,
        "the rush may be over"
    );
    assert!(
        waits.mean_wait_ms(false, 1_000) < 1.0,
        "nothing was heard of other zones"
    );
}
