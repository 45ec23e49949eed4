//! Which hosts this process believes to be dead: local, short-lived, and forgotten on an answer.

use std::net::Ipv4Addr;

/// For how long a host stays suspected without a new reason, in milliseconds.
pub const SUSPICION_MS: u64 = 2_000;
/// How long sent packets may stay unanswered before their receiver is suspected, in milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 400;

#[derive(Debug, Clone, Copy)]
struct Record {
    host: Ipv4Addr,
    unanswered_since_ms: Option<u64>,
    suspected_until_ms: u64,
}

/// Suspicions of one process about others; it never travels, so that a wrong one stays small.
#[derive(Debug, Default)]
pub struct Suspicion {
    records: Vec<Record>,
}

impl Suspicion {
    fn record(&mut self, host: Ipv4Addr) -> &mut Record {
        let found = self
            .records
            .binary_search_by_key(&host, |record| record.host);
        let index = found.unwrap_or_else(|index| {
            self.records.insert(
                index,
                Record {
                    host,
                    unanswered_since_ms: None,
                    suspected_until_ms: 0,
                },
            );
            index
        });
        &mut self.records[index]
    }

    /// Notes that something was sent to which the host should answer.
    pub fn record_sent(&mut self, host: Ipv4Addr, now_ms: u64) {
        let record = self.record(host);
        let since_ms = *record.unanswered_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) > ANSWER_TIMEOUT_MS {
            record.suspected_until_ms = now_ms + SUSPICION_MS;
            record.unanswered_since_ms = None;
        }
    }

    /// Notes that the host answered.
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
        self.record(host).suspected_until_ms = now_ms + SUSPICION_MS;
    }

    /// Tells whether the host is suspected now.
    pub fn is_suspected(&self, host: Ipv4Addr, now_ms: u64) -> bool {
        let found = self
            .records
            .binary_search_by_key(&host, |record| record.host);
        found.is_ok_and(|index| self.records[index].suspected_until_ms > now_ms)
    }

    /// Forgets everything, as after a pause in which no answer could be read.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Forgets hosts about which nothing is suspected or awaited, so that memory stays bounded.
    pub fn prune(&mut self, now_ms: u64) {
        let awaited = |record: &Record| {
            let since_ms = record.unanswered_since_ms;
            since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) < SUSPICION_MS)
        };
        self.records
            .retain(|record| record.suspected_until_ms > now_ms || awaited(record));
    }

    /// Returns the hosts suspected now.
    pub fn suspected_hosts(&self, now_ms: u64) -> Vec<Ipv4Addr> {
        let now = self
            .records
            .iter()
            .filter(|record| record.suspected_until_ms > now_ms);
        now.map(|record| record.host).collect()
    }
}
