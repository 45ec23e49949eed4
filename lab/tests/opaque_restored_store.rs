//! Opaque flows while the platform's store comes back from an older copy, with real processes.
//!
//! Operators found three confirmed configurations in force nowhere for five seconds. The store had come back from a copy
//! some seconds old and gave out revisions again that it had given out before. Processes order values by revision alone,
//! so that they took the new configurations for older ones and dropped them without a word, until the store had passed
//! the revision that was in force. What settled it: after routes had been in force at 18, entries came
//! into force at 14 and 15 and the next routes at 22.
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

use common::opaque::{CHANGE_TIMEOUT, assert_promises, assert_unnoticed};
use common::{run, sleep_ms};
use endivedyke::Result;
use endivedyke_lab::Process;
use endivedyke_lab::opaque::{OpaqueSite, OpaqueSiteBuilder, StoreFault, run_soak};

/// For how long nothing must happen that is to happen no more, in milliseconds.
const STILL_MS: u64 = 1_500;

/// The service whose address is taken away, and the index of its one backend server.
const INTAKE: usize = 1;
const INTAKE_SERVER: usize = 2;

async fn site() -> OpaqueSite {
    let builder = OpaqueSiteBuilder::new(2).service("panel-front", 2, 4, 5);
    let builder = builder.service("study-intake", 1, 4, 5);
    builder.start().await.expect("the site starts")
}

/// Publishes idle changes of the configuration, and waits until they are in force.
async fn change_idly(site: &mut OpaqueSite, changes: usize) {
    for _ in 0..changes {
        site.add_idle_route();
        sleep_ms(250).await;
    }
    sleep_ms(1_000).await;
}

/// Waits until openers no longer reach a backend server.
async fn wait_still(site: &OpaqueSite, index: usize) {
    let until = Instant::now() + CHANGE_TIMEOUT;
    loop {
        let before = site.openers_received(index);
        sleep_ms(STILL_MS).await;
        if site.openers_received(index) == before {
            return;
        }
        assert!(
            Instant::now() < until,
            "openers go on to a service whose route is gone"
        );
    }
}

/// Waits until processes have a version of the configuration in force.
async fn wait_version(site: &OpaqueSite, version: u64, hosts: &[Ipv4Addr]) {
    let until = Instant::now() + CHANGE_TIMEOUT;
    for host in hosts {
        while site.metric(*host, "config_version").await.ok() != Some(version as f64) {
            assert!(Instant::now() < until, "{host} has another configuration");
            sleep_ms(50).await;
        }
    }
}

#[test]
fn a_configuration_confirmed_after_an_older_copy_is_in_force() {
    run(async {
        let mut site = site().await;
        let copy = site.store().snapshot();
        change_idly(&mut site, 8).await;
        site.start_callers(&[site.call_plan(INTAKE, 0, 4)])
            .expect("callers");
        site.store().restore(&copy);
        site.rewrite_lost_values();
        sleep_ms(1_000).await;
        assert!(site.openers_received(INTAKE_SERVER) > 0, "no opener came");
        site.remove_last_route();
        wait_still(&site, INTAKE_SERVER).await;
        let tally = site.finish_callers().await;
        assert_promises(&site, &tally);
    });
}

#[test]
fn changes_below_a_revision_that_the_store_has_passed_again_are_in_force() {
    run(async {
        let mut site = site().await;
        let copy = site.store().snapshot();
        change_idly(&mut site, 2).await;
        site.start_callers(&[site.call_plan(INTAKE, 0, 4)])
            .expect("callers");
        site.store().set_fault(Some(StoreFault::Busy));
        sleep_ms(500).await;
        // A watch from the revision before is not refused: the store has passed it when it answers again.
        site.store().restore(&copy);
        site.remove_last_route();
        for index in 0..3 {
            site.rewrite_entry(index);
        }
        site.store().set_fault(None);
        wait_still(&site, INTAKE_SERVER).await;
        let tally = site.finish_callers().await;
        assert_promises(&site, &tally);
    });
}

#[test]
fn a_configuration_does_not_go_back_with_the_store() {
    run(async {
        let mut site = site().await;
        site.start_callers(&[site.call_plan(INTAKE, 0, 4)])
            .expect("callers");
        let copy = site.store().snapshot();
        sleep_ms(500).await;
        site.remove_last_route();
        wait_still(&site, INTAKE_SERVER).await;
        site.store().restore(&copy);
        // The operators take their time; processes that start meanwhile learn from the others.
        site.restart_agent(0).expect("starts");
        site.restart_balancer(1).expect("starts");
        site.wait_ready().await.expect("ready");
        let restarted = [site.agent_host(0), site.balancer_host(1)];
        wait_version(&site, site.config_version(), &restarted).await;
        let before = site.openers_received(INTAKE_SERVER);
        sleep_ms(STILL_MS).await;
        assert_eq!(
            site.openers_received(INTAKE_SERVER),
            before,
            "the route came back"
        );
        site.rewrite_lost_values();
        wait_still(&site, INTAKE_SERVER).await;
    });
}

