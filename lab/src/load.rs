//! A load test of a site of real processes, which samples them each second.

use std::time::Duration;

use endivedyke::{Code, Error, Result};
use serde::Serialize;

use crate::caller_process::{CallerLoad, CallerProcess};
use crate::caller_stats::CallerStats;
use crate::control_traffic::{self, ControlTraffic};
use crate::proc_stat;
use crate::site::{Site, SiteBuilder};

const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

/// The parameters of a load test.
#[derive(Debug, Clone)]
pub(crate) struct LoadPlan {
    pub(crate) deployment: Deployment,
    pub(crate) load: CallerLoad,
    pub(crate) caller_processes: usize,
    pub(crate) event: LoadEvent,
}

/// One of the users' deployments, at its current size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deployment {
    Panelwerk,
    Jadepeak,
}

/// An event in the middle of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadEvent {
    None,
    RestartBalancer,
    KillBalancer,
    DrainAgent,
    KillAgent,
    EditWeights,
    SilencePlatform,
}

impl std::str::FromStr for Deployment {
    type Err = Error;

    fn from_str(name: &str) -> Result<Self> {
        match name {
            "panelwerk" => Ok(Deployment::Panelwerk),
            "jadepeak" => Ok(Deployment::Jadepeak),
            _ => Err(Error::new(
                Code::Usage,
                format!("unknown deployment {name:?}; use panelwerk or jadepeak"),
            )),
        }
    }
}

impl std::str::FromStr for LoadEvent {
    type Err = Error;

    fn from_str(name: &str) -> Result<Self> {
        match name {
            "none" => Ok(LoadEvent::None),
            "restart-balancer" => Ok(LoadEvent::RestartBalancer),
            "kill-balancer" => Ok(LoadEvent::KillBalancer),
            "drain-agent" => Ok(LoadEvent::DrainAgent),
            "kill-agent" => Ok(LoadEvent::KillAgent),
            "edit-weights" => Ok(LoadEvent::EditWeights),
            "silence-platform" => Ok(LoadEvent::SilencePlatform),
            _ => Err(Error::new(
                Code::Usage,
                format!(
                    "unknown event {name:?}; use none, restart-balancer, kill-balancer, \
                     drain-agent, kill-agent, edit-weights or silence-platform"
                ),
            )),
        }
    }
}

impl Deployment {
    fn builder(self) -> SiteBuilder {
        match self {
            Deployment::Panelwerk => SiteBuilder::new(3)
                .service("panel-front", 7, 4, 10)
                .service("study-intake", 3, 4, 10),
            Deployment::Jadepeak => SiteBuilder::new(3).service("queue-desk", 7, 7, 10).service(
                "scene-intake",
                3,
                7,
                10,
            ),
        }
    }
}

/// The resources that one process used in one second.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ProcessSample {
    pub(crate) second: u64,
    pub(crate) process: String,
    pub(crate) cpu_ms: u64,
    pub(crate) memory_bytes: u64,
    pub(crate) control_bytes: u64,
    pub(crate) control_calls: u64,
}

/// The load of one target in one second.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct TargetSample {
    pub(crate) second: u64,
    pub(crate) target: usize,
    pub(crate) open_flows: u64,
    pub(crate) busy_ms: u64,
}

/// The results of a load test.
#[derive(Debug, Default, Serialize)]
pub(crate) struct LoadReport {
    pub(crate) seconds: u64,
    #[serde(rename = "tally")]
    pub(crate) stats: CallerStats,
    pub(crate) processes: Vec<ProcessSample>,
    pub(crate) targets: Vec<TargetSample>,
    pub(crate) platform_calls: u64,
}

/// Runs a load test on the first service of the deployment.
pub(crate) async fn run(plan: &LoadPlan) -> Result<LoadReport> {
    let mut site = plan.deployment.builder().start().await?;
    compio::time::sleep(Duration::from_millis(1_500)).await;
    let calls_before = platform_calls(&site).await?;
    let start = |_| CallerProcess::start(&site, 0, &plan.load);
    let callers = (0..plan.caller_processes)
        .map(start)
        .collect::<Result<Vec<_>>>()?;
    let mut report = LoadReport {
        seconds: plan.load.seconds,
        ..LoadReport::default()
    };
    let mut before = take_snapshot(&site).await;
    for second in 0..plan.load.seconds {
        if second == plan.load.seconds / 2 {
            trigger_event(&mut site, plan.event).await?;
        }
        compio::time::sleep(SAMPLE_PERIOD).await;
        let now = take_snapshot(&site).await;
        add_samples(&mut report, second, &before, &now);
        before = now;
    }
    let mut stats = Vec::new();
    for callers in callers {
        stats.push(callers.finish(&site).await?);
    }
    add_stats(&mut report, &stats);
    site.platform_command("POST", "mode/normal", "").await?;
    report.platform_calls = platform_calls(&site).await? - calls_before;
    Ok(report)
}

