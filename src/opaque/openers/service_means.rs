//! The mean load of each service's backend servers, as a balancer tells it to agents.

use crate::config::service_id::ServiceId;
use crate::config::table::Table;
use crate::opaque::openers::host_loads::HostLoads;
use crate::opaque::packets::message::UNKNOWN_LOAD_PERMILLE;

/// How long a mean is told before it is worked out anew, in milliseconds: it changes over seconds, and each
/// time all backend servers of the service are looked up.
const KEPT_MS: u64 = 500;
/// From how many backend servers of a service a mean is told: of fewer each balancer hears each one within a second
/// or so, and chooses by load itself. Of seven, openers that go from agent to agent by load spread no better, and after
/// a loss of power 0.011 of them were late for it, in model time.
const MIN_SERVERS: usize = 16;

#[derive(Debug, Clone, Copy)]
struct Mean {
    permille: u16,
    since_ms: u64,
}

/// The means that were worked out last, sorted by service.
#[derive(Debug, Default)]
pub(crate) struct ServiceMeans {
    means: Vec<(ServiceId, Mean)>,
}

impl ServiceMeans {
    /// Returns the mean load of a service's backend servers in thousandths, or [`UNKNOWN_LOAD_PERMILLE`].
    pub(crate) fn permille(
        &mut self,
        service: ServiceId,
        table: &Table,
        loads: &HostLoads,
        now_ms: u64,
    ) -> u16 {
        let found = self.means.binary_search_by_key(&service, |(id, _)| *id);
        if let Ok(index) = found
            && now_ms < self.means[index].1.since_ms + KEPT_MS
        {
            return self.means[index].1.permille;
        }
        if table.rows.len() < MIN_SERVERS {
            return UNKNOWN_LOAD_PERMILLE;
        }
        let takers = table.rows.iter().filter(|row| row.weight > 0);
        let permille = loads.mean_permille(takers.map(|row| row.host), now_ms);
        let mean = Mean {
            permille: permille.unwrap_or(UNKNOWN_LOAD_PERMILLE),
            since_ms: now_ms,
        };
        match found {
            Ok(index) => self.means[index].1 = mean,
            Err(index) => self.means.insert(index, (service, mean)),
        }
        mean.permille
    }
}
