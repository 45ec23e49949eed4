//! The inputs of decisions about openers: candidates, loads, outcomes and retries.
//!
//! An agent decides in `keeper::openers`, a balancer in `forwarder`. The state in this module is an
//! estimate of other hosts or a count of past events, and never a reason to reset a flow. See
//! docs/OPAQUE.md.

pub(crate) mod candidates;
pub(crate) mod cold_rate_limiter;
pub(crate) mod host_loads;
pub(crate) mod mean_load;
pub(crate) mod opener_order;
pub(crate) mod recent_outcomes;
pub(crate) mod retry_tracker;
pub(crate) mod service_means;
