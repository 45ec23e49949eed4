//! A randomized soak test: injects overlapping faults into a site of real processes, and checks the
//! promises from what callers and backend servers observe.

mod faults;

use std::path::Path;
use std::time::{Duration, Instant};

use endivedyke::{Code, Error, Result};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::opaque::callers::CallTally;
use crate::opaque::site::{OpaqueSite, OpaqueSiteBuilder};
use crate::opaque::soak::faults::{
    EVACUATION_SEED, Fault, ONE_ATTEMPT_SEED, RESTORE_SEED, Repair, faults_for_seed,
};
use crate::opaque::store::{StoreFault, StoreSnapshot};
use crate::process::Process;

const BALANCERS: usize = 3;
const BACKENDS: usize = 5;
/// The interval between two faults, in milliseconds: shorter than most faults, so that they overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..900;
/// The duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..2_500;
/// The delay after which processes that are killed while the store is silent start again, in
/// milliseconds.
const RESTART_DELAY_MS: u64 = 300;
/// The time from the start of a drain to the end of the backend server, in milliseconds.
const DRAIN_DURATION_MS: u64 = 1_500;
/// The delay after which a lapsed entry is back once the store answers again, in milliseconds.
const ENTRY_LAPSE_MS: u64 = 1_500;
/// The minimum age of the copy from which the store is restored, in milliseconds.
const MIN_COPY_AGE_MS: u64 = 1_000;
/// The delay after a restore until all lost values are rewritten, in milliseconds: the platform
/// promises two seconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 0..2_000;
/// The delay after a restore until the entries of ended servers are removed, in milliseconds: three
/// heartbeats.
const DEAD_ENTRY_LEASE_MS: u64 = 3_600;
/// The factor by which a slow backend server takes longer for a request.
const SLOWDOWN: u64 = 8;
/// The factor by which the number of callers grows in a rush.
const RUSH_FACTOR: usize = 5;
/// The duration of a rush, in milliseconds.
const RUSH_DURATION_MS: std::ops::Range<u64> = 1_000..2_000;
/// The latency objective and the timeout of routes whose callers have time for only one attempt, in
/// milliseconds. An attempt without an answer takes 1,400 ms.
const DEADLINE_MS: (u64, u64) = (300, 1_500);
/// The time to recover after the last fault: lapsed entries have to come back, and suspicions and
/// timeouts have to expire.
const RECOVERY_DURATION: Duration = Duration::from_secs(6);
/// The time after that in which all requests have to be answered.
const CALM_DURATION: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time within which an evacuation has to be in force everywhere, in milliseconds: the users'
/// bound for the site that has evacuations.
const EVACUATION_TIMEOUT_MS: u64 = 5_000;
/// The time for which openers in the evacuated zone are counted after that, in milliseconds.
const EVACUATION_CHECK_MS: u64 = 1_000;

struct Soak {
    site: OpaqueSite,
    faults: &'static [Fault],
    random: StdRng,
    started: Instant,
    /// The repairs to do, with their due times in milliseconds since the start.
    repairs: Vec<(u64, Repair)>,
    /// The faults so far, for the report.
    steps: Vec<String>,
    /// Snapshots of the store with their times in milliseconds since the start, in order of time.
    snapshots: Vec<(u64, StoreSnapshot)>,
}