#[test]
fn a_process_that_started_on_an_older_copy_hears_of_the_newer_configuration() {
    run(async {
        let mut site = site().await;
        let hosts: Vec<Ipv4Addr> = (0..2)
            .map(|index| site.balancer_host(index))
            .chain((0..3).map(|index| site.agent_host(index)))
            .collect();
        // One of them is first among those that read, and asks nobody.
        for agent in 0..3 {
            let older = site.config_version();
            let copy = site.store().snapshot();
            change_idly(&mut site, 2).await;
            wait_version(&site, site.config_version(), &hosts).await;
            for_all_but_one_agent(&mut site, agent, Process::freeze);
            site.store()
                .reject_hosts(&others_than(&hosts, site.agent_host(agent)));
            site.store().restore(&copy);
            site.restart_agent(agent).expect("starts");
            wait_version(&site, older, &[site.agent_host(agent)]).await;
            for_all_but_one_agent(&mut site, agent, Process::thaw);
            wait_version(&site, site.config_version(), &hosts).await;
            site.store().reject_hosts(&[]);
            site.rewrite_lost_values();
            wait_version(&site, site.config_version(), &hosts).await;
        }
    });
}

fn others_than(hosts: &[Ipv4Addr], spared: Ipv4Addr) -> Vec<Ipv4Addr> {
    let others = hosts.iter().copied();
    others.filter(|host| *host != spared).collect()
}

/// Does something to every process of the site but one agent.
fn for_all_but_one_agent(
    site: &mut OpaqueSite,
    spared: usize,
    act: impl Fn(&Process) -> Result<()>,
) {
    for index in 0..2 {
        act(site.balancer(index).expect("runs")).expect("runs");
    }
    for index in (0..3).filter(|index| *index != spared) {
        act(site.agent(index).expect("runs")).expect("runs");
    }
}

/// Of two configurations in one read the metric showed the first, on both processes that read the store, while the second
/// was in force: `config_version 6` beside `value_in_force name=routes revision=2.16 version=9`.
#[test]
fn of_two_configurations_in_one_read_the_newer_one_is_shown() {
    run(async {
        let mut site = site().await;
        site.store().set_fault(Some(StoreFault::Busy));
        sleep_ms(500).await;
        site.add_idle_route();
        site.add_idle_route();
        site.store().set_fault(None);
        let hosts: Vec<Ipv4Addr> = (0..3).map(|index| site.agent_host(index)).collect();
        wait_version(&site, site.config_version(), &hosts).await;
    });
}

#[test]
fn no_caller_notices_that_the_store_is_older() {
    run(async {
        let builder = OpaqueSiteBuilder::new(2).service("panel-front", 3, 4, 5);
        let mut site = builder.start().await.expect("the site starts");
        let copy = site.store().snapshot();
        let joined = site.add_backend(0).await.expect("starts");
        site.start_agent(joined).expect("starts");
        sleep_ms(500).await;
        site.start_callers(&[site.call_plan(0, 12, 4)])
            .expect("callers");
        sleep_ms(1_000).await;
        site.store().set_fault(Some(StoreFault::Busy));
        sleep_ms(700).await;
        // The copy does not know the server that joined, which writes its entry again a second later.
        site.store().restore(&copy);
        site.store().set_fault(None);
        sleep_ms(1_000).await;
        site.rewrite_lost_values();
        sleep_ms(2_500).await;
        let tally = site.finish_callers().await;
        assert_unnoticed(&site, &tally);
    });
}

#[test]
fn what_leaves_and_what_is_evacuated_stays_so_while_the_store_is_older() {
    run(async {
        let builder = OpaqueSiteBuilder::new(2).service("panel-front", 3, 4, 5);
        let mut site = builder.start().await.expect("the site starts");
        let copy = site.store().snapshot();
        site.start_callers(&[site.call_plan(0, 0, 6)])
            .expect("callers");
        site.evacuate_zone(site.backend_zone(0));
        site.drain_backend(1);
        wait_still(&site, 0).await;
        wait_still(&site, 1).await;
        site.store().set_fault(Some(StoreFault::Busy));
        sleep_ms(700).await;
        let before = [site.openers_received(0), site.openers_received(1)];
        site.store().restore(&copy);
        site.store().set_fault(None);
        sleep_ms(1_000).await;
        site.rewrite_lost_values();
        sleep_ms(STILL_MS).await;
        assert_eq!([site.openers_received(0), site.openers_received(1)], before);
        // Nothing was lost by it: the zone is taken back as ever.
        site.take_zone_back(site.backend_zone(0));
        let until = Instant::now() + CHANGE_TIMEOUT;
        while site.openers_received(0) == before[0] {
            assert!(Instant::now() < until, "the zone was not taken back");
            sleep_ms(50).await;
        }
        let tally = site.finish_callers().await;
        assert_promises(&site, &tally);
    });
}

/// Of these seeds 4006 and 4025 showed two configurations that came in one read.
#[test]
fn soaks_whose_store_comes_back_older_break_no_promise() {
    for (seed, seconds) in [(4_000, 4), (4_006, 8), (4_025, 8)] {
        let result = run(run_soak(seed, seconds, None));
        assert!(result.is_ok(), "{result:?}");
    }
}
