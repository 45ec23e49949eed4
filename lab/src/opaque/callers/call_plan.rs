//! The load of a group of callers of opaque flows.

use std::net::SocketAddrV4;

/// The load of a group of callers.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// The service whose answers are expected.
    pub service: String,
    /// The address that they call.
    pub called: SocketAddrV4,
    /// The number of callers that send many requests on one flow. These may run twice.
    pub feeds: usize,
    /// The number of callers that send claims: requests that must not run twice, each on a flow of
    /// its own.
    pub claims: usize,
    /// The pause between two requests of a caller, in milliseconds.
    pub pause_ms: u64,
    /// The time limit of a request with all its retries, in milliseconds.
    pub limit_ms: u64,
}
