//! The owner of an opener, by weighted rendezvous hashing over the table.
//!
//! The owner depends on the opener and the table alone, so that two balancers that each receive one
//! datagram of an opener choose the same owner without communicating; see docs/DESIGN.md, "Owner of
//! an opener".

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use crate::config::hash;
use crate::config::table::{Table, TableRow};

/// The owner of an opener and the target that takes it if the owner can't.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement<'a> {
    /// The owner.
    pub owner: &'a TableRow,
    /// The target with the second best score, or `None` if only one row is eligible.
    pub runner_up: Option<&'a TableRow>,
}

/// Returns the two targets with the best scores for an opener among the eligible rows.
///
/// Returns `None` if no eligible row has a weight above 0.
pub fn place_opener(
    table: &Table,
    opener_hash: u64,
    eligible: impl Fn(&TableRow) -> bool,
) -> Option<Placement<'_>> {
    let mut owner: Option<(f64, &TableRow)> = None;
    let mut runner_up: Option<(f64, &TableRow)> = None;
    for row in table.rows.iter().filter(|row| row.weight > 0) {
        if !eligible(row) {
            continue;
        }
        let scored = Some((score(opener_hash, row), row));
        if is_better(scored, owner) {
            runner_up = owner;
            owner = scored;
        } else if is_better(scored, runner_up) {
            runner_up = scored;
        }
    }
    owner.map(|(_, owner)| Placement {
        owner,
        runner_up: runner_up.map(|(_, row)| row),
    })
}

/// Returns the eligible rows, best score first.
pub fn rank_targets(
    table: &Table,
    opener_hash: u64,
    eligible: impl Fn(&TableRow) -> bool,
) -> Vec<&TableRow> {
    rank_by(table, |row| eligible(row).then(|| score(opener_hash, row)))
}

/// Returns the eligible rows, best score first, where the score uses a row's slots instead of its
/// weight.
///
/// Open flows were placed in this order; a target that takes no new flows now still holds the flows
/// placed on it then.
pub(crate) fn rank_targets_by_slots(
    table: &Table,
    opener_hash: u64,
    eligible: impl Fn(&TableRow) -> bool,
) -> Vec<&TableRow> {
    rank_by(table, |row| {
        eligible(row).then(|| weighted_score(opener_hash, row, row.slots))
    })
}

/// Returns the rows that have a score, best first.
fn rank_by(table: &Table, score: impl Fn(&TableRow) -> Option<f64>) -> Vec<&TableRow> {
    let rows = table.rows.iter();
    let mut scored: Vec<(f64, &TableRow)> =
        rows.filter_map(|row| Some((score(row)?, row))).collect();
    scored.sort_by(|(left, _), (right, _)| right.total_cmp(left));
    scored.into_iter().map(|(_, row)| row).collect()
}

/// Returns the `count` hosts with the best scores for an opener.
///
/// This is the order of [`rank_targets`] where all targets have the same weight and
/// [`TableRow::target_hash`] is the hash of the host.
pub(crate) fn top_ranked_hosts(
    mut hosts: Vec<Ipv4Addr>,
    opener_hash: u64,
    count: usize,
) -> Vec<Ipv4Addr> {
    let rank = |host: &Ipv4Addr| (Reverse(hash::host_rank(opener_hash, *host)), *host);
    if count < hosts.len() {
        hosts.select_nth_unstable_by_key(count, rank);
        hosts.truncate(count);
    }
    hosts.sort_unstable_by_key(rank);
    hosts
}

fn is_better(challenger: Option<(f64, &TableRow)>, current: Option<(f64, &TableRow)>) -> bool {
    match (challenger, current) {
        (Some((score, _)), Some((best, _))) => score > best,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// Scores a row so that the highest score wins with a probability proportional to its weight.
fn score(opener_hash: u64, row: &TableRow) -> f64 {
    weighted_score(opener_hash, row, row.weight)
}

fn weighted_score(opener_hash: u64, row: &TableRow, weight: u32) -> f64 {
    const SCALE: f64 = 1.0 / (1u64 << 53) as f64;
    let bits = hash::pair_hash(opener_hash, row.target_hash) >> 11;
    let uniform = (bits as f64 + 0.5) * SCALE;
    -f64::from(weight) / uniform.ln()
}
