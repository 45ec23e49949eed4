//! Callers of a site on which agents and backend servers drain, crash, freeze, fail or shed load.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{
    assert_no_corruption, assert_no_visible_failure, counts_only, load, run, site, sleep_ms,
};
use endivedyke_lab::{Caller, CallerProcess, Site};
use http::Method;

#[test]
fn a_graceful_stop_of_an_agent_breaks_no_request_and_no_feed() {
    run(async {
        let mut site = site(3).await;
        let callers = CallerProcess::start(&site, 0, &load(15, 10, 5)).expect("callers");
        sleep_ms(1_500).await;
        let host = site.agent_host(0);
        let before = site.metric(host, "flows_open").await.expect("a metric");
        assert!(before > 0.0, "the agent has flows before it is stopped");
        site.agent(0)
            .expect("runs")
            .terminate()
            .expect("gets the signal");
        sleep_ms(500).await;
        let accepted = site
            .metric(host, "flows_accepted_total")
            .await
            .expect("still drains");
        let stats = callers.finish(&site).await.expect("finishes");
        assert_no_visible_failure(&stats);
        let agent = site.agent(0).expect("runs");
        assert_eq!(
            agent.wait(Duration::from_secs(20)).await,
            Ok(true),
            "exits with 0"
        );
        assert!(accepted >= before);
    });
}

#[test]
fn a_host_that_is_leaving_in_the_host_list_gets_no_new_flow() {
    run(async {
        let site = site(2).await;
        let leaving = site.agent_host(0);
        let revision = site
            .publish("hosts", &site.host_list_text(&[leaving]))
            .await
            .expect("published");
        site.wait_revision(&site.daemon_hosts(), revision)
            .await
            .expect("in force");
        sleep_ms(200).await;
        let callers = CallerProcess::start(&site, 0, &load(5, 5, 2)).expect("callers");
        let stats = callers.finish(&site).await.expect("finishes");
        assert_no_visible_failure(&stats);
        let accepted = site
            .metric(leaving, "flows_accepted_total")
            .await
            .expect("a metric");
        assert_eq!(accepted, 0.0, "other agents take the openers");
    });
}

#[test]
fn killing_an_agent_neither_duplicates_nor_loses_a_claim() {
    run(async {
        let mut site = site(3).await;
        let callers = CallerProcess::start(&site, 0, &load(9, 20, 6)).expect("callers");
        sleep_ms(1_500).await;
        let host = site.agent_host(0);
        let open_before = site.metric(host, "flows_open").await.expect("a metric");
        site.agent(0).expect("runs").kill().expect("is killed");
        sleep_ms(1_500).await;
        site.start_agent(0).expect("starts again");
        let stats = callers.finish(&site).await.expect("finishes");
        assert_no_corruption(&stats);
        let counts = counts_only(&stats);
        assert!(
            stats.flows_broken as f64 <= open_before,
            "only flows of the killed agent break: {counts:?}"
        );
        let missing = stats.requests - stats.answered;
        assert!(
            missing <= stats.unknown + stats.feeds_broken,
            "all other requests are answered: {counts:?}"
        );
    });
}

#[test]
fn a_frozen_agent_executes_no_claim_twice_after_it_resumes() {
    run(async {
        let mut site = site(3).await;
        let callers = CallerProcess::start(&site, 0, &load(0, 20, 9)).expect("callers");
        sleep_ms(1_000).await;
        site.agent(1).expect("runs").freeze().expect("frozen");
        sleep_ms(3_000).await;
        site.agent(1).expect("runs").thaw().expect("thawed");
        let stats = callers.finish(&site).await.expect("finishes");
        assert_no_corruption(&stats);
        let pauses = site
            .metric(site.agent_host(1), "pauses_total")
            .await
            .expect("a metric");
        assert!(pauses >= 1.0, "the agent detects its pause");
    });
}

#[test]
fn a_fast_failing_backend_server_does_not_attract_requests() {
    run(async {
        let site = site(3).await;
        site.backend_command(0, 0, "mode/fail-fast")
            .await
            .expect("accepts the command");
        let callers = CallerProcess::start(&site, 0, &load(0, 12, 6)).expect("callers");
        let stats = callers.finish(&site).await.expect("finishes");
        assert_eq!((stats.doubled, stats.lost), (0, 0));
        // Ten failures until it counts as failing, the requests in flight meanwhile, and one probe a
        // second.
        let failed = (stats.wrong, stats.requests);
        println!("{} of {} requests failed", failed.0, failed.1);
        assert!(stats.wrong <= 30, "{:?}", counts_only(&stats));
        let host = site.agent_host(0);
        let moved = site
            .metric(host, "requests_moved_total")
            .await
            .expect("a metric");
        assert!(moved > 0.0, "its agent moves requests to peers");
    });
}

#[test]
fn every_request_is_answered_while_a_backend_server_sheds_load() {
    run(async {
        let site = site(3).await;
        site.backend_command(0, 1, "mode/shed")
            .await
            .expect("accepts the command");
        let callers = CallerProcess::start(&site, 0, &load(5, 12, 4)).expect("callers");
        sleep_ms(2_000).await;
        site.backend_command(0, 1, "mode/normal")
            .await
            .expect("accepts the command");
        let stats = callers.finish(&site).await.expect("finishes");
        assert_no_visible_failure(&stats);
    });
}

#[test]
fn slots_are_not_exceeded_and_late_responses_go_to_their_own_callers() {
    run(async {
        let site = site(2).await;
        site.backend_command(0, 0, "mode/slow")
            .await
            .expect("accepts the command");
        let callers = CallerProcess::start(&site, 0, &load(0, 60, 4)).expect("callers");
        let stats = callers.finish(&site).await.expect("finishes");
        assert_no_visible_failure(&stats);
        for host in 0..2 {
            let counts = site
                .backend_command(0, host, "counts")
                .await
                .expect("answers");
            let counts: serde_json::Value = serde_json::from_str(&counts).expect("JSON");
            assert!(
                counts["most_running"].as_u64() <= counts["slots"].as_u64(),
                "{counts}"
            );
        }
    });
}

#[test]
fn every_request_is_answered_while_a_backend_server_is_cold() {
    run(async {
        let site = site(3).await;
        site.backend_command(0, 2, "mode/cold")
            .await
            .expect("accepts the command");
        let callers = CallerProcess::start(&site, 0, &load(5, 12, 4)).expect("callers");
        assert_no_visible_failure(&callers.finish(&site).await.expect("finishes"));
    });
}

#[test]
fn the_request_of_a_caller_that_leaves_is_cancelled_at_the_backend_server() {
    run(async {
        let site = site(1).await;
        site.backend_command(0, 0, "mode/slow")
            .await
            .expect("accepts the command");
        let mut caller = Caller::new(site.service_address(0)).await.expect("caller");
        caller.connect().await.expect("a flow");
        let empty = Bytes::new();
        let call = caller.call(&Method::GET, "/status/left", None, &empty);
        let result = compio::time::timeout(Duration::from_millis(20), call).await;
        assert!(result.is_err(), "the caller leaves before the response");
        drop(caller);
        let cancelled = async |site: &Site| {
            let counts = site
                .backend_command(0, 0, "counts")
                .await
                .unwrap_or_default();
            counts.contains("\"cancelled\":1")
        };
        site.wait_until("the cancellation", cancelled)
            .await
            .expect("counted");
    });
}
