//! A randomized soak: the real processes under overlapping faults from outside, and the promises
//! checked while it runs, from what callers and backend servers see.

mod faults;

use std::path::Path;
use std::time::{Duration, Instant};

use endivedyke::{Code, Error, Result};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::opaque::callers::CallTally;
use crate::opaque::site::{OpaqueSite, OpaqueSiteBuilder};
use crate::opaque::soak::faults::{
    EVACUATION_SEED, Fault, Heal, ONE_ATTEMPT_SEED, RESTORE_SEED, faults_of,
};
use crate::opaque::store::{StoreFault, StoreSnapshot};
use crate::process::Process;

const BALANCERS: usize = 3;
const BACKENDS: usize = 5;
/// The pause between two faults, in milliseconds: shorter than most faults, so that they overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// How long a fault lasts, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..2_500;
/// After how long processes start again that are killed while the store is silent, in milliseconds.
const RESTART_MS: u64 = 300;
/// How long a backend server that drains goes on, in milliseconds.
const DRAIN_MS: u64 = 1_500;
/// How long after the return of the store a lapsed entry is back, in milliseconds.
const LAPSE_MS: u64 = 1_500;
/// How old at least the copy is from which the store comes back, in milliseconds.
const COPY_AGE_MS: u64 = 1_000;
/// Within how long after the return of the store everything is written again, in milliseconds: what the platform promises.
const WRITE_AGAIN_MS: std::ops::Range<u64> = 0..2_000;
/// How long after that entries of ended servers still stand in the copy, in milliseconds: three signs of life.
const DEAD_ENTRIES_MS: u64 = 3_600;
/// How many times as long a slow backend server takes for a request.
const SLOW_TIMES: u64 = 8;
/// How many times as many callers call in a rush, and for how long, in milliseconds.
const RUSH_TIMES: usize = 5;
const RUSH_MS: std::ops::Range<u64> = 1_000..2_000;
/// What operators tell of routes whose callers have time for one attempt only: the latency objective and the timeout,
/// in milliseconds. An attempt that nobody answers lasts 1,400.
const DEADLINE_MS: (u64, u64) = (300, 1_500);
/// How long the site has to recover after the last fault: lapsed entries, suspicions and patience.
const RECOVERY: Duration = Duration::from_secs(6);
/// How long requests are counted after that.
const CALM: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_millis(20);

/// How long an evacuation may take to be in force everywhere, in milliseconds: the bound of the users' sheet for the
/// site that has evacuations.
const EVACUATION_MS: u64 = 5_000;
/// For how long an evacuated zone is watched at the end, in milliseconds.
const WATCHED_MS: u64 = 1_000;

struct Soak {
    site: OpaqueSite,
    faults: &'static [Fault],
    random: StdRng,
    started: Instant,
    heals: Vec<(u64, Heal)>,
    steps: Vec<String>,
    /// What the store held, and when, in order of time.
    copies: Vec<(u64, StoreSnapshot)>,
}

/// Runs one seed for some seconds, with log lines in files of a folder if one is named; the error names what was broken and the steps until then.
///
/// # Errors
///
/// Returns code 1101 where a promise was broken and 5001 where a process does not come up.
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
        faults: faults_of(seed),
        random: StdRng::seed_from_u64(seed),
        started: Instant::now(),
        heals: Vec::new(),
        steps: Vec::new(),
        copies: Vec::new(),
    };
    soak.site.start_callers(&[soak.site.call_plan(0, 16, 6)])?;
    while soak.started.elapsed() < Duration::from_secs(seconds) {
        soak.strike()?;
        let pause_ms = soak.random.random_range(PAUSE_MS);
        let next_ms = soak.now_ms() + pause_ms;
        while soak.now_ms() < next_ms {
            soak.heal_due().await?;
            compio::time::sleep(POLL).await;
        }
    }
    soak.heal_all().await?;
    compio::time::sleep(RECOVERY).await;
    let before = soak.site.tally();
    compio::time::sleep(CALM).await;
    let evacuated = soak.openers_in_an_evacuated_zone(seed).await;
    let behind = soak.processes_behind(seed).await;
    let tally = soak.site.finish_callers().await;
    soak.judge(seed, &before, &tally, [evacuated, behind])
}

