//! The quickstart: a small site under load, with a graceful balancer restart and a weight change.

use std::time::Duration;

use endivedyke::Result;

use crate::caller_process::{CallerLoad, CallerProcess};
use crate::caller_stats::CallerStats;
use crate::site::{Site, SiteBuilder};

const RUN_SECONDS: u64 = 8;
const BALANCER_STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// The results of the quickstart.
#[derive(Debug, Clone, Default)]
pub struct QuickstartReport {
    /// The counts of the callers, checked against the backend servers.
    pub stats: CallerStats,
}

impl QuickstartReport {
    /// Returns the last line of the quickstart's output.
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

/// Runs the quickstart and passes the text of each step to `print_step`.
///
/// # Errors
///
/// Returns code 5001 if a process does not start or end in time.
pub fn run_quickstart(print_step: impl Fn(&str)) -> Result<QuickstartReport> {
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(run(print_step))
}

async fn run(print_step: impl Fn(&str)) -> Result<QuickstartReport> {
    print_step(
        "starting 3 balancers, 3 agents, 5 backend servers, fabric and configuration service",
    );
    let builder =
        SiteBuilder::new(3)
            .service("panel-front", 3, 4, 5)
            .service("study-intake", 2, 4, 10);
    let mut site = builder.start().await?;
    print_step("starting callers: 30 feeds and 20 clients");
    let callers = [
        CallerProcess::start(&site, 0, &load(20, 12))?,
        CallerProcess::start(&site, 1, &load(10, 8))?,
    ];
    compio::time::sleep(Duration::from_secs(2)).await;
    print_step("restarting a balancer");
    restart_balancer(&mut site, 0).await?;
    compio::time::sleep(Duration::from_secs(1)).await;
    print_step("changing weights of panel-front from 100,100,100 to 300,100,100");
    let revision = site.set_weights(0, &[300, 100, 100]).await?;
    site.wait_revision(&site.daemon_hosts(), revision).await?;
    print_step("the change is in force everywhere; waiting for the callers");
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
        balancer.wait(BALANCER_STOP_TIMEOUT).await?;
    }
    site.start_balancer(index)?;
    site.wait_ready().await
}
