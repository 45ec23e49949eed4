//! Opaque flows while the platform's store is restored from an older copy, with real processes.
//!
//! These tests guard against an incident in which three confirmed configurations were in force
//! nowhere for five seconds. The store had been restored from a copy some seconds old and used
//! revisions again. Processes ordered values by revision alone, so they dropped the new
//! configurations as older ones, without a log line, until the store passed the revision in force.
//! The log showed it: after routes at revision 18, entries came into force at 14 and 15, and the
//! next routes only at 22.
//!
//! ```text
//! 13.0328 event=value_in_force name=routes revision=18
//! 16.0030 event=platform_fails read=Changes { after: 18, wait_ms: 1500 }
//! 18.7094 event=value_in_force name=services revision=14
//! 22.8125 event=value_in_force name=backend/i-3bd4b4b94d revision=15
//! 26.0148 event=value_in_force name=backend/i-e124e80ab3 revision=19
//! 31.0316 event=value_in_force name=routes revision=22
//! ```

mod common;

use std::net::Ipv4Addr;
use std::time::Instant;

use common::opaque::{CHANGE_TIMEOUT, assert_no_corruption, assert_no_visible_failure};
use common::{run, sleep_ms};
use endivedyke::Result;
use endivedyke_lab::Process;
use endivedyke_lab::opaque::{OpaqueSite, OpaqueSiteBuilder, StoreFault, run_soak};

/// The time without new openers after which a backend server counts as idle, in milliseconds.
const IDLE_MS: u64 = 1_500;

/// The index of the service whose route is removed.
const INTAKE: usize = 1;
/// The index of the only backend server of that service.
const INTAKE_SERVER: usize = 2;

async fn site() -> OpaqueSite {
    let builder = OpaqueSiteBuilder::new(2).service("panel-front", 2, 4, 5);
    let builder = builder.service("study-intake", 1, 4, 5);
    builder.start().await.expect("the site starts")
}

/// Publishes changes of the configuration that affect no caller, and waits until they are in force.
async fn publish_idle_changes(site: &mut OpaqueSite, changes: usize) {
    for _ in 0..changes {
        site.add_idle_route();
        sleep_ms(250).await;
    }
    sleep_ms(1_000).await;
}

/// Waits until a backend server gets no more openers.
async fn wait_for_no_openers(site: &OpaqueSite, index: usize) {
    let until = Instant::now() + CHANGE_TIMEOUT;
    loop {
        let before = site.openers_received(index);
        sleep_ms(IDLE_MS).await;
        if site.openers_received(index) == before {
            return;
        }
        assert!(
            Instant::now() < until,
            "openers still reach a server that must get none"
        );
    }
}

/// Waits until processes have a version of the configuration in force.
async fn wait_for_version(site: &OpaqueSite, version: u64, hosts: &[Ipv4Addr]) {
    let until = Instant::now() + CHANGE_TIMEOUT;
    for host in hosts {
        while site.metric(*host, "config_version").await.ok() != Some(version as f64) {
            assert!(Instant::now() < until, "{host} has another configuration");
            sleep_ms(50).await;
        }
    }
}

#[test]
fn a_configuration_written_after_a_restore_comes_into_force() {
    run(async {
        let mut site = site().await;
        let snapshot = site.store().snapshot();
        publish_idle_changes(&mut site, 8).await;
        site.start_callers(&[site.call_plan(INTAKE, 0, 4)])
            .expect("callers start");
        site.store().restore(&snapshot);
        site.rewrite_lost_values();
        sleep_ms(1_000).await;
        assert!(site.openers_received(INTAKE_SERVER) > 0, "no opener came");
        site.remove_last_route();
        wait_for_no_openers(&site, INTAKE_SERVER).await;
        let tally = site.finish_callers().await;
        assert_no_corruption(&site, &tally);
    });
}

#[test]
fn changes_come_into_force_if_the_store_passes_the_known_revision_during_an_outage() {
    run(async {
        let mut site = site().await;
        let snapshot = site.store().snapshot();
        publish_idle_changes(&mut site, 2).await;
        site.start_callers(&[site.call_plan(INTAKE, 0, 4)])
            .expect("callers start");
        site.store().set_fault(Some(StoreFault::Busy));
        sleep_ms(500).await;
        // The store does not reject a watch from the known revision, because it has passed that
        // revision again when it answers.
        site.store().restore(&snapshot);
        site.remove_last_route();
        for index in 0..3 {
            site.rewrite_entry(index);
        }
        site.store().set_fault(None);
        wait_for_no_openers(&site, INTAKE_SERVER).await;
        let tally = site.finish_callers().await;
        assert_no_corruption(&site, &tally);
    });
}

#[test]
fn a_restore_does_not_bring_an_older_configuration_back() {
    run(async {
        let mut site = site().await;
        site.start_callers(&[site.call_plan(INTAKE, 0, 4)])
            .expect("callers start");
        let snapshot = site.store().snapshot();
        sleep_ms(500).await;
        site.remove_last_route();
        wait_for_no_openers(&site, INTAKE_SERVER).await;
        site.store().restore(&snapshot);
        // Operators have not rewritten the configuration yet. Processes that start meanwhile get it
        // from their peers.
        site.restart_agent(0).expect("it starts");
        site.restart_balancer(1).expect("it starts");
        site.wait_ready().await.expect("the site becomes ready");
        let restarted = [site.agent_host(0), site.balancer_host(1)];
        wait_for_version(&site, site.config_version(), &restarted).await;
        let before = site.openers_received(INTAKE_SERVER);
        sleep_ms(IDLE_MS).await;
        assert_eq!(
            site.openers_received(INTAKE_SERVER),
            before,
            "the route came back"
        );
        site.rewrite_lost_values();
        wait_for_no_openers(&site, INTAKE_SERVER).await;
    });
}

