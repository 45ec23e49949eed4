//! Flows of packets that only their two ends can read; see docs/OPAQUE.md.
//!
//! A packet's way reads top to bottom in `forwarder`, for a balancer, and in `flow_agent`, for an agent. The rule
//! that lives here: nothing is proof of where a flow is but its backend server, and without proof no flow is
//! reset. Decisions stand in plain structs that are told the time and do no input or output: the balancer's
//! in `forwarder`, the agent's in `flow_agent`. What they read stands in `openers` (whom to take and where others go),
//! `finding` (where a flow is) and `values` (what is published); what they send in `packets`. Around them stand the
//! processes, in `processes`. `quic` is not used.

mod finding;
mod flow_agent;
mod forwarder;
mod openers;
mod packets;
mod processes;
mod values;

pub use crate::config::backend_entry::{
    BACKEND_PREFIX, Backend, BackendState, BackendValue, GONE_TEXT, UnusableReason, backend_text,
    cold_backend_text, started_backend_text, unusable_text,
};
pub use crate::config::cold_starts::{COLD_STARTS_NAME, ColdStart, cold_start_line, cold_starts};
pub use crate::config::deadlines::{DEADLINES_NAME, Deadline, deadlines, deadlines_text};
pub use crate::config::evacuation::{EVACUATED_PREFIX, EVACUATED_TEXT, evacuation_name};
pub use crate::config::route_diff::{RouteChange, route_changes};
pub use crate::config::route_table::{ROUTES_HEADER, ROUTES_NAME, Route, RouteShare, RouteTable};
pub use crate::config::service_names::{SERVICES_NAME, service_names, services_text};
pub use crate::opaque::finding::flow_search::FlowSearch;
pub use crate::opaque::finding::lookup::{Lookups, Question, Verdict};
pub use crate::opaque::flow_agent::{AgentContext, AgentIdentity, FlowAgent};
pub use crate::opaque::forwarder::{Forwarder, steady_load, told_wait};
pub use crate::opaque::packets::action::Action;
pub use crate::opaque::packets::message::{Message, MessageKind, UNKNOWN_AGE_MS, UNKNOWN_LOAD};
pub use crate::opaque::packets::segment::{FlowKey, Segment, WireFormat};
pub use crate::opaque::values::backend_change::BackendChange;
pub use crate::opaque::values::directory::Directory;
pub use crate::opaque::values::freshness::{Asker, Freshness, READERS, Standing, standing};
pub use crate::opaque::values::news::{Dropped, dropped, news};
pub use crate::opaque::values::own_backend::OwnBackend;
pub use crate::opaque::values::restoration::{Restoration, RestorationStep, SETTLE_MS};
pub use crate::opaque::values::source::{Batch, Published, Read, Source, forgot};
pub use crate::opaque::values::start_reads::StartReads;
pub use crate::process::opaque_metrics::OpaqueMetrics;

pub(crate) use crate::opaque::processes::node::Node;

/// What a platform must provide for opaque flows.
pub struct Adapter {
    /// How packets look on the wire.
    pub wire: WireFormat,
    /// Where published values are read.
    pub source: Source,
}

pub(crate) use crate::opaque::processes::entry::run as run_entry;
pub(crate) use crate::opaque::processes::side::run as run_side;
pub(crate) use crate::opaque::processes::state::hooks;
