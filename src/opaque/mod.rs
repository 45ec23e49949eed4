//! Flows of packets that only their two ends can read; see docs/OPAQUE.md.
//!
//! A packet's way reads top to bottom in `forwarder`, for a balancer, and in `flow_agent`, for an agent. The rule
//! that lives here: nothing is proof of where a flow is but its backend server, and without proof no flow is
//! reset. Decisions stand in plain structs that are told the time and do no input or output: the balancer's
//! in `forwarder`, the agent's in `flow_agent`. What they read stands in `openers` (whom to take and where others go),
//! `flows` (where a flow is) and `values` (what is published); what they send in `packets`. Around them stand the
//! processes, in `processes`. `quic` is not used.

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

/// What a platform must provide for opaque flows.
pub struct PlatformAdapter {
    /// How packets look on the wire.
    pub wire: WireFormat,
    /// Where published values are read.
    pub source: PlatformSource,
}

pub(crate) use crate::opaque::processes::agent::run as run_agent;
pub(crate) use crate::opaque::processes::balancer::run as run_balancer;
pub(crate) use crate::opaque::processes::state_dump::hooks;
