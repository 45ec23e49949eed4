//! Compares the claims that were answered with the claims that backend servers executed.

use crate::caller_stats::CallerStats;

/// Adds to `stats` the number of claims that were executed more than once, and of answered claims
/// that were not executed.
pub(crate) fn count_claim_errors(stats: &mut CallerStats, executed: &mut [String]) {
    executed.sort_unstable();
    stats.doubled += executed
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .count() as u64;
    let lost = |claim: &&String| executed.binary_search(claim).is_err();
    stats.lost += stats.claims.iter().filter(lost).count() as u64;
}
