//! The policies and plans of the queue model, and the outcome of a run.

/// The placement of openers on servers. Rows in docs/MEASUREMENTS.md show the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The first server by hash.
    Hash,
    /// Of the first two servers by hash, the one with the lower reported load.
    TwoChoices,
    /// The server with the lowest reported load of all.
    LeastLoaded,
    /// The product without reports of failed attempts to balancers, so that each retry looks like a
    /// fresh opener.
    RetriesUnknown,
    /// The product without the mean load in openers, so that no agent declines one in favor of a less
    /// loaded agent.
    MeanUnknown,
    /// The product.
    Product,
}

impl Policy {
    /// Returns whether the product's own code places openers.
    pub(crate) fn is_product(self) -> bool {
        matches!(
            self,
            Policy::RetriesUnknown | Policy::MeanUnknown | Policy::Product
        )
    }

    /// Returns whether openers carry the mean load to agents.
    pub(crate) fn sends_mean_load(self) -> bool {
        self != Policy::MeanUnknown
    }

    /// Returns whether agents report failed attempts to balancers.
    pub(crate) fn reports_failed_attempts(self) -> bool {
        matches!(self, Policy::MeanUnknown | Policy::Product)
    }
}

/// The servers of a run and the load on them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    /// The number of balancers that share the callers. Each gets messages only from the agents to which
    /// it sends.
    pub(crate) balancers: u16,
    pub(crate) servers: u16,
    pub(crate) slots: usize,
    /// The mean number of requests on a flow, and the mean pause before each but the first, in
    /// milliseconds.
    pub(crate) requests_per_flow_and_pause_ms: (f64, f64),
    /// The mean service time of a request, in milliseconds.
    pub(crate) service_ms: f64,
    /// The offered load as a fraction of the capacity of all slots.
    pub(crate) load: f64,
    /// The factor by which service takes longer at the first server.
    pub(crate) first_server_slowdown: f64,
    /// The time at which all hosts lose power, and the length of the outage, in milliseconds.
    pub(crate) power_loss_ms: Option<(u64, u64)>,
    /// The time for which servers are cold after a power loss, in milliseconds, and the factor by which
    /// service takes longer then.
    pub(crate) cold_ms_and_slowdown: (u64, f64),
    /// The start and end of a load peak, in milliseconds, and the factor of the offered load in it.
    pub(crate) burst: Option<(u64, u64, f64)>,
    /// The time until the last arrival, in milliseconds.
    pub(crate) duration_ms: u64,
    /// The time within which an answer counts as in time, in milliseconds.
    pub(crate) objective_ms: u64,
    /// The time after which callers give up, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Whether the callers' objective and timeout are published as a deadline.
    pub(crate) has_deadline: bool,
    pub(crate) seed: u64,
}

impl Plan {
    pub(crate) fn new(servers: u16, slots: usize, service_ms: f64, load: f64) -> Self {
        Self {
            balancers: 1,
            servers,
            slots,
            requests_per_flow_and_pause_ms: (1.0, 0.0),
            service_ms,
            load,
            first_server_slowdown: 1.0,
            power_loss_ms: None,
            cold_ms_and_slowdown: (2_000, 1.6),
            burst: None,
            duration_ms: 20_000,
            objective_ms: 150,
            timeout_ms: 3_000,
            has_deadline: false,
            seed: 1,
        }
    }
}

/// The answers that callers got in a run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) requests: usize,
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    pub(crate) failed: usize,
    /// The sorted waits of all answered requests, in milliseconds.
    pub(crate) waits_ms: Vec<u64>,
    /// The number of requests that each server ran.
    pub(crate) requests_by_server: Vec<usize>,
}

impl Outcome {
    pub(crate) fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    pub(crate) fn percentile_ms(&self, part: f64) -> u64 {
        let index = (self.waits_ms.len() as f64 * part) as usize;
        let last = self.waits_ms.len().saturating_sub(1);
        self.waits_ms.get(index.min(last)).copied().unwrap_or(0)
    }

    /// Returns the number of requests of the busiest server over the mean.
    pub(crate) fn imbalance(&self) -> f64 {
        let most = self.requests_by_server.iter().copied().max().unwrap_or(0) as f64;
        let mean = self.requests_by_server.iter().sum::<usize>() as f64
            / self.requests_by_server.len().max(1) as f64;
        most / mean.max(1.0)
    }
}
