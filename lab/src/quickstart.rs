//! The main job: a small site end to end, with a planned balancer restart and a weight change.

use std::fs;
use std::time::Duration;

use endivedyke::{Code, Error, Result};

use crate::ledger_check;
use crate::process::Process;
use crate::site::{Site, SiteBuilder};
use crate::tally::Tally;

const RUN_SECONDS: u64 = 8;
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// What the run showed.
#[derive(Debug, Clone, Default)]
pub struct QuickstartReport {
    /// What callers and backend servers saw.
    pub tally: Tally,
}

impl QuickstartReport {
    /// Returns the closing line.
    pub fn line(&self) -> String {
        let tally = &self.tally;
        format!(
            "quickstart: {} requests, {} answered, {} wrong, {} doubled, {} flows broken",
            tally.requests,
            tally.answered,
            tally.wrong,
            tally.doubled + tally.lost,
            tally.flows_broken + tally.feeds_broken,
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
    let mut callers = [
        start_callers(&site, 0, 20, 12)?,
        start_callers(&site, 1, 10, 8)?,
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
    for (service, callers) in callers.iter_mut().enumerate() {
        report.tally.add(&collect(&site, service, callers).await?);
    }
    for service in 0..2 {
        let mut journal = site.journal(service).await?;
        let mut of_service = Tally {
            claims: claims_of(&report.tally, service),
            ..Tally::default()
        };
        ledger_check::check_claims(&mut of_service, &mut journal);
        report.tally.doubled += of_service.doubled;
        report.tally.lost += of_service.lost;
    }
    Ok(report)
}

fn claims_of(tally: &Tally, service: usize) -> Vec<String> {
    let prefix = format!("s{service}-");
    let claims = tally
        .claims
        .iter()
        .filter(|claim| claim.starts_with(&prefix));
    claims.cloned().collect()
}

fn report_name(service: usize) -> String {
    format!("callers-{service}.json")
}

/// Starts a process of callers for a service.
fn start_callers(site: &Site, service: usize, feeds: u64, clients: u64) -> Result<Process> {
    let arguments = [
        "callers".to_owned(),
        "--address".to_owned(),
        site.service_address(service).to_string(),
        "--service".to_owned(),
        site.service_name(service).to_owned(),
        "--prefix".to_owned(),
        format!("s{service}"),
        "--feeds".to_owned(),
        feeds.to_string(),
        "--clients".to_owned(),
        clients.to_string(),
        "--seconds".to_owned(),
        RUN_SECONDS.to_string(),
        "--report".to_owned(),
        site.file(&report_name(service)).display().to_string(),
    ];
    Process::start("endivedyke-lab", &arguments, false)
}

async fn restart_balancer(site: &mut Site, index: usize) -> Result<()> {
    if let Some(balancer) = site.balancer(index) {
        balancer.terminate()?;
        balancer.wait(END_TIMEOUT).await?;
    }
    site.start_balancer(index)?;
    site.wait_ready().await
}

async fn collect(site: &Site, service: usize, callers: &mut Process) -> Result<Tally> {
    callers.wait(END_TIMEOUT).await?;
    let text = fs::read_to_string(site.file(&report_name(service)))?;
    let tally = serde_json::from_str(&text);
    tally.map_err(|error| Error::new(Code::Io, error.to_string()))
}
