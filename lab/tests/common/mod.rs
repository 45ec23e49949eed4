//! Helpers of the tests with real processes.
#![allow(dead_code, unreachable_pub)]

pub mod opaque;

use std::future::Future;
use std::time::Duration;

use endivedyke_lab::{CallerLoad, CallerStats, Site, SiteBuilder};

const BOUNDS: &str = include_str!("../../../bounds.txt");

/// Runs the future of a test on a new runtime.
pub fn run<F: Future>(test: F) -> F::Output {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(test)
}

/// Starts a site with three balancers and one service with this many targets.
pub async fn site(targets: usize) -> Site {
    let builder = SiteBuilder::new(3).service("queue-desk", targets, 7, 5);
    builder.start().await.expect("the site starts")
}

/// Returns a load of feeds and clients with short pauses.
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

/// Asserts what must hold under any failure: no wrong answer, and no duplicate or lost claim.
pub fn assert_no_corruption(stats: &CallerStats) {
    let errors = (stats.wrong, stats.doubled, stats.lost);
    assert_eq!(
        errors,
        (0, 0, 0),
        "wrong, doubled, lost in {:?}",
        counts_only(stats)
    );
}

/// Asserts that every request was answered correctly and no flow or feed broke.
pub fn assert_no_visible_failure(stats: &CallerStats) {
    assert!(stats.requests > 0);
    assert!(stats.is_clean(), "{:?}", counts_only(stats));
}

/// Returns the counts without the lists of claims and latencies, for messages.
pub fn counts_only(stats: &CallerStats) -> CallerStats {
    CallerStats {
        claims: Vec::new(),
        latencies_us: Vec::new(),
        ..stats.clone()
    }
}

/// Returns the bound with this name in `bounds.txt`.
pub fn bound(name: &str) -> f64 {
    let line = BOUNDS
        .lines()
        .find(|line| line.split_whitespace().next() == Some(name));
    let bound = line.and_then(|line| line.split_whitespace().nth(2)?.parse().ok());
    bound.unwrap_or_else(|| panic!("{name} is not in bounds.txt"))
}
