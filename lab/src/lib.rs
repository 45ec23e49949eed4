//! Stand-ins for what surrounds endivedyke, and the tool that drives load and experiments.
//!
//! Each stand-in is a small process that speaks the published protocols of docs/PLATFORM.md and
//! docs/CALLERS.md, and can misbehave on request. None of it is part of the product.

mod backend_server;
mod caller;
mod caller_process;
mod caller_stats;
mod callers;
mod claim_check;
mod cli;
mod config_service;
mod control_cost;
mod control_traffic;
mod datagram_rate;
mod experiments;
mod fabric;
mod http_text;
mod imbalance;
mod load;
mod load_report;
mod loopback_net;
pub mod opaque;
mod opener_summary;
mod proc_stat;
mod process;
mod quickstart;
mod relay_model;
mod runtime;
mod service_model;
mod site;
mod site_files;
mod value_spread;

pub use crate::caller::{Caller, Reply};
pub use crate::caller_process::{CallerLoad, CallerProcess};
pub use crate::caller_stats::CallerStats;
pub use crate::cli::run;
pub use crate::imbalance::{ImbalanceRow, run as run_imbalance};
pub use crate::loopback_net::LoopbackNet;
pub use crate::opener_summary::{
    LogDefaults, OpenerEnd, OpenerOutcome, OpenerSummary, count_dropped_lines, openers_csv,
    openers_table,
};
pub use crate::process::{Process, binary_path};
pub use crate::quickstart::{QuickstartReport, run_quickstart};
pub use crate::relay_model::{RelayOutcome, RelayPlan, run as run_relay};
pub use crate::service_model::{ModelLoad, Policy, ServiceModel, imbalance};
pub use crate::site::{Site, SiteBuilder};
pub use crate::value_spread::{ValueSpread, spreads_table, value_spreads};
