//! Compares the claims that callers saw answered with the journals of the backend servers.

use crate::caller_stats::CallerStats;

/// Counts doubled and lost claims into `tally`.
pub(crate) fn count_claim_errors(tally: &mut CallerStats, journal: &mut [String]) {
    journal.sort_unstable();
    tally.doubled += journal.windows(2).filter(|pair| pair[0] == pair[1]).count() as u64;
    let lost = |claim: &&String| journal.binary_search(claim).is_err();
    tally.lost += tally.claims.iter().filter(lost).count() as u64;
}
