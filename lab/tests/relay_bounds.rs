//! A change reaches all daemons within the bounds in `bounds.txt`, with message loss, dead daemons and
//! a partition between regions.

mod common;

use common::bound;
use endivedyke_lab::{RelayPlan, run_relay};

fn plan(loss_rate: f64, dead_share: f64) -> RelayPlan {
    RelayPlan {
        daemons: 1_200,
        loss_rate,
        dead_share,
        is_partitioned: false,
        seed: 1,
    }
}

#[test]
fn a_change_reaches_all_daemons_in_time() {
    for (name, loss_rate, dead_share) in [
        ("calm", 0.0, 0.0),
        ("lossy", 0.2, 0.0),
        ("dying", 0.05, 0.2),
    ] {
        let outcome = run_relay(&plan(loss_rate, dead_share));
        println!("{name}: {outcome:?}");
        assert!(
            outcome.all_ms as f64 <= bound(&format!("relay_all_ms_{name}")),
            "{outcome:?}"
        );
        assert!(
            outcome.pushes_per_daemon <= bound("relay_tells_each"),
            "{outcome:?}"
        );
        let reads = outcome.platform_reads as f64;
        assert!(reads <= bound("relay_platform_reads"), "{outcome:?}");
    }
}

#[test]
fn a_partition_between_regions_delays_no_daemon() {
    // Each region has its own readers of the platform, so that neither depends on the other.
    let partitioned = RelayPlan {
        is_partitioned: true,
        ..plan(0.02, 0.02)
    };
    let outcome = run_relay(&partitioned);
    assert!(
        outcome.all_ms as f64 <= bound("relay_all_ms_cut"),
        "{outcome:?}"
    );
}