impl Soak {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn strike(&mut self) -> Result<()> {
        let fault = self.faults[self.random.random_range(0..self.faults.len())];
        let balancer = self.random.random_range(0..BALANCERS);
        let index = self.random.random_range(0..BACKENDS);
        let due_ms = self.now_ms() + self.random.random_range(FAULT_MS);
        self.copies
            .push((self.now_ms(), self.site.store().snapshot()));
        self.steps.push(format!(
            "{} ms: {fault:?} {balancer} {index}",
            self.now_ms()
        ));
        match fault {
            Fault::KillBalancer | Fault::StopBalancer => {
                let kill = fault == Fault::KillBalancer;
                if let Some(process) = self.site.balancer(balancer) {
                    end(process, kill)?;
                    self.heals.push((due_ms, Heal::StartBalancer(balancer)));
                }
            }
            Fault::FreezeBalancer => {
                if let Some(process) = self.site.balancer(balancer) {
                    quietly(process.freeze());
                    self.heals.push((due_ms, Heal::ThawBalancer(balancer)));
                }
            }
            Fault::KillAgent | Fault::StopAgent => {
                let kill = fault == Fault::KillAgent;
                if let Some(process) = self.site.agent(index) {
                    end(process, kill)?;
                    self.heals.push((due_ms, Heal::StartAgent(index)));
                }
            }
            Fault::FreezeAgent => {
                if let Some(process) = self.site.agent(index) {
                    quietly(process.freeze());
                    self.heals.push((due_ms, Heal::ThawAgent(index)));
                }
            }
            Fault::CrashBackend => {
                if let Some(old_id) = self.site.crash_backend(index) {
                    self.heals
                        .push((due_ms, Heal::StartBackend { index, old_id }));
                }
            }
            Fault::CrashSilently => {
                if let Some(old_id) = self.site.crash_backend_silently(index) {
                    self.heals
                        .push((due_ms, Heal::StartBackend { index, old_id }));
                }
            }
            Fault::RestartUnderId => {
                if let Some(id) = self.site.crash_backend(index) {
                    self.heals.push((due_ms, Heal::StartUnderId { index, id }));
                }
            }
            Fault::OverwriteEntry => {
                self.site.overwrite_entry(index);
                self.heals.push((due_ms, Heal::Register(index)));
            }
            // It stays, as nobody of the site knows it.
            Fault::ForeignEntry => self.site.write_foreign_entry(index),
            Fault::Evacuate => {
                let zone = self.site.backend_zone(index);
                self.site.evacuate_zone(zone);
                self.heals.push((due_ms, Heal::TakeBack(zone)));
            }
            Fault::Link(fault) => {
                self.site.proxy().set_fault(Some(fault));
                self.heals.push((due_ms, Heal::Link));
            }
            Fault::ResetLinks => self.site.proxy().break_connections(),
            Fault::SilenceLinks => self.site.proxy().silence_open_connections(),
            Fault::DrainBackend => {
                self.site.drain_backend(index);
                self.heals
                    .push((self.now_ms() + DRAIN_MS, Heal::EndDrain(index)));
            }
            Fault::LapseEntry => {
                // A living server's entry lapses only while the store is away, and is back soon after.
                self.site.store().set_fault(Some(StoreFault::Busy));
                self.site.lapse_entry(index);
                self.heals.push((due_ms, Heal::Store));
                self.heals.push((due_ms + LAPSE_MS, Heal::Register(index)));
            }
            Fault::Store(fault) => {
                self.site.store().set_fault(Some(fault));
                self.heals.push((due_ms, Heal::Store));
            }
            Fault::TurnAway => {
                let hosts =
                    [index, (index + 1) % BACKENDS].map(|index| self.site.agent_host(index));
                self.site.store().reject_hosts(&hosts);
                self.heals.push((due_ms, Heal::Serve));
            }
            Fault::ForgetHistory => self.site.store().forget_history(),
            Fault::HangUp => {
                if let Some(process) = self.site.agent(index) {
                    quietly(process.reload());
                }
            }
            Fault::RestoreStore => {
                self.site.store().set_fault(Some(StoreFault::Busy));
                self.heals.push((due_ms, Heal::RestoreStore));
                self.heals.push((due_ms, Heal::Store));
            }
            Fault::SlowBackend => {
                self.site.slow_backend(index, SLOW_TIMES);
                self.heals.push((due_ms, Heal::Pace(index)));
            }
            Fault::HangBackend => {
                self.site.hang_backend(index);
                self.heals.push((due_ms, Heal::Pace(index)));
            }
            Fault::Rush => {
                let end_ms = self.now_ms() + self.random.random_range(RUSH_MS);
                self.site.start_rush(RUSH_TIMES);
                self.heals.push((end_ms, Heal::Rush));
            }
            Fault::KillAll => self.kill_all(due_ms)?,
            Fault::KillAllInSilence => {
                self.site.store().set_fault(Some(StoreFault::Silent));
                self.kill_all(self.now_ms() + RESTART_MS)?;
                self.heals.push((due_ms + RESTART_MS, Heal::Store));
            }
        }
        Ok(())
    }

