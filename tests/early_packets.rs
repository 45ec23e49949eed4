//! What a balancer keeps until it knows a configuration.

use endivedyke::{EarlyPacket, EarlyPackets};

fn packets(early: &[EarlyPacket<&'static str>]) -> Vec<&'static str> {
    early.iter().map(|opener| opener.packet).collect()
}

#[test]
fn the_newest_of_each_flow_is_forwarded_data_and_the_earliest_copies_first() {
    let mut early = EarlyPackets::default();
    early.keep(1, Some(1), "second copy", 1_000);
    early.keep(2, Some(0), "first copy", 1_010);
    early.keep(5, None, "data", 1_020);
    early.keep(3, Some(2), "third copy", 1_000);
    early.keep(4, Some(0), "overtaken", 1_000);
    early.keep(4, Some(1), "its second copy", 1_020);
    let taken = early.take(1_050);
    let order = [
        "data",
        "first copy",
        "second copy",
        "its second copy",
        "third copy",
    ];
    assert_eq!(packets(&taken), order);
    let kept_ms: Vec<u64> = taken.iter().map(|opener| opener.kept_ms).collect();
    assert_eq!(kept_ms, [30, 40, 50, 30, 50]);
    assert!(early.is_empty(), "each is forwarded once");
}

#[test]
fn a_packet_is_kept_until_its_caller_has_sent_it_again() {
    let cases = [
        (None, 199),
        (Some(0), 199),
        (Some(1), 399),
        (Some(2), 799),
        (Some(9), 799),
    ];
    for (copy, last_ms) in cases {
        for (after_ms, taken) in [(last_ms, 1), (last_ms + 1, 0)] {
            let mut early = EarlyPackets::default();
            early.keep(1, copy, "packet", 1_000);
            let kept = early.take(1_000 + after_ms);
            assert_eq!(kept.len(), taken, "copy {copy:?} after {after_ms} ms");
        }
    }
}

#[test]
fn what_is_kept_is_bounded() {
    let mut early = EarlyPackets::default();
    let kept = (0..10_000).filter(|flow| early.keep(*flow, Some(0), "packet", 1_000));
    assert_eq!(kept.count(), 4_096);
    assert!(
        early.keep(0, Some(1), "its copy", 1_010),
        "a copy takes no room"
    );
    assert_eq!(early.take(1_010).len(), 4_096);
}
