//! Imbalance under fixed seeds stays below the bounds in `bounds.txt`, and below the naive version.

mod common;

use common::bound;
use endivedyke_lab::{ImbalanceRow, Policy, run_imbalance};

fn row(rows: &[ImbalanceRow], case: &str, policy: Policy) -> ImbalanceRow {
    let found = rows
        .iter()
        .find(|row| row.case.starts_with(case) && row.policy == policy);
    found.expect("a row").clone()
}

#[test]
fn imbalance_stays_below_its_bounds() {
    for (targets, lifetime_s) in [(7, 60), (3, 60), (7, 600)] {
        let rows = run_imbalance(targets, lifetime_s, 1_000, 1);
        let ours = row(&rows, "steady", Policy::Deflect);
        let name = format!("imbalance_steady_{targets}_targets_{lifetime_s}_s");
        assert!(ours.worst * 100.0 <= bound(&name), "{name}: {ours:?}");
        let naive = row(&rows, "steady", Policy::Hash);
        assert!(ours.worst < naive.worst / 2.0, "{ours:?} against {naive:?}");
    }
    let rows = run_imbalance(7, 60, 1_000, 1);
    let ours = row(&rows, "weight", Policy::Deflect);
    let name = "imbalance_after_edit_7_targets_60_s";
    assert!(ours.end * 100.0 <= bound(name), "{name}: {ours:?}");
}

#[test]
fn a_rush_of_openers_is_spread_though_reports_are_old() {
    let rows = run_imbalance(7, 600, 1_000, 1);
    let ours = row(&rows, "all flows lost", Policy::Deflect);
    let name = "imbalance_reopen_7_targets_600_s";
    assert!(ours.worst * 100.0 <= bound(name), "{name}: {ours:?}");
}
