//! Balancers restart, die, join and disagree; datagrams are lost, doubled and reordered.

mod common;

use common::{assert_no_visible_failure, load, run, site, sleep_ms};
use endivedyke_lab::CallerProcess;

#[test]
fn callers_notice_no_killed_and_joining_balancer() {
    run(async {
        let mut site = site(3).await;
        let callers = CallerProcess::start(&site, 0, &load(20, 10, 5)).expect("callers");
        sleep_ms(1_000).await;
        site.balancer(1).expect("runs").kill().expect("dies");
        sleep_ms(1_000).await;
        site.start_balancer(1).expect("joins");
        let tally = callers.finish(&site).await.expect("ends");
        assert_no_visible_failure(&tally);
    });
}

#[test]
fn callers_notice_no_lost_doubled_and_reordered_datagrams() {
    run(async {
        let site = site(3).await;
        site.fabric_command("faults/30/30/100")
            .await
            .expect("obeys");
        let callers = CallerProcess::start(&site, 0, &load(10, 10, 4)).expect("callers");
        let tally = callers.finish(&site).await.expect("ends");
        assert_no_visible_failure(&tally);
    });
}

#[test]
fn callers_notice_no_balancers_that_disagree_on_the_table() {
    run(async {
        let mut site = site(3).await;
        // A frozen balancer misses the edit and, thawed, still steers openers by the old table.
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
        let tally = callers.finish(&site).await.expect("ends");
        assert_no_visible_failure(&tally);
        let all = site.daemon_hosts();
        site.wait_revision(&all, revision)
            .await
            .expect("the thawed one is level again");
    });
}
