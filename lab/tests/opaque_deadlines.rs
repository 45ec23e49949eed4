//! Opaque flows whose callers have time for only one attempt, with real processes.

mod common;

use std::time::Instant;

use common::opaque::{CHANGE_TIMEOUT, assert_no_corruption, busiest_backend, counts_text};
use common::{run, sleep_ms};
use endivedyke_lab::opaque::{OpaqueSite, OpaqueSiteBuilder, run_soak};

/// The latency objective and the timeout of callers that have time for only one attempt, in
/// milliseconds.
const DEADLINE_MS: (u64, u64) = (300, 1_500);

async fn site_with_deadline() -> OpaqueSite {
    let (objective_ms, timeout_ms) = DEADLINE_MS;
    let builder = OpaqueSiteBuilder::new(3).service("panel-front", 3, 4, 5);
    let builder = builder.deadline(objective_ms, timeout_ms);
    builder.start().await.expect("the site starts")
}

#[test]
fn the_deadlines_of_the_configuration_are_in_force_in_every_process() {
    let folder = tempfile::tempdir().expect("a folder");
    run(async {
        let (objective_ms, timeout_ms) = DEADLINE_MS;
        let builder = OpaqueSiteBuilder::new(2).service("panel-front", 2, 4, 5);
        let builder = builder.deadline(objective_ms, timeout_ms);
        let site = builder.log_to_folder(folder.path()).start().await;
        let mut site = site.expect("the site starts");
        // At the start, values come into force together without a log line for each. This change
        // writes the configuration again.
        site.add_idle_route();
        let balancers = [0, 1].map(|index| site.balancer_host(index));
        let agents = [0, 1].map(|index| site.agent_host(index));
        for host in balancers.into_iter().chain(agents) {
            let path = folder.path().join(format!("{host}.log"));
            let until = Instant::now() + CHANGE_TIMEOUT;
            let mut log = String::new();
            while !log.contains("event=value_in_force name=deadlines ") {
                assert!(Instant::now() < until, "{host}: {log}");
                sleep_ms(50).await;
                log = std::fs::read_to_string(&path).expect("log lines");
            }
        }
    });
}

#[test]
fn all_requests_of_a_rush_of_callers_are_answered() {
    run(async {
        let mut site = site_with_deadline().await;
        site.start_callers(&[site.call_plan(0, 4, 4)])
            .expect("callers start");
        sleep_ms(1_500).await;
        let before = site.tally().requests;
        site.start_rush(4);
        sleep_ms(1_500).await;
        site.end_rush();
        let rush = site.tally().requests - before;
        assert!(rush > 2 * before, "{rush} requests after {before}");
        sleep_ms(500).await;
        let after = site.tally().requests;
        sleep_ms(1_500).await;
        let calm = site.tally().requests - after;
        assert!(calm < rush / 2, "{calm} requests after a rush of {rush}");
        let tally = site.finish_callers().await;
        assert_no_corruption(&site, &tally);
        let counts = (tally.answered, tally.wrongly_reset);
        assert_eq!(counts, (tally.requests, 0), "{}", counts_text(&tally));
    });
}

#[test]
fn all_requests_at_a_slow_backend_server_are_answered_late() {
    run(async {
        let mut site = site_with_deadline().await;
        site.start_callers(&[site.call_plan(0, 12, 0)])
            .expect("callers start");
        sleep_ms(800).await;
        site.slow_backend(busiest_backend(&site, 3), 40);
        sleep_ms(1_500).await;
        let tally = site.finish_callers().await;
        assert_no_corruption(&site, &tally);
        assert!(tally.slowest_ms >= 200, "{}", counts_text(&tally));
        let counts = (tally.answered, tally.wrongly_reset);
        assert_eq!(counts, (tally.requests, 0), "{}", counts_text(&tally));
    });
}

#[test]
fn requests_at_a_hanging_backend_server_fail_in_time_and_no_claim_runs_twice() {
    run(async {
        let mut site = site_with_deadline().await;
        site.start_callers(&[site.call_plan(0, 12, 4)])
            .expect("callers start");
        sleep_ms(800).await;
        let busiest = busiest_backend(&site, 3);
        site.hang_backend(busiest);
        sleep_ms(3_000).await;
        site.resume_normal_work(busiest);
        sleep_ms(2_500).await;
        let before = site.tally();
        assert!(before.failed > 0, "{}", counts_text(&before));
        sleep_ms(1_500).await;
        let tally = site.finish_callers().await;
        assert_no_corruption(&site, &tally);
        assert_eq!(tally.wrongly_reset, 0, "{}", counts_text(&tally));
        assert_eq!(tally.failed, before.failed, "{}", counts_text(&tally));
        let ended = tally.answered + tally.failed;
        assert_eq!(ended, tally.requests, "{}", counts_text(&tally));
    });
}

#[test]
fn a_soak_with_time_for_one_attempt_breaks_no_promise() {
    let result = run(run_soak(5_000, 4, None));
    assert!(result.is_ok(), "{result:?}");
}
