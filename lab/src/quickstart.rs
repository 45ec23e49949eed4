//! The main job: a small site end to end, with a planned balancer restart and a weight change.

use std::time::Duration;

use endivedyke::Result;

use crate::caller_process::{CallerLoad, CallerProcess};
use crate::caller_stats::CallerStats;
use crate::site::{Site, SiteBuilder};

const RUN_SECONDS: u64 = 8;
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// What the run showed.
#[derive(Debug, Clone, Default)]
pub struct QuickstartReport {
    /// What callers and backend servers saw.
    pub stats: CallerStats,
}

impl QuickstartReport {
    /// Returns the closing line.
    pub fn summary_line(&self) -> String {
        let stats = &self.stats;
        format!(
            "quickstart: {} requests, {} answered, {} wrong, {} doubled, {} flows broken",
            stats.requests,
            stats.answered,
            stats.wrong,
            stats.doubled + stats.lost,
            stats.flows_broken + stats.feeds_broken,
        )
    }
}

/// Runs the site and tells each step through `say`.
///
/// # Errors
///
/// Returns code 5001 where a process does not come up or end.
pub fn run_quickstart(say: impl Fn(&str)) -> Result<QuickstartReport> {
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(run(say))
}

async fn run(say: impl Fn(&str)) -> Result<QuickstartReport> {
    say("starting 3 balancers, 3 agents, 5 backend servers, fabric and configuration service");
    let builder =
        SiteBuilder::new(3)
            .service("panel-front", 3, 4, 5)
            .service("study-intake", 2, 4, 10);
    let mut site = builder.start().await?;
    say("starting callers: 30 feeds and 20 clients");
    let callers = [
        CallerProcess::start(&site, 0, &load(20, 12))?,
        CallerProcess::start(&site, 1, &load(10, 8))?,
    ];
    compio::time::sleep(Duration::from_secs(2)).await;
    say("restarting a balancer");
    restart_balancer(&mut site, 0).await?;
    compio::time::sleep(Duration::from_secs(1)).await;
    say("changing weights of panel-front from 100,100,100 to 300,100,100");
    let revision = site.set_weights(0, &[300, 100, 100]).await?;
    site.wait_revision(&site.daemon_hosts(), revision).await?;
    say("the change is in force everywhere; waiting for the callers");
    let mut report = QuickstartReport::default();
    for callers in callers {
        report.stats.add(&callers.finish(&site).await?);
    }
    Ok(report)
}

fn load(feeds: u64, clients: u64) -> CallerLoad {
    CallerLoad {
        feeds,
        clients,
        seconds: RUN_SECONDS,
        think_ms: 20,
        feed_period_ms: 50,
    }
}

async fn restart_balancer(site: &mut Site, index: usize) -> Result<()> {
    if let Some(balancer) = site.balancer(index) {
        balancer.terminate()?;
        balancer.wait(END_TIMEOUT).await?;
    }
    site.start_balancer(index)?;
    site.wait_ready().await
}