/// Runs one seed for some seconds and returns a summary. The processes log to files in the folder
/// `logs`, if given.
///
/// # Errors
///
/// Returns code 1101 with the broken promises and the faults so far if a promise is broken, and code
/// 5001 if a process does not become ready.
pub async fn run_soak(seed: u64, seconds: u64, logs: Option<&Path>) -> Result<String> {
    let mut builder = OpaqueSiteBuilder::new(BALANCERS).service("panel-front", BACKENDS, 4, 8);
    if seed >= ONE_ATTEMPT_SEED {
        builder = builder.deadline(DEADLINE_MS.0, DEADLINE_MS.1);
    }
    if let Some(folder) = logs {
        builder = builder.log_to_folder(folder);
    }
    let mut soak = Soak {
        site: builder.start().await?,
        faults: faults_for_seed(seed),
        random: StdRng::seed_from_u64(seed),
        started: Instant::now(),
        repairs: Vec::new(),
        steps: Vec::new(),
        snapshots: Vec::new(),
    };
    soak.site.start_callers(&[soak.site.call_plan(0, 16, 6)])?;
    while soak.started.elapsed() < Duration::from_secs(seconds) {
        soak.inject_fault()?;
        let pause_ms = soak.random.random_range(FAULT_INTERVAL_MS);
        let next_ms = soak.now_ms() + pause_ms;
        while soak.now_ms() < next_ms {
            soak.run_due_repairs().await?;
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
    soak.run_all_repairs().await?;
    compio::time::sleep(RECOVERY_DURATION).await;
    let before = soak.site.tally();
    compio::time::sleep(CALM_DURATION).await;
    let evacuated_openers = soak.count_openers_in_evacuated_zone(seed).await;
    let outdated = soak.count_outdated_processes(seed).await;
    let tally = soak.site.finish_callers().await;
    soak.check_promises(seed, &before, &tally, [evacuated_openers, outdated])
}

impl Soak {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Injects a random fault and schedules its repair.
    fn inject_fault(&mut self) -> Result<()> {
        let fault = self.faults[self.random.random_range(0..self.faults.len())];
        let balancer = self.random.random_range(0..BALANCERS);
        let index = self.random.random_range(0..BACKENDS);
        let due_ms = self.now_ms() + self.random.random_range(FAULT_DURATION_MS);
        self.snapshots
            .push((self.now_ms(), self.site.store().snapshot()));
        self.steps.push(format!(
            "{} ms: {fault:?} {balancer} {index}",
            self.now_ms()
        ));
        match fault {
            Fault::KillBalancer | Fault::StopBalancer => {
                let is_kill = fault == Fault::KillBalancer;
                if let Some(process) = self.site.balancer(balancer) {
                    stop_process(process, is_kill)?;
                    self.repairs.push((due_ms, Repair::StartBalancer(balancer)));
                }
            }
            Fault::FreezeBalancer => {
                if let Some(process) = self.site.balancer(balancer) {
                    ignore_signal_error(process.freeze());
                    self.repairs.push((due_ms, Repair::ThawBalancer(balancer)));
                }
            }
            Fault::KillAgent | Fault::StopAgent => {
                let is_kill = fault == Fault::KillAgent;
                if let Some(process) = self.site.agent(index) {
                    stop_process(process, is_kill)?;
                    self.repairs.push((due_ms, Repair::StartAgent(index)));
                }
            }
            Fault::FreezeAgent => {
                if let Some(process) = self.site.agent(index) {
                    ignore_signal_error(process.freeze());
                    self.repairs.push((due_ms, Repair::ThawAgent(index)));
                }
            }
            Fault::CrashBackend => {
                if let Some(old_id) = self.site.crash_backend(index) {
                    self.repairs
                        .push((due_ms, Repair::StartBackend { index, old_id }));
                }
            }
            Fault::CrashSilently => {
                if let Some(old_id) = self.site.crash_backend_silently(index) {
                    self.repairs
                        .push((due_ms, Repair::StartBackend { index, old_id }));
                }
            }
            Fault::RestartUnderId => {
                if let Some(id) = self.site.crash_backend(index) {
                    self.repairs
                        .push((due_ms, Repair::StartBackendWithId { index, id }));
                }
            }
            Fault::OverwriteEntry => {
                self.site.overwrite_entry(index);
                self.repairs.push((due_ms, Repair::RewriteEntry(index)));
            }
            // No repair removes it, because it belongs to no process of the site.
            Fault::ForeignEntry => self.site.write_foreign_entry(index),
            Fault::Evacuate => {
                let zone = self.site.backend_zone(index);
                self.site.evacuate_zone(zone);
                self.repairs.push((due_ms, Repair::TakeZoneBack(zone)));
            }
            Fault::Link(fault) => {
                self.site.proxy().set_fault(Some(fault));
                self.repairs.push((due_ms, Repair::LinkFault));
            }
            Fault::ResetLinks => self.site.proxy().break_connections(),
            Fault::SilenceLinks => self.site.proxy().silence_open_connections(),
            Fault::DrainBackend => {
                self.site.drain_backend(index);
                self.repairs
                    .push((self.now_ms() + DRAIN_DURATION_MS, Repair::EndDrain(index)));
            }
            Fault::LapseEntry => {
                // The entry of a running server lapses only while the store is unavailable, and is back
                // soon after.
                self.site.store().set_fault(Some(StoreFault::Busy));
                self.site.lapse_entry(index);
                self.repairs.push((due_ms, Repair::StoreFault));
                self.repairs
                    .push((due_ms + ENTRY_LAPSE_MS, Repair::RewriteEntry(index)));
            }
            Fault::Store(fault) => {
                self.site.store().set_fault(Some(fault));
                self.repairs.push((due_ms, Repair::StoreFault));
            }
            Fault::TurnAway => {
                let hosts =
                    [index, (index + 1) % BACKENDS].map(|index| self.site.agent_host(index));
                self.site.store().reject_hosts(&hosts);
                self.repairs.push((due_ms, Repair::AcceptHosts));
            }
            Fault::ForgetHistory => self.site.store().forget_history(),
            Fault::HangUp => {
                if let Some(process) = self.site.agent(index) {
                    ignore_signal_error(process.reload());
                }
            }
            Fault::RestoreStore => {
                self.site.store().set_fault(Some(StoreFault::Busy));
                self.repairs.push((due_ms, Repair::RestoreStore));
                self.repairs.push((due_ms, Repair::StoreFault));
            }
            Fault::SlowBackend => {
                self.site.slow_backend(index, SLOWDOWN);
                self.repairs.push((due_ms, Repair::WorkMode(index)));
            }
            Fault::HangBackend => {
                self.site.hang_backend(index);
                self.repairs.push((due_ms, Repair::WorkMode(index)));
            }
            Fault::Rush => {
                let end_ms = self.now_ms() + self.random.random_range(RUSH_DURATION_MS);
                self.site.start_rush(RUSH_FACTOR);
                self.repairs.push((end_ms, Repair::EndRush));
            }
            Fault::KillAll => self.kill_all(due_ms)?,
            Fault::KillAllInSilence => {
                self.site.store().set_fault(Some(StoreFault::Silent));
                self.kill_all(self.now_ms() + RESTART_DELAY_MS)?;
                self.repairs
                    .push((due_ms + RESTART_DELAY_MS, Repair::StoreFault));
            }
        }
        Ok(())
    }

    fn kill_all(&mut self, due_ms: u64) -> Result<()> {
        for index in 0..BALANCERS {
            if let Some(process) = self.site.balancer(index) {
                process.kill()?;
                self.repairs.push((due_ms, Repair::StartBalancer(index)));
            }
        }
        for index in 0..BACKENDS {
            if let Some(process) = self.site.agent(index) {
                process.kill()?;
                self.repairs.push((due_ms, Repair::StartAgent(index)));
            }
        }
        Ok(())
    }

    /// Runs the repairs that are due.
    async fn run_due_repairs(&mut self) -> Result<()> {
        let now_ms = self.now_ms();
        let is_due = |(due_ms, _): &(u64, Repair)| *due_ms <= now_ms;
        while let Some(index) = self.repairs.iter().position(is_due) {
            let (_, repair) = self.repairs.remove(index);
            self.repair(repair).await?;
        }
        Ok(())
    }

    /// Waits until all repairs are done and the site is ready.
    async fn run_all_repairs(&mut self) -> Result<()> {
        while !self.repairs.is_empty() {
            self.run_due_repairs().await?;
            compio::time::sleep(POLL_INTERVAL).await;
        }
        self.steps.push(format!("{} ms: all healed", self.now_ms()));
        self.site.wait_ready().await
    }

    async fn repair(&mut self, repair: Repair) -> Result<()> {
        match repair {
            Repair::StartBalancer(index) => self.site.restart_balancer(index),
            Repair::ThawBalancer(index) => self.site.balancer(index).map_or(Ok(()), thaw_process),
            Repair::StartAgent(index) => self.site.restart_agent(index),
            Repair::ThawAgent(index) => self.site.agent(index).map_or(Ok(()), thaw_process),
            Repair::StartBackend { index, old_id } => {
                self.site.start_backend(index, 0).await?;
                self.site.remove_entry(&old_id);
                Ok(())
            }
            Repair::StartBackendWithId { index, id } => {
                self.site.start_backend_with_id(&id, index, 0).await
            }
            Repair::EndDrain(index) => {
                if let Some(old_id) = self.site.crash_backend(index) {
                    self.site.remove_entry(&old_id);
                    self.site.start_backend(index, 0).await?;
                }
                Ok(())
            }
            Repair::TakeZoneBack(zone) => {
                self.site.take_zone_back(zone);
                Ok(())
            }
            Repair::RewriteEntry(index) => {
                self.site.rewrite_entry(index);
                Ok(())
            }
            Repair::RestoreStore => {
                self.restore_store();
                Ok(())
            }
            Repair::RewriteValues => {
                self.site.rewrite_lost_values();
                self.site.add_idle_route();
                Ok(())
            }
            Repair::RemoveDeadEntries => {
                self.site.remove_dead_entries();
                Ok(())
            }
            // Overlapping faults of one kind last until the last one ends.
            Repair::WorkMode(index)
                if self
                    .repairs
                    .iter()
                    .any(|(_, other)| *other == Repair::WorkMode(index)) =>
            {
                Ok(())
            }
            Repair::WorkMode(index) => {
                self.site.resume_normal_work(index);
                Ok(())
            }
            Repair::EndRush
                if self
                    .repairs
                    .iter()
                    .any(|(_, other)| *other == Repair::EndRush) =>
            {
                Ok(())
            }
            Repair::EndRush => {
                self.site.end_rush();
                Ok(())
            }
            Repair::StoreFault
                if self
                    .repairs
                    .iter()
                    .any(|(_, other)| *other == Repair::StoreFault) =>
            {
                Ok(())
            }
            Repair::StoreFault => {
                self.site.store().set_fault(None);
                Ok(())
            }
            Repair::LinkFault
                if self
                    .repairs
                    .iter()
                    .any(|(_, other)| *other == Repair::LinkFault) =>
            {
                Ok(())
            }
            Repair::LinkFault => {
                self.site.proxy().set_fault(None);
                Ok(())
            }
            Repair::AcceptHosts => {
                self.site.store().reject_hosts(&[]);
                Ok(())
            }
        }
    }

    /// Restores the store from the newest snapshot that is old enough, and schedules the rewrite of the
    /// lost values.
    fn restore_store(&mut self) {
        let now_ms = self.now_ms();
        let is_old = |(taken_ms, _): &&(u64, StoreSnapshot)| now_ms >= taken_ms + MIN_COPY_AGE_MS;
        let Some((_, snapshot)) = self.snapshots.iter().rev().find(is_old) else {
            return;
        };
        self.site.store().restore(snapshot);
        let rewrite_ms = now_ms + self.random.random_range(REWRITE_DELAY_MS);
        self.repairs.push((rewrite_ms, Repair::RewriteValues));
        self.repairs
            .push((now_ms + DEAD_ENTRY_LEASE_MS, Repair::RemoveDeadEntries));
    }

    /// Returns the number of processes of the calm site that do not have the newest configuration.
    async fn count_outdated_processes(&self, seed: u64) -> u64 {
        if seed < RESTORE_SEED {
            return 0;
        }
        let balancers = (0..BALANCERS).map(|index| self.site.balancer_host(index));
        let agents = (0..BACKENDS).map(|index| self.site.agent_host(index));
        let newest = self.site.config_version() as f64;
        let mut outdated = 0;
        for host in balancers.chain(agents) {
            let version = self.site.metric(host, "config_version").await;
            outdated += u64::from(version.ok() != Some(newest));
        }
        outdated
    }

    /// Evacuates a zone of the calm site and returns the number of openers that its servers get after
    /// the evacuation has to be in force.
    async fn count_openers_in_evacuated_zone(&self, seed: u64) -> u64 {
        if seed < EVACUATION_SEED {
            return 0;
        }
        let zone = self.site.backend_zone(seed as usize % BACKENDS);
        let in_zone = (0..BACKENDS).filter(|index| self.site.backend_zone(*index) == zone);
        let in_zone: Vec<usize> = in_zone.collect();
        let count_openers = || {
            in_zone
                .iter()
                .map(|index| self.site.openers_received(*index))
                .sum::<usize>()
        };
        self.site.evacuate_zone(zone);
        compio::time::sleep(Duration::from_millis(EVACUATION_TIMEOUT_MS)).await;
        let before = count_openers();
        compio::time::sleep(Duration::from_millis(EVACUATION_CHECK_MS)).await;
        (count_openers() - before) as u64
    }

    /// Returns the summary of the run, or an error that lists the broken promises and the faults.
    fn check_promises(
        &self,
        seed: u64,
        before: &CallTally,
        tally: &CallTally,
        [evacuated_openers, outdated]: [u64; 2],
    ) -> Result<String> {
        let executed = self.site.executed_requests();
        let lost = tally
            .claims
            .iter()
            .filter(|id| executed.binary_search(id).is_err());
        let begun = tally.requests - before.requests;
        let answered = tally.answered - before.answered;
        let ended = tally.answered + tally.failed + tally.wrong;
        let broken = [
            ("answers that were not their request's", tally.wrong),
            (
                "flows reset that a backend server held",
                tally.wrongly_reset,
            ),
            ("claims that ran twice", self.site.claims_run_twice() as u64),
            (
                "packets at servers that they were not for",
                self.site.misdelivered_packets(),
            ),
            ("claims answered that did not run", lost.count() as u64),
            ("openers at servers of an evacuated zone", evacuated_openers),
            ("processes with an older configuration", outdated),
            (
                "requests neither answered nor failed within their limit",
                tally.requests.saturating_sub(ended),
            ),
            // Requests that began before the calm may be answered in it, so that more are answered than
            // begin.
            (
                "requests of the calm at the end not answered",
                begun.saturating_sub(answered),
            ),
        ];
        let broken: Vec<String> = broken
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(what, count)| format!("{count} {what}"))
            .collect();
        let line = format!(
            "soak seed {seed}: {} faults, {} requests, {} answered, {} failed, {} flows reset",
            self.steps.len(),
            tally.requests,
            tally.answered,
            tally.failed,
            tally.reset
        );
        if broken.is_empty() {
            return Ok(line);
        }
        let message = format!("{line}: {}\n{}", broken.join(", "), self.steps.join("\n"));
        Err(Error::new(Code::OutcomeUnknown, message))
    }
}

/// Kills a process or asks it to terminate.
fn stop_process(process: &mut Process, kill: bool) -> Result<()> {
    if kill {
        return process.kill();
    }
    ignore_signal_error(process.terminate());
    Ok(())
}

fn thaw_process(process: &mut Process) -> Result<()> {
    ignore_signal_error(process.thaw());
    Ok(())
}

/// Ignores a failed signal: an earlier fault may have ended the process already.
fn ignore_signal_error(_result: Result<()>) {}
