//! Failure detection by timeouts: the hosts that this process suspects to have failed.
//!
//! A suspicion expires soon and ends with the first answer.

use std::net::Ipv4Addr;

/// How long a suspicion lasts without a new timeout or refused connection, in milliseconds.
pub const SUSPICION_MS: u64 = 2_000;
/// How long sent packets may go unanswered before their receiver is suspected, in milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 400;

#[derive(Debug, Clone, Copy)]
struct HostRecord {
    host: Ipv4Addr,
    unanswered_since_ms: Option<u64>,
    suspected_until_ms: u64,
}

/// The hosts that one process suspects.
///
/// Suspicions are not shared with other processes, so that a wrong one has little effect.
#[derive(Debug, Default)]
pub struct Suspicion {
    records: Vec<HostRecord>,
}

impl Suspicion {
    fn record_mut(&mut self, host: Ipv4Addr) -> &mut HostRecord {
        let found = self
            .records
            .binary_search_by_key(&host, |record| record.host);
        let index = found.unwrap_or_else(|index| {
            self.records.insert(
                index,
                HostRecord {
                    host,
                    unanswered_since_ms: None,
                    suspected_until_ms: 0,
                },
            );
            index
        });
        &mut self.records[index]
    }

    /// Records that a packet was sent that the host should answer.
    pub fn record_sent(&mut self, host: Ipv4Addr, now_ms: u64) {
        let record = self.record_mut(host);
        let since_ms = *record.unanswered_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) > ANSWER_TIMEOUT_MS {
            record.suspected_until_ms = now_ms + SUSPICION_MS;
            record.unanswered_since_ms = None;
        }
    }

    /// Records an answer of the host, which ends its suspicion.
    pub fn record_answer(&mut self, host: Ipv4Addr) {
        let found = self
            .records
            .binary_search_by_key(&host, |record| record.host);
        if let Ok(index) = found {
            self.records[index].unanswered_since_ms = None;
            self.records[index].suspected_until_ms = 0;
        }
    }

    /// Suspects the host at once, as after a refused connection.
    pub fn suspect(&mut self, host: Ipv4Addr, now_ms: u64) {
        self.record_mut(host).suspected_until_ms = now_ms + SUSPICION_MS;
    }

    /// Returns whether the host is suspected now.
    pub fn is_suspected(&self, host: Ipv4Addr, now_ms: u64) -> bool {
        let found = self
            .records
            .binary_search_by_key(&host, |record| record.host);
        found.is_ok_and(|index| self.records[index].suspected_until_ms > now_ms)
    }

    /// Removes all suspicions, as after a pause of the process, in which it could read no answers.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Removes hosts that are neither suspected nor due to answer, so that memory stays bounded.
    pub fn prune(&mut self, now_ms: u64) {
        let is_awaited = |record: &HostRecord| {
            let since_ms = record.unanswered_since_ms;
            since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) < SUSPICION_MS)
        };
        self.records
            .retain(|record| record.suspected_until_ms > now_ms || is_awaited(record));
    }

    /// Returns the hosts that are suspected now.
    pub fn suspected_hosts(&self, now_ms: u64) -> Vec<Ipv4Addr> {
        let suspected = self
            .records
            .iter()
            .filter(|record| record.suspected_until_ms > now_ms);
        suspected.map(|record| record.host).collect()
    }
}
