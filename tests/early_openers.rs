//! Openers that a balancer buffers until it has a configuration.

use endivedyke::{EarlyOpener, EarlyOpeners};

/// Returns the packets of openers in their order.
fn packets(early: &[EarlyOpener<&'static str>]) -> Vec<&'static str> {
    early.iter().map(|opener| opener.packet).collect()
}

#[test]
fn the_newest_copy_of_each_opener_is_offered_lowest_copy_numbers_first() {
    let mut early = EarlyOpeners::default();
    early.insert(1, 1, "second copy", 1_000);
    early.insert(2, 0, "first copy", 1_010);
    early.insert(3, 2, "third copy", 1_000);
    early.insert(4, 0, "overtaken", 1_000);
    early.insert(4, 1, "its second copy", 1_020);
    early.insert(4, 0, "reordered on the network", 1_025);
    let taken = early.take_if(1_050, |_| true);
    let order = ["first copy", "second copy", "its second copy", "third copy"];
    assert_eq!(packets(&taken), order);
    let kept_ms: Vec<u64> = taken.iter().map(|opener| opener.kept_ms).collect();
    assert_eq!(kept_ms, [40, 50, 30, 50]);
    assert!(early.is_empty(), "each is offered once");
}

#[test]
fn a_copy_is_buffered_until_shortly_before_the_next_one() {
    for (copy, last_ms) in [(0, 99), (1, 299), (2, 699), (9, 699)] {
        for (after_ms, taken) in [(last_ms, 1), (last_ms + 1, 0)] {
            let mut early = EarlyOpeners::default();
            early.insert(1, copy, "opener", 1_000);
            let kept = early.take_if(1_000 + after_ms, |_| true);
            assert_eq!(kept.len(), taken, "copy {copy} after {after_ms} ms");
        }
    }
}

#[test]
fn the_buffer_is_bounded() {
    let mut early = EarlyOpeners::default();
    let kept = (0..10_000).filter(|flow| early.insert(*flow, 0, "opener", 1_000));
    assert_eq!(kept.count(), 4_096);
    assert!(
        early.insert(0, 1, "its copy", 1_010),
        "a later copy replaces the first one"
    );
    assert_eq!(early.take_if(1_010, |_| true).len(), 4_096);
}

#[test]
fn expired_openers_make_room() {
    let mut early = EarlyOpeners::default();
    for flow in 0..4_096 {
        early.insert(flow, 0, "opener", 1_000);
    }
    assert!(!early.insert(5_000, 0, "one too many", 1_010));
    assert!(early.insert(5_000, 0, "a fresh one", 1_100));
    assert_eq!(packets(&early.take_if(1_110, |_| true)), ["a fresh one"]);
}

#[test]
fn openers_that_can_not_be_offered_yet_stay_buffered() {
    let mut early = EarlyOpeners::default();
    early.insert(1, 1, "known", 1_000);
    early.insert(2, 1, "unknown yet", 1_000);
    let taken = early.take_if(1_010, |packet| *packet == "known");
    assert_eq!(packets(&taken), ["known"]);
    assert_eq!(packets(&early.take_if(1_020, |_| true)), ["unknown yet"]);
}
