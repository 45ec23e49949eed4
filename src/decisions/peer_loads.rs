//! The load reports that the agents of one service exchange.

use std::net::Ipv4Addr;

use serde::Serialize;

/// The full share of a target, in thousandths.
pub const FULL_SHARE_PERMILLE: u16 = 1_000;
/// The age above which a report is stale, in milliseconds.
pub const REPORT_MAX_AGE_MS: u64 = 60_000;
/// How long a report is retained, in milliseconds. This is well beyond [`REPORT_MAX_AGE_MS`], so
/// that an older report that a peer passes on late is still recognized as older.
pub(crate) const REPORT_RETENTION_MS: u64 = 300_000;

/// Milliseconds per hundredth of a second.
const MS_PER_CS: u64 = 10;

/// The load that an agent measured at one of its targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// The agent's host.
    pub host: Ipv4Addr,
    /// The agent's incarnation, which increases with each start.
    pub incarnation: u32,
    /// The sequence number, which increases with each report of an incarnation.
    pub sequence: u32,
    /// The number of open flows.
    pub open_flows: u32,
    /// The number of running requests.
    pub busy_slots: u16,
    /// The age of the report when it is passed on, in hundredths of a second.
    pub age_cs: u16,
    /// The mean number of busy slots of the last seconds, in hundredths of a slot.
    pub busy_centislots: u16,
    /// The share of its weight that the target takes, in thousandths: less during its slow start, 0
    /// while it drains or fails.
    pub share_permille: u16,
}

/// A report and the time of its measurement.
#[derive(Debug, Clone, Copy)]
pub struct PeerLoad {
    /// The report, with the flows that were deflected to the agent since added to the open ones.
    pub report: LoadReport,
    /// The time of the measurement by this process's clock, in milliseconds.
    pub measured_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    report: LoadReport,
    measured_ms: u64,
    deflected_flows: u32,
}

/// The newest report of each peer, sorted by host.
#[derive(Debug, Default)]
pub struct PeerLoads {
    entries: Vec<Entry>,
}

impl PeerLoads {
    /// Stores a report if it is newer than the stored one; returns whether it was.
    pub fn merge(&mut self, report: LoadReport, now_ms: u64) -> bool {
        let entry = Entry {
            report,
            measured_ms: now_ms.saturating_sub(u64::from(report.age_cs) * MS_PER_CS),
            deflected_flows: 0,
        };
        match self.position(report.host) {
            Ok(index) => {
                let stored = &self.entries[index];
                let stored_version = (stored.report.incarnation, stored.report.sequence);
                if (report.incarnation, report.sequence) <= stored_version {
                    return false;
                }
                self.entries[index] = entry;
            }
            Err(index) => self.entries.insert(index, entry),
        }
        true
    }

    /// Counts a flow deflected to a peer, which the peer's report can't include yet.
    pub fn record_deflected_flow(&mut self, host: Ipv4Addr) {
        if let Ok(index) = self.position(host) {
            self.entries[index].deflected_flows += 1;
        }
    }

    /// Records that a peer returned an opener, so that it gets no more until its next report.
    pub fn record_returned_opener(&mut self, host: Ipv4Addr) {
        if let Ok(index) = self.position(host) {
            self.entries[index].report.share_permille = 0;
        }
    }

    /// Returns a peer's load if its report is not stale.
    pub fn fresh_load(&self, host: Ipv4Addr, now_ms: u64) -> Option<PeerLoad> {
        let index = self.position(host).ok()?;
        let entry = &self.entries[index];
        if now_ms.saturating_sub(entry.measured_ms) > REPORT_MAX_AGE_MS {
            return None;
        }
        let mut report = entry.report;
        report.open_flows += entry.deflected_flows;
        Some(PeerLoad {
            report,
            measured_ms: entry.measured_ms,
        })
    }

    /// Returns the mean age of the reports that are not stale, in milliseconds: about the time
    /// until they are replaced by new ones.
    pub fn mean_report_age_ms(&self, now_ms: u64) -> f64 {
        let ages = self
            .entries
            .iter()
            .map(|entry| now_ms.saturating_sub(entry.measured_ms));
        let fresh: Vec<u64> = ages.filter(|age_ms| *age_ms <= REPORT_MAX_AGE_MS).collect();
        fresh.iter().sum::<u64>() as f64 / fresh.len().max(1) as f64
    }

    /// Returns all reports that are not stale, with their current age, to pass them on.
    pub fn fresh_reports(&self, now_ms: u64) -> Vec<LoadReport> {
        let age_ms = |entry: &Entry| now_ms.saturating_sub(entry.measured_ms);
        let fresh = self
            .entries
            .iter()
            .filter(|entry| age_ms(entry) <= REPORT_MAX_AGE_MS);
        let reports = fresh.map(|entry| LoadReport {
            age_cs: (age_ms(entry) / MS_PER_CS) as u16,
            ..entry.report
        });
        reports.collect()
    }

    /// Removes a peer, as after a refused connection.
    pub fn remove(&mut self, host: Ipv4Addr) {
        if let Ok(index) = self.position(host) {
            self.entries.remove(index);
        }
    }

    /// Removes reports after their retention, when no peer passes them on any more.
    pub fn prune(&mut self, now_ms: u64) {
        self.entries
            .retain(|entry| now_ms.saturating_sub(entry.measured_ms) <= REPORT_RETENTION_MS);
    }

    /// Removes all reports, as after a pause of the process.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn position(&self, host: Ipv4Addr) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&host, |entry| entry.report.host)
    }
}
