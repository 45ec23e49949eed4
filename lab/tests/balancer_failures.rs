//! Callers of a site on which balancers crash, join or have different tables, or on which datagrams
//! are lost, duplicated and reordered.

mod common;

use common::{assert_no_visible_failure, load, run, site, sleep_ms};
use endivedyke_lab::CallerProcess;

#[test]
fn callers_see_no_failure_when_a_balancer_is_killed_and_started_again() {
    run(async {
        let mut site = site(3).await;
        let callers = CallerProcess::start(&site, 0, &load(20, 10, 5)).expect("callers");
        sleep_ms(1_000).await;
        site.balancer(1).expect("runs").kill().expect("is killed");
        sleep_ms(1_000).await;
        site.start_balancer(1).expect("starts again");
        let stats = callers.finish(&site).await.expect("finishes");
        assert_no_visible_failure(&stats);
    });
}

#[test]
fn callers_see_no_failure_with_lost_duplicate_and_reordered_datagrams() {
    run(async {
        let site = site(3).await;
        site.fabric_command("faults/30/30/100")
            .await
            .expect("accepts the command");
        let callers = CallerProcess::start(&site, 0, &load(10, 10, 4)).expect("callers");
        let stats = callers.finish(&site).await.expect("finishes");
        assert_no_visible_failure(&stats);
    });
}

#[test]
fn callers_see_no_failure_while_balancers_have_different_tables() {
    run(async {
        let mut site = site(3).await;
        // A frozen balancer misses the change, and routes openers by the old table after it resumes.
        site.balancer(0).expect("runs").freeze().expect("frozen");
        let revision = site
            .set_weights(0, &[0, 100, 500])
            .await
            .expect("published");
        let others = [site.balancer_host(1), site.balancer_host(2)];
        site.wait_revision(&others, revision)
            .await
            .expect("in force");
        site.balancer(0).expect("runs").thaw().expect("thawed");
        let callers = CallerProcess::start(&site, 0, &load(20, 10, 3)).expect("callers");
        let stats = callers.finish(&site).await.expect("finishes");
        assert_no_visible_failure(&stats);
        let all = site.daemon_hosts();
        site.wait_revision(&all, revision)
            .await
            .expect("the resumed balancer has the new table");
    });
}
