//! What callers of opaque flows do.

use std::net::SocketAddrV4;

/// What callers do.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// The service whose answers are expected.
    pub service: String,
    /// The address that is called.
    pub called: SocketAddrV4,
    /// How many callers keep a feed open and ask on it again and again.
    pub feeds: usize,
    /// How many callers send claims that may not run twice, each on a flow of its own.
    pub claims: usize,
    /// The pause between two requests of a caller, in milliseconds.
    pub pause_ms: u64,
    /// How long a request may take with all its tries, in milliseconds.
    pub limit_ms: u64,
}
