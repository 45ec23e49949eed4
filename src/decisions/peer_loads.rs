//! What the agents of one service know of each other's load.

use std::net::Ipv4Addr;

use serde::Serialize;

/// The full share of a target, in thousandths.
pub const FULL_SHARE_PERMILLE: u16 = 1_000;
/// The age at which a report no longer counts, in milliseconds.
pub const REPORT_MAX_AGE_MS: u64 = 60_000;
/// How long a report that no longer counts is remembered, so that peers which pass it on late can't
/// revive it, in milliseconds.
pub(crate) const REPORT_RETENTION_MS: u64 = 300_000;

/// A hundredth of a second, in milliseconds.
const CS_MS: u64 = 10;

/// What one agent counts itself for one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// The agent's host.
    pub host: Ipv4Addr,
    /// The agent's incarnation; a later start has a higher one.
    pub incarnation: u32,
    /// Rises with each report of an incarnation.
    pub sequence: u32,
    /// The open flows.
    pub open_flows: u32,
    /// The requests that run.
    pub busy_slots: u16,
    /// How old the report is where it is passed on, in hundredths of a second.
    pub age_cs: u16,
    /// The mean number of busy slots of the last seconds, in hundredths of a slot.
    pub busy_centislots: u16,
    /// How much of its weight the target takes: less while it starts cold, 0 while it drains or
    /// fails.
    pub share_permille: u16,
}

/// A report with the time at which its agent counted.
#[derive(Debug, Clone, Copy)]
pub struct PeerLoad {
    /// The report, with the flows sent to the agent since.
    pub report: LoadReport,
    /// When the agent counted, by this process's clock, in milliseconds.
    pub measured_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    report: LoadReport,
    measured_ms: u64,
    sent_flows: u32,
}

/// The newest report of each peer; older ones that arrive late are passed over.
#[derive(Debug, Default)]
pub struct PeerLoads {
    entries: Vec<Entry>,
}

impl PeerLoads {
    /// Takes a report if it is newer than the one held, and says whether it was.
    pub fn merge(&mut self, report: LoadReport, now_ms: u64) -> bool {
        let entry = Entry {
            report,
            measured_ms: now_ms.saturating_sub(u64::from(report.age_cs) * CS_MS),
            sent_flows: 0,
        };
        match self.position(report.host) {
            Ok(index) => {
                let held = &self.entries[index];
                let held_age = (held.report.incarnation, held.report.sequence);
                if (report.incarnation, report.sequence) <= held_age {
                    return false;
                }
                self.entries[index] = entry;
            }
            Err(index) => self.entries.insert(index, entry),
        }
        true
    }

    /// Notes a flow handed to a peer, which its report can't show yet.
    pub fn record_deflected_flow(&mut self, host: Ipv4Addr) {
        if let Ok(index) = self.position(host) {
            self.entries[index].sent_flows += 1;
        }
    }

    /// Notes that a peer returned an opener: it takes none until it reports anew.
    pub fn record_returned_opener(&mut self, host: Ipv4Addr) {
        if let Ok(index) = self.position(host) {
            self.entries[index].report.share_permille = 0;
        }
    }

    /// Returns what is known of a peer's load, if it is fresh.
    pub fn fresh_load(&self, host: Ipv4Addr, now_ms: u64) -> Option<PeerLoad> {
        let index = self.position(host).ok()?;
        let entry = &self.entries[index];
        if now_ms.saturating_sub(entry.measured_ms) > REPORT_MAX_AGE_MS {
            return None;
        }
        let mut report = entry.report;
        report.open_flows += entry.sent_flows;
        Some(PeerLoad {
            report,
            measured_ms: entry.measured_ms,
        })
    }

    /// Returns about how long it takes until reports are new, in milliseconds: the mean
    /// age of those that count now.
    pub fn mean_report_age_ms(&self, now_ms: u64) -> f64 {
        let ages = self
            .entries
            .iter()
            .map(|entry| now_ms.saturating_sub(entry.measured_ms));
        let fresh: Vec<u64> = ages.filter(|age_ms| *age_ms <= REPORT_MAX_AGE_MS).collect();
        fresh.iter().sum::<u64>() as f64 / fresh.len().max(1) as f64
    }

    /// Returns all fresh reports with their age, to pass on.
    pub fn fresh_reports(&self, now_ms: u64) -> Vec<LoadReport> {
        let age_ms = |entry: &Entry| now_ms.saturating_sub(entry.measured_ms);
        let fresh = self
            .entries
            .iter()
            .filter(|entry| age_ms(entry) <= REPORT_MAX_AGE_MS);
        let aged = fresh.map(|entry| LoadReport {
            age_cs: (age_ms(entry) / CS_MS) as u16,
            ..entry.report
        });
        aged.collect()
    }

    /// Forgets a peer, as after a refused connection.
    pub fn remove(&mut self, host: Ipv4Addr) {
        if let Ok(index) = self.position(host) {
            self.entries.remove(index);
        }
    }

    /// Drops reports so old that no peer passes them on any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.entries
            .retain(|entry| now_ms.saturating_sub(entry.measured_ms) <= REPORT_RETENTION_MS);
    }

    /// Forgets everything, as after a pause.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn position(&self, host: Ipv4Addr) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&host, |entry| entry.report.host)
    }
}
