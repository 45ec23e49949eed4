//! Load balancing of opaque flows, whose packets only their two ends can read; see docs/OPAQUE.md.
//!
//! Only the backend server of a flow proves that it holds the flow, and no flow is reset without
//! proof that it is gone.
//!
//! - `forwarder` decides about packets in a balancer, `flow_agent` in an agent. Both are plain structs
//!   that get the time as an argument and do no input or output.
//! - `openers` decides which openers are taken and where the others go.
//! - `flows` holds an agent's flows and finds the backend server that holds a flow.
//! - `values` holds the published values.
//! - `packets` defines the messages between processes and the access to packets of flows.
//! - `processes` runs balancers and agents: sockets and timers.
//!
//! `quic` is not used here.

mod flow_agent;
mod flows;
mod forwarder;
mod openers;
mod packets;
mod processes;
mod values;

pub use crate::config::backend_entry::{
    BACKEND_PREFIX, Backend, BackendState, BackendValue, GONE_TEXT, UnusableReason, backend_text,
    cold_backend_text, started_backend_text, unusable_text,
};
pub use crate::config::cold_starts::{
    COLD_STARTS_NAME, ColdStart, cold_start_line, parse_cold_starts,
};
pub use crate::config::deadlines::{DEADLINES_NAME, Deadline, deadlines_text, parse_deadlines};
pub use crate::config::evacuation::{EVACUATED_PREFIX, EVACUATED_TEXT, evacuation_name};
pub use crate::config::route_diff::{RouteChange, route_changes};
pub use crate::config::route_table::{ROUTES_HEADER, ROUTES_NAME, Route, RouteShare, RouteTable};
pub use crate::config::service_names::{SERVICES_NAME, parse_services, services_text};
pub use crate::opaque::flow_agent::{AgentContext, AgentIdentity, FlowAgent};
pub use crate::opaque::flows::flow_search::FlowSearch;
pub use crate::opaque::flows::lookup::{LookupOutcome, LookupPacket, Lookups};
pub use crate::opaque::forwarder::{Forwarder, decode_steady_load, decode_wait_ms};
pub use crate::opaque::packets::action::Action;
pub use crate::opaque::packets::message::{
    Message, MessageKind, UNKNOWN_AGE_MS, UNKNOWN_LOAD_PERMILLE,
};
pub use crate::opaque::packets::segment::{FlowKey, Segment, WireFormat};
pub use crate::opaque::values::backend_change::BackendChange;
pub use crate::opaque::values::batch_diff::{DroppedValue, dropped_values, new_values};
pub use crate::opaque::values::directory::Directory;
pub use crate::opaque::values::freshness::{
    Freshness, ProcessLocation, READER_COUNT, RelayPosition, relay_position,
};
pub use crate::opaque::values::local_backend::LocalBackend;
pub use crate::opaque::values::restoration::{
    RESTORE_SETTLE_MS, RestorationEvent, RestorationTracker,
};
pub use crate::opaque::values::source::{
    Batch, PlatformRead, PlatformSource, PublishedValue, history_forgotten_error,
};
pub use crate::opaque::values::startup_backoff::StartupBackoff;
pub use crate::process::opaque_metrics::OpaqueMetrics;

pub(crate) use crate::opaque::processes::node::Node;

/// The platform-specific parts that opaque flows need.
pub struct PlatformAdapter {
    /// The wire format of packets.
    pub wire: WireFormat,
    /// The reads of published values.
    pub source: PlatformSource,
}

pub(crate) use crate::opaque::processes::agent::run as run_agent;
pub(crate) use crate::opaque::processes::balancer::run as run_balancer;
pub(crate) use crate::opaque::processes::state_dump::hooks;
