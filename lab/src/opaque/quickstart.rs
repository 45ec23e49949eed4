//! The main job in the opaque form: a small site end to end, with a restart and a drain.

use std::time::Duration;

use endivedyke::Result;

use crate::opaque::callers::CallTally;
use crate::opaque::site::OpaqueSiteBuilder;

const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the site, tells each step through `say`, and returns the closing line and whether all was
/// well.
///
/// # Errors
///
/// Returns code 5001 where a process does not come up or end.
pub fn run_opaque_quickstart(say: impl Fn(&str)) -> Result<(String, bool)> {
    compio::runtime::Runtime::new()?.block_on(run(say))
}

async fn run(say: impl Fn(&str)) -> Result<(String, bool)> {
    say("starting 3 balancers, 4 agents, 4 backend servers, routers and the store");
    let builder = OpaqueSiteBuilder::new(3)
        .service("panel-front", 3, 4, 5)
        .service("study-intake", 1, 4, 10);
    let mut site = builder.start().await?;
    say("starting callers: 30 feeds and 12 claims");
    site.start_callers(&[site.call_plan(0, 20, 8), site.call_plan(1, 10, 4)])?;
    compio::time::sleep(Duration::from_secs(2)).await;
    say("restarting a balancer");
    if let Some(balancer) = site.balancer(0) {
        balancer.terminate()?;
        balancer.wait(END_TIMEOUT).await?;
    }
    site.start_balancer(0)?;
    site.wait_ready().await?;
    say("draining a backend server of panel-front");
    site.drain_backend(0);
    compio::time::sleep(Duration::from_secs(2)).await;
    let tally = site.finish_callers().await;
    let line = line(&tally, site.claims_run_twice());
    let clean = tally.answered == tally.requests && tally.wrong == 0 && tally.reset == 0;
    Ok((
        line,
        clean && site.claims_run_twice() == 0 && site.misdelivered_packets() == 0,
    ))
}

fn line(tally: &CallTally, doubled: usize) -> String {
    format!(
        "quickstart: {} requests, {} answered, {} wrong, {doubled} doubled, {} flows broken",
        tally.requests, tally.answered, tally.wrong, tally.reset
    )
}
