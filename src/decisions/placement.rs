//! Which target owns an opener: weighted rendezvous hashing over the table.
//!
//! The choice depends on the opener and the table alone, so that two balancers that each see one
//! datagram of an opener agree without talking; see docs/DESIGN.md, "Owner of an opener".

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use crate::config::hash;
use crate::config::table::{Table, TableRow};

/// The owner of an opener and the target that takes it when the owner can't.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidates<'a> {
    /// The owner.
    pub first: &'a TableRow,
    /// The runner-up, absent where the service has one target.
    pub second: Option<&'a TableRow>,
}

/// Draws the two best targets for an opener among rows that `eligible` lets pass.
///
/// Returns `None` where no eligible row has a weight above 0.
pub fn candidates(
    table: &Table,
    opener_hash: u64,
    eligible: impl Fn(&TableRow) -> bool,
) -> Option<Candidates<'_>> {
    let mut first: Option<(f64, &TableRow)> = None;
    let mut second: Option<(f64, &TableRow)> = None;
    for row in table.rows.iter().filter(|row| row.weight > 0) {
        if !eligible(row) {
            continue;
        }
        let scored = Some((score(opener_hash, row), row));
        if beats(scored, first) {
            second = first;
            first = scored;
        } else if beats(scored, second) {
            second = scored;
        }
    }
    first.map(|(_, first)| Candidates {
        first,
        second: second.map(|(_, row)| row),
    })
}

/// Returns all rows that `eligible` lets pass, best first.
pub fn ranked(
    table: &Table,
    opener_hash: u64,
    eligible: impl Fn(&TableRow) -> bool,
) -> Vec<&TableRow> {
    ranked_by(table, |row| eligible(row).then(|| score(opener_hash, row)))
}

/// Returns all rows that `eligible` lets pass in the order in which they were ranked while each took flows
/// by its slots, best first.
///
/// Open flows were placed in that order; one that takes no new flow now holds those of then.
pub(crate) fn ranked_by_slots(
    table: &Table,
    opener_hash: u64,
    eligible: impl Fn(&TableRow) -> bool,
) -> Vec<&TableRow> {
    ranked_by(table, |row| {
        eligible(row).then(|| weighted_score(opener_hash, row, row.slots))
    })
}

/// Returns the rows that have a score, best first.
fn ranked_by(table: &Table, score: impl Fn(&TableRow) -> Option<f64>) -> Vec<&TableRow> {
    let rows = table.rows.iter();
    let mut scored: Vec<(f64, &TableRow)> =
        rows.filter_map(|row| Some((score(row)?, row))).collect();
    scored.sort_by(|(left, _), (right, _)| right.total_cmp(left));
    scored.into_iter().map(|(_, row)| row).collect()
}

/// Returns the `count` hosts that come first for an opener where their targets weigh the same and
/// [`TableRow::target_hash`] is the hash of the host.
pub(crate) fn first_hosts(
    mut hosts: Vec<Ipv4Addr>,
    opener_hash: u64,
    count: usize,
) -> Vec<Ipv4Addr> {
    let place = |host: &Ipv4Addr| (Reverse(hash::host_rank(opener_hash, *host)), *host);
    if count < hosts.len() {
        hosts.select_nth_unstable_by_key(count, place);
        hosts.truncate(count);
    }
    hosts.sort_unstable_by_key(place);
    hosts
}

fn beats(challenger: Option<(f64, &TableRow)>, holder: Option<(f64, &TableRow)>) -> bool {
    match (challenger, holder) {
        (Some((score, _)), Some((held, _))) => score > held,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// Scores a row so that the greatest score wins with a probability proportional to its weight.
fn score(opener_hash: u64, row: &TableRow) -> f64 {
    weighted_score(opener_hash, row, row.weight)
}

fn weighted_score(opener_hash: u64, row: &TableRow, weight: u32) -> f64 {
    const SCALE: f64 = 1.0 / (1u64 << 53) as f64;
    let bits = hash::pair_hash(opener_hash, row.target_hash) >> 11;
    let uniform = (bits as f64 + 0.5) * SCALE;
    -f64::from(weight) / uniform.ln()
}
