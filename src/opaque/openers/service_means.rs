//! The mean load of each service's backend servers, which a balancer sends to agents with openers.

use crate::config::service_id::ServiceId;
use crate::config::table::Table;
use crate::opaque::openers::host_loads::HostLoads;
use crate::opaque::packets::message::UNKNOWN_LOAD_PERMILLE;

/// How long a mean is cached, in milliseconds. It changes over seconds, and computing it looks up all
/// backend servers of the service.
const MEAN_TTL_MS: u64 = 500;
/// The least number of a service's backend servers for a mean.
///
/// With fewer, each balancer gets messages of each agent within about a second and chooses by load
/// itself. With seven, openers that agents decline by load were spread no better, and after a loss of
/// power 0.011 of them were late because of it in the model.
const MIN_SERVERS: usize = 16;

#[derive(Debug, Clone, Copy)]
struct Mean {
    permille: u16,
    computed_ms: u64,
}

/// The cached means, sorted by service.
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
            && now_ms < self.means[index].1.computed_ms + MEAN_TTL_MS
        {
            return self.means[index].1.permille;
        }
        if table.rows.len() < MIN_SERVERS {
            return UNKNOWN_LOAD_PERMILLE;
        }
        let active_rows = table.rows.iter().filter(|row| row.weight > 0);
        let permille = loads.mean_permille(active_rows.map(|row| row.host), now_ms);
        let mean = Mean {
            permille: permille.unwrap_or(UNKNOWN_LOAD_PERMILLE),
            computed_ms: now_ms,
        };
        match found {
            Ok(index) => self.means[index].1 = mean,
            Err(index) => self.means.insert(index, (service, mean)),
        }
        mean.permille
    }
}
