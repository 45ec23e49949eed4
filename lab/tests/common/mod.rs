//! What the tests with real processes share.
#![allow(dead_code, unreachable_pub)]

pub mod opaque;

use std::future::Future;
use std::time::Duration;

use endivedyke_lab::{CallerLoad, CallerStats, Site, SiteBuilder};

const BOUNDS: &str = include_str!("../../../bounds.txt");

/// Runs a test's future on a runtime of its own.
pub fn run<F: Future>(test: F) -> F::Output {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(test)
}

/// Returns a site with three balancers and one service with this many targets.
pub async fn site(targets: usize) -> Site {
    let builder = SiteBuilder::new(3).service("queue-desk", targets, 7, 5);
    builder.start().await.expect("the site starts")
}

/// Returns feeds and clients for this long.
pub fn load(feeds: u64, clients: u64, seconds: u64) -> CallerLoad {
    CallerLoad {
        feeds,
        clients,
        seconds,
        think_ms: 10,
        feed_period_ms: 50,
    }
}

pub async fn sleep_ms(ms: u64) {
    compio::time::sleep(Duration::from_millis(ms)).await;
}

/// Asserts what holds in every run, whatever fails: nothing wrong, doubled or lost.
pub fn assert_no_corruption(tally: &CallerStats) {
    let broken = (tally.wrong, tally.doubled, tally.lost);
    assert_eq!(
        broken,
        (0, 0, 0),
        "wrong, doubled, lost in {:?}",
        counts_only(tally)
    );
}

/// Asserts that no caller noticed anything.
pub fn assert_no_visible_failure(tally: &CallerStats) {
    assert!(tally.requests > 0);
    assert!(tally.is_clean(), "{:?}", counts_only(tally));
}

pub fn counts_only(tally: &CallerStats) -> CallerStats {
    CallerStats {
        claims: Vec::new(),
        latencies_us: Vec::new(),
        ..tally.clone()
    }
}

/// Returns the bound with this name from `bounds.txt`.
pub fn bound(name: &str) -> f64 {
    let line = BOUNDS
        .lines()
        .find(|line| line.split_whitespace().next() == Some(name));
    let bound = line.and_then(|line| line.split_whitespace().nth(2)?.parse().ok());
    bound.unwrap_or_else(|| panic!("{name} is not in bounds.txt"))
}