    fn kill_all(&mut self, due_ms: u64) -> Result<()> {
        for index in 0..BALANCERS {
            if let Some(process) = self.site.balancer(index) {
                process.kill()?;
                self.heals.push((due_ms, Heal::StartBalancer(index)));
            }
        }
        for index in 0..BACKENDS {
            if let Some(process) = self.site.agent(index) {
                process.kill()?;
                self.heals.push((due_ms, Heal::StartAgent(index)));
            }
        }
        Ok(())
    }

    async fn heal_due(&mut self) -> Result<()> {
        let now_ms = self.now_ms();
        let is_due = |(due_ms, _): &(u64, Heal)| *due_ms <= now_ms;
        while let Some(index) = self.heals.iter().position(is_due) {
            let (_, heal) = self.heals.remove(index);
            self.heal(heal).await?;
        }
        Ok(())
    }

    async fn heal_all(&mut self) -> Result<()> {
        while !self.heals.is_empty() {
            self.heal_due().await?;
            compio::time::sleep(POLL).await;
        }
        self.steps.push(format!("{} ms: all healed", self.now_ms()));
        self.site.wait_ready().await
    }

    async fn heal(&mut self, heal: Heal) -> Result<()> {
        match heal {
            Heal::StartBalancer(index) => self.site.restart_balancer(index),
            Heal::ThawBalancer(index) => self.site.balancer(index).map_or(Ok(()), thaw),
            Heal::StartAgent(index) => self.site.restart_agent(index),
            Heal::ThawAgent(index) => self.site.agent(index).map_or(Ok(()), thaw),
            Heal::StartBackend { index, old_id } => {
                self.site.start_backend(index, 0).await?;
                self.site.remove_entry(&old_id);
                Ok(())
            }
            Heal::StartUnderId { index, id } => {
                self.site.start_backend_with_id(&id, index, 0).await
            }
            Heal::EndDrain(index) => {
                if let Some(old_id) = self.site.crash_backend(index) {
                    self.site.remove_entry(&old_id);
                    self.site.start_backend(index, 0).await?;
                }
                Ok(())
            }
            Heal::TakeBack(zone) => {
                self.site.take_zone_back(zone);
                Ok(())
            }
            Heal::Register(index) => {
                self.site.rewrite_entry(index);
                Ok(())
            }
            Heal::RestoreStore => {
                self.restore_store();
                Ok(())
            }
            Heal::WriteAgain => {
                self.site.rewrite_lost_values();
                self.site.add_idle_route();
                Ok(())
            }
            Heal::ExpireDeadEntries => {
                self.site.remove_dead_entries();
                Ok(())
            }
            // Overlapping faults of one kind go on until the last one's end.
            Heal::Pace(index)
                if self
                    .heals
                    .iter()
                    .any(|(_, other)| *other == Heal::Pace(index)) =>
            {
                Ok(())
            }
            Heal::Pace(index) => {
                self.site.resume_normal_work(index);
                Ok(())
            }
            Heal::Rush if self.heals.iter().any(|(_, other)| *other == Heal::Rush) => Ok(()),
            Heal::Rush => {
                self.site.end_rush();
                Ok(())
            }
            Heal::Store if self.heals.iter().any(|(_, other)| *other == Heal::Store) => Ok(()),
            Heal::Store => {
                self.site.store().set_fault(None);
                Ok(())
            }
            Heal::Link if self.heals.iter().any(|(_, other)| *other == Heal::Link) => Ok(()),
            Heal::Link => {
                self.site.proxy().set_fault(None);
                Ok(())
            }
            Heal::Serve => {
                self.site.store().reject_hosts(&[]);
                Ok(())
            }
        }
    }

