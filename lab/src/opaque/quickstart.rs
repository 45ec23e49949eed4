//! The quickstart for opaque flows: a small site end to end, with a balancer restart and a drain.

use std::time::Duration;

use endivedyke::Result;

use crate::opaque::callers::CallTally;
use crate::opaque::site::OpaqueSiteBuilder;

const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the quickstart and returns its summary and whether all promises held.
///
/// Each step is reported through `report_step`.
///
/// # Errors
///
/// Returns code 5001 if a process does not become ready or end in time.
pub fn run_opaque_quickstart(report_step: impl Fn(&str)) -> Result<(String, bool)> {
    compio::runtime::Runtime::new()?.block_on(run(report_step))
}

async fn run(report_step: impl Fn(&str)) -> Result<(String, bool)> {
    report_step("starting 3 balancers, 4 agents, 4 backend servers, routers and the store");
    let builder = OpaqueSiteBuilder::new(3)
        .service("panel-front", 3, 4, 5)
        .service("study-intake", 1, 4, 10);
    let mut site = builder.start().await?;
    report_step("starting callers: 30 feeds and 12 claims");
    site.start_callers(&[site.call_plan(0, 20, 8), site.call_plan(1, 10, 4)])?;
    compio::time::sleep(Duration::from_secs(2)).await;
    report_step("restarting a balancer");
    if let Some(balancer) = site.balancer(0) {
        balancer.terminate()?;
        balancer.wait(END_TIMEOUT).await?;
    }
    site.start_balancer(0)?;
    site.wait_ready().await?;
    report_step("draining a backend server of panel-front");
    site.drain_backend(0);
    compio::time::sleep(Duration::from_secs(2)).await;
    let tally = site.finish_callers().await;
    let summary = summary(&tally, site.claims_run_twice());
    let is_clean = tally.answered == tally.requests && tally.wrong == 0 && tally.reset == 0;
    Ok((
        summary,
        is_clean && site.claims_run_twice() == 0 && site.misdelivered_packets() == 0,
    ))
}

fn summary(tally: &CallTally, doubled: usize) -> String {
    format!(
        "quickstart: {} requests, {} answered, {} wrong, {doubled} doubled, {} flows broken",
        tally.requests, tally.answered, tally.wrong, tally.reset
    )
}
