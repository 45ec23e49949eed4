//! What a decision about an opener reads: loads, outcomes, retries, and who is offered it next. The decision itself
//! stands in `flow_agent::openers` for an agent and in `forwarder` for a balancer.
//!
//! The rule that lives here: what is remembered here is a guess about others or a count of what passed, and never a reason to reset a flow. See docs/OPAQUE.md.

pub(crate) mod candidates;
pub(crate) mod cold_rate;
pub(crate) mod expected_retries;
pub(crate) mod known_loads;
pub(crate) mod mean_load;
pub(crate) mod opener_order;
pub(crate) mod recent_outcomes;
pub(crate) mod service_means;
