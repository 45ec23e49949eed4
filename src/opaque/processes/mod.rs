//! The balancer and the agent as processes: sockets, timers, readiness, the state dump.
//!
//! The rule that lives here: nothing here decides about a packet; `forwarder` and `flow_agent` are asked. See docs/OPAQUE.md.

pub(crate) mod agent;
pub(crate) mod backend_watch;
pub(crate) mod balancer;
pub(crate) mod node;
pub(crate) mod readiness;
pub(crate) mod state_dump;
pub(crate) mod ticker;