/// Adds up the counts of all processes of callers. `doubled` is the maximum instead, since each
/// process compares with the claims of all of them and counts the same duplicates.
fn add_stats(report: &mut LoadReport, all_stats: &[CallerStats]) {
    let doubled = all_stats
        .iter()
        .map(|stats| stats.doubled)
        .max()
        .unwrap_or(0);
    for stats in all_stats {
        report.stats.add(stats);
    }
    report.stats.doubled = doubled;
}

async fn platform_calls(site: &Site) -> Result<u64> {
    let calls = site.platform_command("GET", "calls", "").await?;
    Ok(calls.trim().parse().unwrap_or(0))
}

async fn trigger_event(site: &mut Site, event: LoadEvent) -> Result<()> {
    match event {
        LoadEvent::None => {}
        LoadEvent::RestartBalancer => {
            if let Some(balancer) = site.balancer(0) {
                balancer.terminate()?;
                balancer.wait(Duration::from_secs(10)).await?;
            }
            site.start_balancer(0)?;
        }
        LoadEvent::KillBalancer => {
            if let Some(balancer) = site.balancer(0) {
                balancer.kill()?;
            }
        }
        LoadEvent::DrainAgent => {
            if let Some(agent) = site.agent(0) {
                agent.terminate()?;
            }
        }
        LoadEvent::KillAgent => {
            if let Some(agent) = site.agent(0) {
                agent.kill()?;
            }
        }
        LoadEvent::EditWeights => {
            let mut weights = vec![100; site.agent_count()];
            weights[0] = 150;
            site.set_weights(0, &weights).await?;
        }
        LoadEvent::SilencePlatform => {
            site.platform_command("POST", "mode/silent", "").await?;
        }
    }
    Ok(())
}

/// The cumulative usage of a process.
struct ProcessUsage {
    name: String,
    cpu_ms: u64,
    memory_bytes: u64,
    control_bytes: u64,
    control_calls: u64,
}

struct Snapshot {
    processes: Vec<ProcessUsage>,
    /// The number of open flows and the cumulative busy time in milliseconds of each target.
    targets: Vec<(u64, u64)>,
}

/// Reads the usage of all processes; the usage of a process that has ended is 0.
async fn take_snapshot(site: &Site) -> Snapshot {
    let mut processes = Vec::new();
    for (name, id, host) in site.processes() {
        let usage = proc_stat::usage(id).unwrap_or_default();
        let traffic = match host {
            Some(host) => control_traffic::read(site, host).await.unwrap_or_default(),
            None => ControlTraffic::default(),
        };
        processes.push(ProcessUsage {
            name,
            cpu_ms: usage.cpu_ms,
            memory_bytes: usage.memory_bytes,
            control_bytes: traffic.bytes as u64,
            control_calls: traffic.calls as u64,
        });
    }
    let mut targets = Vec::new();
    for index in 0..site.agent_count() {
        let flows = site
            .metric(site.agent_host(index), "flows_open")
            .await
            .unwrap_or(0.0);
        targets.push((flows as u64, busy_ms(site, index).await));
    }
    Snapshot { processes, targets }
}

async fn busy_ms(site: &Site, host: usize) -> u64 {
    let counts = site
        .backend_command(0, host, "counts")
        .await
        .unwrap_or_default();
    let counts: serde_json::Value = serde_json::from_str(&counts).unwrap_or_default();
    counts["busy_ms"].as_u64().unwrap_or(0)
}

fn add_samples(report: &mut LoadReport, second: u64, before: &Snapshot, now: &Snapshot) {
    for (old, new) in before.processes.iter().zip(&now.processes) {
        report.processes.push(ProcessSample {
            second,
            process: new.name.clone(),
            cpu_ms: new.cpu_ms.saturating_sub(old.cpu_ms),
            memory_bytes: new.memory_bytes,
            control_bytes: new.control_bytes.saturating_sub(old.control_bytes),
            control_calls: new.control_calls.saturating_sub(old.control_calls),
        });
    }
    for (target, (old, new)) in before.targets.iter().zip(&now.targets).enumerate() {
        report.targets.push(TargetSample {
            second,
            target,
            open_flows: new.0,
            busy_ms: new.1.saturating_sub(old.1),
        });
    }
}
