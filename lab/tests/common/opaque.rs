//! What the tests with sites of opaque flows share.

use std::time::Duration;

use endivedyke_lab::opaque::{CallTally, OpaqueSite, OpaqueSiteBuilder};

use crate::common::sleep_ms;

/// How long a change may take that every process takes sooner or later; an idle machine needs a second.
pub const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the backend server that holds the most flows; one of them may hold none by the hash.
pub fn busiest(site: &OpaqueSite, targets: usize) -> usize {
    let busiest = (0..targets).max_by_key(|index| site.open_flows(*index));
    let busiest = busiest.expect("a backend server");
    assert!(site.open_flows(busiest) > 0, "no flow is open");
    busiest
}

/// Returns a site with three balancers and one service with this many backend servers.
pub async fn site(targets: usize) -> OpaqueSite {
    let builder = OpaqueSiteBuilder::new(3).service("panel-front", targets, 4, 5);
    builder.start().await.expect("the site starts")
}

/// Returns the counts of a tally without its list.
pub fn summary(tally: &CallTally) -> String {
    let counts = CallTally {
        claims: Vec::new(),
        ..tally.clone()
    };
    format!("{counts:?}")
}

/// Asserts what holds in every run, whatever fails.
pub fn assert_promises(site: &OpaqueSite, tally: &CallTally) {
    assert!(tally.answered > 0, "{}", summary(tally));
    assert_eq!(tally.wrong, 0, "{}", summary(tally));
    assert_eq!(site.claims_run_twice(), 0, "claims ran twice");
    assert_eq!(
        site.misdelivered_packets(),
        0,
        "packets reached servers they were not for"
    );
    let ran = site.executed_requests();
    let lost = tally
        .claims
        .iter()
        .filter(|id| ran.binary_search(id).is_err());
    assert_eq!(lost.count(), 0, "claims were answered and did not run");
}

/// Asserts that no caller noticed anything.
pub fn assert_unnoticed(site: &OpaqueSite, tally: &CallTally) {
    assert_promises(site, tally);
    let seen = (tally.answered, tally.failed, tally.reset, tally.refused);
    assert_eq!(seen, (tally.requests, 0, 0, 0), "{}", summary(tally));
}

/// Crashes the backend server of a site, starts the next lifetime as `restart` does, and asserts that the
/// callers of the one before are told.
pub async fn assert_old_flows_are_reset(restart: impl AsyncFnOnce(&mut OpaqueSite, &str)) {
    let mut site = site(1).await;
    site.start_callers(&[site.call_plan(0, 6, 0)])
        .expect("callers");
    sleep_ms(800).await;
    let id = site.crash_backend(0).expect("runs");
    restart(&mut site, &id).await;
    sleep_ms(1_500).await;
    let tally = site.finish_callers().await;
    assert_promises(&site, &tally);
    assert!(tally.reset > 0, "{}", summary(&tally));
    assert_eq!(tally.failed, 0, "{}", summary(&tally));
}