    /// Lets the store come back from the newest copy that is old enough; what it lost is written again soon.
    fn restore_store(&mut self) {
        let now_ms = self.now_ms();
        let is_old = |(copied_ms, _): &&(u64, StoreSnapshot)| now_ms >= copied_ms + COPY_AGE_MS;
        let Some((_, copy)) = self.copies.iter().rev().find(is_old) else {
            return;
        };
        self.site.store().restore(copy);
        let written_ms = now_ms + self.random.random_range(WRITE_AGAIN_MS);
        self.heals.push((written_ms, Heal::WriteAgain));
        self.heals
            .push((now_ms + DEAD_ENTRIES_MS, Heal::ExpireDeadEntries));
    }

    /// Returns how many processes of the calm site have another configuration than the one that was confirmed last.
    async fn processes_behind(&self, seed: u64) -> u64 {
        if seed < RESTORE_SEED {
            return 0;
        }
        let balancers = (0..BALANCERS).map(|index| self.site.balancer_host(index));
        let agents = (0..BACKENDS).map(|index| self.site.agent_host(index));
        let newest = self.site.config_version() as f64;
        let mut behind = 0;
        for host in balancers.chain(agents) {
            let version = self.site.metric(host, "config_version").await;
            behind += u64::from(version.ok() != Some(newest));
        }
        behind
    }

    /// Evacuates a zone of the calm site; returns how many openers its servers got after that had to be in force.
    async fn openers_in_an_evacuated_zone(&self, seed: u64) -> u64 {
        if seed < EVACUATION_SEED {
            return 0;
        }
        let zone = self.site.backend_zone(seed as usize % BACKENDS);
        let in_zone = (0..BACKENDS).filter(|index| self.site.backend_zone(*index) == zone);
        let in_zone: Vec<usize> = in_zone.collect();
        let opened = || {
            in_zone
                .iter()
                .map(|index| self.site.openers_received(*index))
                .sum::<usize>()
        };
        self.site.evacuate_zone(zone);
        compio::time::sleep(Duration::from_millis(EVACUATION_MS)).await;
        let before = opened();
        compio::time::sleep(Duration::from_millis(WATCHED_MS)).await;
        (opened() - before) as u64
    }

    fn judge(
        &self,
        seed: u64,
        before: &CallTally,
        tally: &CallTally,
        [evacuated, behind]: [u64; 2],
    ) -> Result<String> {
        let ran = self.site.executed_requests();
        let lost = tally
            .claims
            .iter()
            .filter(|id| ran.binary_search(id).is_err());
        let asked = tally.requests - before.requests;
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
            ("openers at servers of an evacuated zone", evacuated),
            ("processes with an older configuration", behind),
            (
                "requests neither answered nor failed within their limit",
                tally.requests.saturating_sub(ended),
            ),
            // Requests that began before the calm may end in it, so that more are answered than asked.
            (
                "requests of the calm at the end not answered",
                asked.saturating_sub(answered),
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

/// Ends a process, by a kill or in good order.
fn end(process: &mut Process, kill: bool) -> Result<()> {
    if kill {
        return process.kill();
    }
    quietly(process.terminate());
    Ok(())
}

fn thaw(process: &mut Process) -> Result<()> {
    quietly(process.thaw());
    Ok(())
}

/// Passes over a signal to a process that an earlier fault has ended already.
fn quietly(_signalled: Result<()>) {}
