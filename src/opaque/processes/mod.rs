//! The balancer and agent processes: sockets, timers, readiness checks and the state dump.
//!
//! No code here decides about a packet; `forwarder` and `flow_agent` do. See docs/OPAQUE.md.

pub(crate) mod agent;
pub(crate) mod backend_watch;
pub(crate) mod balancer;
pub(crate) mod node;
pub(crate) mod readiness;
pub(crate) mod state_dump;
pub(crate) mod ticker;
