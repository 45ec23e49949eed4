//! The plumbing of a process: its start and stop, timers, sockets, logs, metrics, state dump, and
//! the operators' client.

pub(crate) mod clock;
pub(crate) mod control;
pub(crate) mod counted_stream;
pub(crate) mod daemon;
pub(crate) mod http_client;
pub(crate) mod http_server;
pub(crate) mod log_budget;
pub(crate) mod log_output;
pub(crate) mod logging;
pub(crate) mod metrics;
pub(crate) mod operator;
pub(crate) mod state_view;
pub(crate) mod timer;
pub(crate) mod timers;
pub(crate) mod udp;
