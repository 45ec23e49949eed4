//! Runs load on a site of opaque flows of the size of a deployment, with an event at half time.

use std::time::Duration;

use endivedyke::{Code, Error, Result};

use crate::opaque::callers::{CallPlan, CallTally};
use crate::opaque::site::{OpaqueSite, OpaqueSiteBuilder};
use crate::proc_stat;

const SAMPLE_PERIOD: Duration = Duration::from_secs(1);
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// The load to run.
#[derive(Debug, Clone)]
pub(crate) struct OpaqueLoadPlan {
    pub(crate) deployment: String,
    pub(crate) feeds: usize,
    pub(crate) claims: usize,
    pub(crate) pause_ms: u64,
    pub(crate) seconds: u64,
    /// The name of the event at half time; see [`inject_event`].
    pub(crate) event: String,
}

/// The imbalance of open flows over all samples. One sample is the highest number of open flows of
/// a backend server divided by their mean, minus one.
#[derive(Debug, Clone, Copy, Default)]
struct Imbalance {
    sum: f64,
    worst: f64,
    samples: u32,
}

/// Runs the load and returns its report.
pub(crate) async fn run(plan: &OpaqueLoadPlan) -> Result<String> {
    let services = services(&plan.deployment)?;
    let mut builder = OpaqueSiteBuilder::new(4);
    for (name, targets, slots, work_ms) in services {
        builder = builder.service(name, targets, slots, work_ms);
    }
    let mut site = builder.start().await?;
    let cpu_before_ms = cpu_ms(&site)?;
    let plan_with_pause = |service, feeds, claims| CallPlan {
        pause_ms: plan.pause_ms,
        ..site.call_plan(service, feeds, claims)
    };
    let plans = [
        plan_with_pause(0, plan.feeds, plan.claims),
        plan_with_pause(1, plan.feeds / 4, plan.claims / 4),
    ];
    site.start_callers(&plans)?;
    let targets = services[0].1;
    let mut imbalance = Imbalance::default();
    for second in 0..plan.seconds {
        if second == plan.seconds / 2 {
            inject_event(&mut site, &plan.event).await?;
        }
        compio::time::sleep(SAMPLE_PERIOD).await;
        imbalance.sample(&site, targets);
    }
    let cpu_after_ms = cpu_ms(&site)?;
    let tally = site.finish_callers().await;
    Ok(report(
        plan,
        services[0].0,
        &tally,
        &imbalance,
        &site,
        cpu_after_ms.saturating_sub(cpu_before_ms) as f64,
    ))
}

/// Name, number of backend servers, slots of each, and duration of a request in milliseconds.
type ServiceRow = (&'static str, usize, usize, u64);

/// Returns the services of a deployment.
fn services(deployment: &str) -> Result<[ServiceRow; 2]> {
    match deployment {
        "panelwerk" => Ok([("panel-front", 7, 4, 30), ("study-intake", 3, 4, 5)]),
        "jadepeak" => Ok([("queue-desk", 7, 7, 55), ("scene-intake", 3, 7, 5)]),
        _ => Err(Error::new(
            Code::Usage,
            format!("unknown deployment {deployment:?}; use panelwerk or jadepeak"),
        )),
    }
}

impl Imbalance {
    fn sample(&mut self, site: &OpaqueSite, targets: usize) {
        let flows: Vec<f64> = (0..targets)
            .map(|index| site.open_flows(index) as f64)
            .collect();
        let mean = flows.iter().sum::<f64>() / targets as f64;
        if mean > 0.0 {
            let highest = flows.iter().copied().fold(0.0, f64::max);
            let imbalance = highest / mean - 1.0;
            self.sum += imbalance;
            self.worst = self.worst.max(imbalance);
            self.samples += 1;
        }
    }
}

/// Performs the event with this name.
async fn inject_event(site: &mut OpaqueSite, event: &str) -> Result<()> {
    match event {
        "none" => {}
        "restart-balancer" => {
            if let Some(balancer) = site.balancer(0) {
                balancer.terminate()?;
                balancer.wait(END_TIMEOUT).await?;
            }
            site.start_balancer(0)?;
        }
        "kill-balancer" => {
            if let Some(balancer) = site.balancer(0) {
                balancer.kill()?;
            }
            site.start_balancer(0)?;
        }
        "kill-agent" => {
            if let Some(agent) = site.agent(0) {
                agent.kill()?;
            }
            site.start_agent(0)?;
        }
        "crash-backend" => {
            site.crash_backend(0);
        }
        "drain-agent" => site.drain_backend(0),
        "silence-platform" => site.store().set_fault(Some(super::StoreFault::Silent)),
        _ => {
            let events = format!(
                "unknown event {event:?}; use none, restart-balancer, kill-balancer, kill-agent, \
                 crash-backend, drain-agent or silence-platform"
            );
            return Err(Error::new(Code::Usage, events));
        }
    }
    Ok(())
}

/// Returns the processor time used so far by all processes of the product, in milliseconds.
fn cpu_ms(site: &OpaqueSite) -> Result<u64> {
    let mut sum_ms = 0;
    for id in site.process_ids() {
        sum_ms += proc_stat::usage(id)?.cpu_ms;
    }
    Ok(sum_ms)
}

fn report(
    plan: &OpaqueLoadPlan,
    service: &str,
    tally: &CallTally,
    imbalance: &Imbalance,
    site: &OpaqueSite,
    cpu_ms: f64,
) -> String {
    let samples = f64::from(imbalance.samples.max(1));
    format!(
        "opaque load: {} requests, {} answered, {} wrong, {} doubled, {} flows broken\n\
         {} failed, {} openers refused, {} shed, slowest answer {} ms, {} packets handed back\n\
         {service}: imbalance of open flows {:.1} % in the mean, {:.1} % in the worst second\n\
         processor time of all processes: {:.2} ms a request; event {}",
        tally.requests,
        tally.answered,
        tally.wrong,
        site.claims_run_twice(),
        tally.reset,
        tally.failed,
        tally.refused,
        tally.shed,
        tally.slowest_ms,
        site.returned_packets(),
        100.0 * imbalance.sum / samples,
        100.0 * imbalance.worst,
        cpu_ms / tally.requests.max(1) as f64,
        plan.event,
    )
}
