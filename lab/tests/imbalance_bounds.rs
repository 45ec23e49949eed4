//! The imbalance with fixed seeds stays below the bounds in `bounds.txt`, and in the steady case below
//! half of that with plain hashing.

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
        let deflect = row(&rows, "steady", Policy::Deflect);
        let name = format!("imbalance_steady_{targets}_targets_{lifetime_s}_s");
        assert!(deflect.worst * 100.0 <= bound(&name), "{name}: {deflect:?}");
        let hash = row(&rows, "steady", Policy::Hash);
        assert!(
            deflect.worst < hash.worst / 2.0,
            "{deflect:?} against {hash:?}"
        );
    }
    let rows = run_imbalance(7, 60, 1_000, 1);
    let deflect = row(&rows, "weight", Policy::Deflect);
    let name = "imbalance_after_edit_7_targets_60_s";
    assert!(deflect.end * 100.0 <= bound(name), "{name}: {deflect:?}");
}

#[test]
fn a_burst_of_openers_is_balanced_despite_old_load_reports() {
    let rows = run_imbalance(7, 600, 1_000, 1);
    let deflect = row(&rows, "all flows lost", Policy::Deflect);
    let name = "imbalance_reopen_7_targets_600_s";
    assert!(deflect.worst * 100.0 <= bound(name), "{name}: {deflect:?}");
}
