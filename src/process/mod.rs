//! What every process needs: timers, sockets, HTTP, logging, metrics.
//!
//! A slow reader of log lines or metrics never blocks the process, and a pause of the host is detected. This
//! folder uses no other folder and has no part in configuration or load balancing.

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
