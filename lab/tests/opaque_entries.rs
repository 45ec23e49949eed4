//! Opaque flows while entries announce a restarted backend server or are unusable.

mod common;

use common::opaque::{assert_no_visible_failure, assert_old_flows_are_reset, site};
use common::{run, sleep_ms};
use endivedyke_lab::opaque::OpaqueSiteBuilder;

#[test]
fn the_old_flows_of_a_backend_server_restarted_under_its_id_are_reset() {
    run(assert_old_flows_are_reset(async |site, id| {
        site.start_backend_with_id(id, 0, 0)
            .await
            .expect("it starts");
    }));
}

#[test]
fn no_caller_is_affected_by_entries_of_another_program() {
    run(async {
        let mut site = site(3).await;
        site.start_callers(&[site.call_plan(0, 10, 4)])
            .expect("callers start");
        sleep_ms(500).await;
        site.overwrite_entry(0);
        site.write_foreign_entry(1);
        site.store().put("servers/a&b=c #", &serde_json::json!(7));
        sleep_ms(700).await;
        let host = site.balancer_host(0);
        let unusable = site.metric(host, "entries_unusable").await;
        assert!(unusable.expect("the metric") >= 1.0);
        site.rewrite_entry(0);
        sleep_ms(1_500).await;
        let tally = site.finish_callers().await;
        assert_no_visible_failure(&site, &tally);
    });
}

#[test]
fn a_site_starts_and_reads_changes_despite_large_entries_of_another_program() {
    run(async {
        let builder = OpaqueSiteBuilder::new(2).service("panel-front", 3, 4, 5);
        let mut site = builder.start_stand_ins().await.expect("addresses");
        let large = serde_json::json!("x".repeat(700_000));
        for index in 0..6 {
            site.store()
                .put(&format!("servers/other {index} &%"), &large);
        }
        for index in 0..2 {
            site.start_balancer(index).expect("it starts");
        }
        for index in 0..3 {
            site.start_agent(index).expect("it starts");
        }
        site.wait_ready().await.expect("the site becomes ready");
        site.start_callers(&[site.call_plan(0, 6, 3)])
            .expect("callers start");
        for index in 0..6 {
            site.store().put(&format!("servers/more {index}"), &large);
        }
        site.drain_backend(0);
        sleep_ms(3_000).await;
        assert_eq!(site.open_flows(0), 0, "the change was not read");
        let tally = site.finish_callers().await;
        assert_no_visible_failure(&site, &tally);
    });
}
