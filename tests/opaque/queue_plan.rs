//! What the model of placement plays, and what callers got.

/// How openers are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The first server by hash.
    Hash,
    /// Of the two first by hash the one whose load was told to be lower.
    TwoChoices,
    /// The one of all whose load was told to be lowest.
    LeastLoaded,
    /// The product, but balancers do not hear of attempts that failed, so that each retry looks fresh.
    RetriesUnknown,
    /// The product, but agents are not told the mean load, so that none leaves an opener to a lighter one.
    MeanUnknown,
    /// The product.
    Product,
}

impl Policy {
    /// Tells whether the product's own code decides.
    pub(crate) fn is_product(self) -> bool {
        matches!(
            self,
            Policy::RetriesUnknown | Policy::MeanUnknown | Policy::Product
        )
    }

    /// Tells whether agents are told the mean load.
    pub(crate) fn knows_mean(self) -> bool {
        self != Policy::MeanUnknown
    }

    /// Tells whether balancers hear of attempts that failed.
    pub(crate) fn knows_retries(self) -> bool {
        matches!(self, Policy::MeanUnknown | Policy::Product)
    }
}

/// What is asked of the servers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    /// How many balancers share the callers; each hears only the agents to which it sends.
    pub(crate) balancers: u16,
    pub(crate) servers: u16,
    pub(crate) slots: usize,
    /// The mean number of requests on a flow, and the mean pause before each but the first, in milliseconds.
    pub(crate) flow: (f64, f64),
    /// The mean time of a request at a server, in milliseconds.
    pub(crate) work_ms: f64,
    /// What is asked, as a part of what all slots can do.
    pub(crate) load: f64,
    /// How much slower the first server is.
    pub(crate) first_slower: f64,
    /// When all hosts lose power, and for how long, in milliseconds.
    pub(crate) power_lost_ms: Option<(u64, u64)>,
    /// For how long servers are cold after it, in milliseconds, and how much slower they are.
    pub(crate) cold: (u64, f64),
    /// Until when more is asked, and how much more.
    pub(crate) burst: Option<(u64, u64, f64)>,
    pub(crate) for_ms: u64,
    pub(crate) aim_ms: u64,
    /// When callers give up, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Whether the configuration tells for how long callers wait.
    pub(crate) has_deadline: bool,
    pub(crate) seed: u64,
}

impl Plan {
    pub(crate) fn new(servers: u16, slots: usize, work_ms: f64, load: f64) -> Self {
        Self {
            balancers: 1,
            servers,
            slots,
            flow: (1.0, 0.0),
            work_ms,
            load,
            first_slower: 1.0,
            power_lost_ms: None,
            cold: (2_000, 1.6),
            burst: None,
            for_ms: 20_000,
            aim_ms: 150,
            timeout_ms: 3_000,
            has_deadline: false,
            seed: 1,
        }
    }
}

/// What callers got.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) asked: usize,
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    pub(crate) failed: usize,
    /// The time until the answer, of all that were answered, sorted, in milliseconds.
    pub(crate) waits_ms: Vec<u64>,
    /// The requests that each server ran.
    pub(crate) ran: Vec<usize>,
}

impl Outcome {
    pub(crate) fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    pub(crate) fn percentile_ms(&self, part: f64) -> u64 {
        let index = (self.waits_ms.len() as f64 * part) as usize;
        let last = self.waits_ms.len().saturating_sub(1);
        self.waits_ms.get(index.min(last)).copied().unwrap_or(0)
    }

    /// Returns the most that one server ran, over the mean.
    pub(crate) fn imbalance(&self) -> f64 {
        let most = self.ran.iter().copied().max().unwrap_or(0) as f64;
        let mean = self.ran.iter().sum::<usize>() as f64 / self.ran.len().max(1) as f64;
        most / mean.max(1.0)
    }
}
