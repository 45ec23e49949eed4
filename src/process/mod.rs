//! The plumbing that every process has: timers, sockets, HTTP, log lines, metrics.
//!
//! The rule that lives here: nothing waits for who reads lines or metrics, and a pause of the host is
//! noticed. It knows nothing of what is published or decided, and uses no other folder.

pub(crate) mod clock;
pub(crate) mod code_counter;
pub(crate) mod counted_stream;
pub(crate) mod http_client;
pub(crate) mod http_server;
pub(crate) mod log_budget;
pub(crate) mod log_output;
pub(crate) mod logging;
pub(crate) mod metrics;
pub(crate) mod opaque_metrics;
pub(crate) mod timer_service;
pub(crate) mod timers;
pub(crate) mod udp;
