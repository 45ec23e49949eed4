//! The waits for new flows that agents recently reported to a balancer.

use std::net::Ipv4Addr;

use crate::decisions::offers::TAKES_NONE_WAIT_MS;

/// How long a report is valid, in milliseconds: about the service time of the users' requests,
/// after which busy slots have become free and free ones busy.
const REPORT_LIFETIME_MS: u64 = 30;
/// The weight of the newest report in the mean wait.
const NEWEST_WEIGHT: f64 = 0.1;
/// The time in which the mean wait halves without a report, in milliseconds: a rush may be over,
/// and agents that get no offers don't report that it is.
const MEAN_HALF_LIFE_MS: f64 = 200.0;

#[derive(Debug, Clone, Copy)]
struct ReportedWait {
    host: Ipv4Addr,
    wait_ms: u16,
    reported_ms: u64,
    /// Whether this balancer has sent the agent a flow since the report, which invalidates a report
    /// of a free slot.
    was_sent_flow: bool,
}

/// The moving mean of reported waits, which decays while there are no reports.
#[derive(Debug, Default, Clone, Copy)]
struct MeanWait {
    wait_ms: f64,
    reported_ms: u64,
}

/// The newest report of each agent, sorted by host, and the mean waits in the balancer's
/// availability zone and in the other ones.
#[derive(Debug, Default)]
pub struct ReportedWaits {
    waits: Vec<ReportedWait>,
    same_zone: MeanWait,
    other_zones: MeanWait,
}

impl MeanWait {
    fn record(&mut self, wait_ms: u16, now_ms: u64) {
        let before_ms = self.decayed_ms(now_ms);
        self.wait_ms = before_ms + (f64::from(wait_ms) - before_ms) * NEWEST_WEIGHT;
        self.reported_ms = now_ms;
    }

    fn decayed_ms(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.reported_ms) as f64;
        self.wait_ms * (-passed_ms / MEAN_HALF_LIFE_MS).exp2()
    }
}

impl ReportedWaits {
    /// Records a wait that an agent reported.
    pub fn record(&mut self, host: Ipv4Addr, is_same_zone: bool, wait_ms: u16, now_ms: u64) {
        if wait_ms != TAKES_NONE_WAIT_MS {
            self.mean_mut(is_same_zone).record(wait_ms, now_ms);
        }
        let reported = ReportedWait {
            host,
            wait_ms,
            reported_ms: now_ms,
            was_sent_flow: false,
        };
        match self.position(host) {
            Ok(index) => self.waits[index] = reported,
            Err(index) => self.waits.insert(index, reported),
        }
    }

    /// Records a flow sent to an agent, which the agent's last report can't include.
    ///
    /// Without this a balancer would send all openers of a moment to the one agent that reported a
    /// free slot.
    pub fn record_sent_flow(&mut self, host: Ipv4Addr) {
        if let Ok(index) = self.position(host) {
            self.waits[index].was_sent_flow = true;
        }
    }

    /// Returns the wait at an agent, in milliseconds, if its report is still valid.
    pub fn wait_ms(&self, host: Ipv4Addr, now_ms: u64) -> Option<u16> {
        let reported = self.waits[self.position(host).ok()?];
        let is_fresh = now_ms < reported.reported_ms + REPORT_LIFETIME_MS;
        let had_free_slot = reported.wait_ms == 0;
        (is_fresh && !(had_free_slot && reported.was_sent_flow)).then_some(reported.wait_ms)
    }

    /// Returns the wait to expect at an agent without a valid report, in milliseconds.
    pub fn mean_wait_ms(&self, is_same_zone: bool, now_ms: u64) -> f64 {
        let mean = if is_same_zone {
            &self.same_zone
        } else {
            &self.other_zones
        };
        mean.decayed_ms(now_ms)
    }

    fn mean_mut(&mut self, is_same_zone: bool) -> &mut MeanWait {
        if is_same_zone {
            &mut self.same_zone
        } else {
            &mut self.other_zones
        }
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.waits
            .retain(|reported| now_ms < reported.reported_ms + REPORT_LIFETIME_MS);
    }

    fn position(&self, host: Ipv4Addr) -> Result<usize, usize> {
        self.waits
            .binary_search_by_key(&host, |reported| reported.host)
    }
}