#[test]
fn a_process_that_started_from_an_older_copy_gets_the_newer_configuration_from_peers() {
    run(async {
        let mut site = site().await;
        let hosts: Vec<Ipv4Addr> = (0..2)
            .map(|index| site.balancer_host(index))
            .chain((0..3).map(|index| site.agent_host(index)))
            .collect();
        // One of the agents is the first reader of the store, which has no peer to pull from.
        for agent in 0..3 {
            let older = site.config_version();
            let snapshot = site.store().snapshot();
            publish_idle_changes(&mut site, 2).await;
            wait_for_version(&site, site.config_version(), &hosts).await;
            for_all_processes_but_one_agent(&mut site, agent, Process::freeze);
            site.store()
                .reject_hosts(&hosts_without(&hosts, site.agent_host(agent)));
            site.store().restore(&snapshot);
            site.restart_agent(agent).expect("it starts");
            wait_for_version(&site, older, &[site.agent_host(agent)]).await;
            for_all_processes_but_one_agent(&mut site, agent, Process::thaw);
            wait_for_version(&site, site.config_version(), &hosts).await;
            site.store().reject_hosts(&[]);
            site.rewrite_lost_values();
            wait_for_version(&site, site.config_version(), &hosts).await;
        }
    });
}

fn hosts_without(hosts: &[Ipv4Addr], excluded: Ipv4Addr) -> Vec<Ipv4Addr> {
    let others = hosts.iter().copied();
    others.filter(|host| *host != excluded).collect()
}

/// Calls `act` for every process of the site but one agent.
fn for_all_processes_but_one_agent(
    site: &mut OpaqueSite,
    excluded: usize,
    act: impl Fn(&Process) -> Result<()>,
) {
    for index in 0..2 {
        act(site.balancer(index).expect("a running process")).expect("a running process");
    }
    for index in (0..3).filter(|index| *index != excluded) {
        act(site.agent(index).expect("a running process")).expect("a running process");
    }
}

/// Guards against a metric that showed the first of two configurations of one read, while the
/// second was in force. Both readers of the store had `config_version 6` and the log line
/// `value_in_force name=routes revision=2.16 version=9`.
#[test]
fn the_metric_shows_the_newer_of_two_configurations_in_one_read() {
    run(async {
        let mut site = site().await;
        site.store().set_fault(Some(StoreFault::Busy));
        sleep_ms(500).await;
        site.add_idle_route();
        site.add_idle_route();
        site.store().set_fault(None);
        let hosts: Vec<Ipv4Addr> = (0..3).map(|index| site.agent_host(index)).collect();
        wait_for_version(&site, site.config_version(), &hosts).await;
    });
}

#[test]
fn no_caller_is_affected_by_a_restore_of_the_store() {
    run(async {
        let builder = OpaqueSiteBuilder::new(2).service("panel-front", 3, 4, 5);
        let mut site = builder.start().await.expect("the site starts");
        let snapshot = site.store().snapshot();
        let joined = site.add_backend(0).await.expect("it starts");
        site.start_agent(joined).expect("it starts");
        sleep_ms(500).await;
        site.start_callers(&[site.call_plan(0, 12, 4)])
            .expect("callers start");
        sleep_ms(1_000).await;
        site.store().set_fault(Some(StoreFault::Busy));
        sleep_ms(700).await;
        // The copy lacks the server that joined, which rewrites its entry a second later.
        site.store().restore(&snapshot);
        site.store().set_fault(None);
        sleep_ms(1_000).await;
        site.rewrite_lost_values();
        sleep_ms(2_500).await;
        let tally = site.finish_callers().await;
        assert_no_visible_failure(&site, &tally);
    });
}

#[test]
fn drains_and_evacuations_stay_in_force_after_a_restore() {
    run(async {
        let builder = OpaqueSiteBuilder::new(2).service("panel-front", 3, 4, 5);
        let mut site = builder.start().await.expect("the site starts");
        let snapshot = site.store().snapshot();
        site.start_callers(&[site.call_plan(0, 0, 6)])
            .expect("callers start");
        site.evacuate_zone(site.backend_zone(0));
        site.drain_backend(1);
        wait_for_no_openers(&site, 0).await;
        wait_for_no_openers(&site, 1).await;
        site.store().set_fault(Some(StoreFault::Busy));
        sleep_ms(700).await;
        let before = [site.openers_received(0), site.openers_received(1)];
        site.store().restore(&snapshot);
        site.store().set_fault(None);
        sleep_ms(1_000).await;
        site.rewrite_lost_values();
        sleep_ms(IDLE_MS).await;
        assert_eq!([site.openers_received(0), site.openers_received(1)], before);
        // The zone can still be taken back.
        site.take_zone_back(site.backend_zone(0));
        let until = Instant::now() + CHANGE_TIMEOUT;
        while site.openers_received(0) == before[0] {
            assert!(Instant::now() < until, "the zone was not taken back");
            sleep_ms(50).await;
        }
        let tally = site.finish_callers().await;
        assert_no_corruption(&site, &tally);
    });
}

/// Seeds 4006 and 4025 reproduced the fault of two configurations in one read.
#[test]
fn soaks_that_restore_the_store_break_no_promise() {
    for (seed, seconds) in [(4_000, 4), (4_006, 8), (4_025, 8)] {
        let result = run(run_soak(seed, seconds, None));
        assert!(result.is_ok(), "{result:?}");
    }
}
