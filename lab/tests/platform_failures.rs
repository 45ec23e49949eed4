//! A site whose configuration service is silent, rolled back or restored from an older copy, and
//! concurrent changes by operators.

mod common;

use common::{assert_no_visible_failure, load, run, site, sleep_ms};
use endivedyke_lab::{CallerProcess, Site};

/// Returns the revision in force at each daemon.
async fn revisions(site: &Site) -> Vec<u64> {
    let mut held = Vec::new();
    for host in site.daemon_hosts() {
        held.push(
            site.metric(host, "config_revision")
                .await
                .expect("a metric") as u64,
        );
    }
    held
}

#[test]
fn daemons_keep_the_newest_revision_and_restarted_ones_get_it_while_the_platform_fails() {
    run(async {
        let mut site = site(2).await;
        let newest = site.set_weights(0, &[300, 100]).await.expect("published");
        site.wait_revision(&site.daemon_hosts(), newest)
            .await
            .expect("in force");
        for mode in ["silent", "rolled-back", "silent"] {
            site.platform_command("POST", &format!("mode/{mode}"), "")
                .await
                .expect("accepts the command");
            let callers = CallerProcess::start(&site, 0, &load(5, 5, 4)).expect("callers");
            site.balancer(0).expect("runs").kill().expect("is killed");
            site.start_balancer(0).expect("starts");
            let all = site.daemon_hosts();
            site.wait_revision(&all, newest)
                .await
                .expect("the newest revision, from its peers");
            let stats = callers.finish(&site).await.expect("finishes");
            assert_no_visible_failure(&stats);
            assert_eq!(revisions(&site).await, vec![newest; 5], "while {mode}");
        }
        site.platform_command("POST", "mode/normal", "")
            .await
            .expect("accepts the command");
        let next = site.set_weights(0, &[100, 100]).await.expect("published");
        site.wait_revision(&site.daemon_hosts(), next)
            .await
            .expect("changes take effect again");
    });
}

#[test]
fn changes_take_effect_after_the_platform_is_restored_from_an_older_copy() {
    run(async {
        let site = site(2).await;
        let mut newest = 0;
        for weight in 1..=6 {
            newest = site
                .set_weights(0, &[100 * weight, 100])
                .await
                .expect("published");
        }
        site.wait_revision(&site.daemon_hosts(), newest)
            .await
            .expect("in force");
        site.platform_command("POST", "restore", "4")
            .await
            .expect("accepts the command");
        let next = site.set_weights(0, &[100, 700]).await.expect("published");
        assert!(next < newest, "the service assigns older revisions again");
        let in_force = async |site: &Site| {
            let mut behind = 0;
            for host in site.daemon_hosts() {
                let held = site.metric(host, "config_revision").await.unwrap_or(0.0);
                let era = site.metric(host, "platform_era").await.unwrap_or(0.0);
                behind += usize::from((era as u64, held as u64) != (1, next));
            }
            behind == 0
        };
        site.wait_until("the change after the restore", in_force)
            .await
            .expect("in force");
    });
}

#[test]
fn concurrent_changes_converge_and_an_invalid_one_is_rejected() {
    run(async {
        let site = site(2).await;
        let invalid = site
            .table_text(0, &[100, 100])
            .replace(",7,2000", ",0,2000");
        site.set_weights(0, &[200, 100]).await.expect("published");
        site.publish("table/queue-desk", &invalid)
            .await
            .expect("published");
        let last = site.set_weights(0, &[100, 400]).await.expect("published");
        site.wait_revision(&site.daemon_hosts(), last)
            .await
            .expect("in force");
        site.publish("table/queue-desk", &invalid)
            .await
            .expect("published");
        let rejected = async |site: &Site| {
            let mut rejected = 0.0;
            for host in site.daemon_hosts() {
                rejected += site
                    .metric(host, "values_rejected_total")
                    .await
                    .unwrap_or(0.0);
            }
            rejected > 0.0
        };
        site.wait_until("the rejection", rejected)
            .await
            .expect("counted");
        sleep_ms(1_500).await;
        assert_eq!(
            revisions(&site).await,
            vec![last; 5],
            "the valid table stays in force"
        );
        let callers = CallerProcess::start(&site, 0, &load(5, 5, 1)).expect("callers");
        assert_no_visible_failure(&callers.finish(&site).await.expect("finishes"));
    });
}
