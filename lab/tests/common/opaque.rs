//! Helpers of the tests that run sites of opaque flows.

use std::time::Duration;

use endivedyke_lab::opaque::{CallTally, OpaqueSite, OpaqueSiteBuilder};

use crate::common::sleep_ms;

/// The timeout for a change to reach all processes. It takes a second on an idle machine.
pub const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the index of the backend server with the most open flows. By the hash, another one may
/// have none.
pub fn busiest_backend(site: &OpaqueSite, targets: usize) -> usize {
    let busiest = (0..targets).max_by_key(|index| site.open_flows(*index));
    let busiest = busiest.expect("a backend server");
    assert!(site.open_flows(busiest) > 0, "no flow is open");
    busiest
}

/// Starts a site with three balancers and one service with this many backend servers.
pub async fn site(targets: usize) -> OpaqueSite {
    let builder = OpaqueSiteBuilder::new(3).service("panel-front", targets, 4, 5);
    builder.start().await.expect("the site starts")
}

/// Returns the counts of a tally as text, without the list of claims.
pub fn counts_text(tally: &CallTally) -> String {
    let counts = CallTally {
        claims: Vec::new(),
        ..tally.clone()
    };
    format!("{counts:?}")
}

/// Asserts what must hold in every run, whatever faults are injected.
pub fn assert_no_corruption(site: &OpaqueSite, tally: &CallTally) {
    assert!(tally.answered > 0, "{}", counts_text(tally));
    assert_eq!(tally.wrong, 0, "{}", counts_text(tally));
    assert_eq!(site.claims_run_twice(), 0, "claims ran twice");
    assert_eq!(
        site.misdelivered_packets(),
        0,
        "packets reached servers they were not for"
    );
    let executed = site.executed_requests();
    let lost = tally
        .claims
        .iter()
        .filter(|id| executed.binary_search(id).is_err());
    assert_eq!(lost.count(), 0, "claims were answered and did not run");
}

/// Asserts that all requests were answered, and that no flow was reset or refused.
pub fn assert_no_visible_failure(site: &OpaqueSite, tally: &CallTally) {
    assert_no_corruption(site, tally);
    let counts = (tally.answered, tally.failed, tally.reset, tally.refused);
    assert_eq!(counts, (tally.requests, 0, 0, 0), "{}", counts_text(tally));
}

/// Crashes the backend server of a site, starts its next lifetime with `restart`, and asserts that
/// the flows of the previous lifetime are reset.
pub async fn assert_old_flows_are_reset(restart: impl AsyncFnOnce(&mut OpaqueSite, &str)) {
    let mut site = site(1).await;
    site.start_callers(&[site.call_plan(0, 6, 0)])
        .expect("callers start");
    sleep_ms(800).await;
    let id = site.crash_backend(0).expect("a running server");
    restart(&mut site, &id).await;
    sleep_ms(1_500).await;
    let tally = site.finish_callers().await;
    assert_no_corruption(&site, &tally);
    assert!(tally.reset > 0, "{}", counts_text(&tally));
    assert_eq!(tally.failed, 0, "{}", counts_text(&tally));
}
