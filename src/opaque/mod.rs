//! Flows of packets that only their two ends can read; see docs/OPAQUE.md.
//!
//! A packet's way reads top to bottom in `forwarder`, for a balancer, and in `keeper`, for an agent. The rule
//! that lives here: nothing is proof of where a flow is but its backend server, and without proof no flow is
//! reset. Decisions stand in plain structs that are told the time and do no input or output: the balancer's
//! in `forwarder`, the agent's in `keeper` and `lookup`, who reads the platform in `freshness`, what
//! is published in `directory`. Around them stand the processes, in `entry` and `side`. `quic` is not used.

mod action;
mod backend_watch;
mod directory;
mod entry;
mod expected_retries;
mod flow_book;
mod flow_map;
mod flow_search;
mod forwarder;
mod freshness;
mod keeper;
mod known_balancers;
mod known_loads;
mod lookup;
mod mean_load;
mod message;
mod news;
mod node;
mod opener_order;
mod published;
mod readiness;
mod recent_outcomes;
mod segment;
mod side;
mod source;
mod state;
mod ticker;

pub use crate::config::backend_entry::{
    BACKEND_PREFIX, Backend, BackendState, GONE_TEXT, backend_text, cold_backend_text,
};
pub use crate::config::route_diff::{RouteChange, route_changes};
pub use crate::config::route_table::{ROUTES_HEADER, ROUTES_NAME, Route, RouteShare, RouteTable};
pub use crate::opaque::action::Action;
pub use crate::opaque::directory::{BackendChange, Directory, OwnBackend};
pub use crate::opaque::flow_search::FlowSearch;
pub use crate::opaque::forwarder::Forwarder;
pub use crate::opaque::freshness::{Freshness, READERS, Standing, standing};
pub use crate::opaque::keeper::{Keeper, KeeperIdentity, Scene};
pub use crate::opaque::lookup::{Lookups, Question, Verdict};
pub use crate::opaque::message::{Message, MessageKind, UNKNOWN_AGE_MS, UNKNOWN_LOAD};
pub use crate::opaque::news::news;
pub use crate::opaque::published::forgot;
pub use crate::opaque::segment::{FlowKey, Segment, WireFormat};
pub use crate::opaque::source::{Batch, Published, Read, Source};
pub use crate::process::opaque_metrics::OpaqueMetrics;

pub(crate) use crate::opaque::node::Node;

/// What a platform must provide for opaque flows.
pub struct Adapter {
    /// How packets look on the wire.
    pub wire: WireFormat,
    /// Where published values are read.
    pub source: Source,
}

pub(crate) use crate::opaque::entry::run as run_entry;
pub(crate) use crate::opaque::side::run as run_side;
pub(crate) use crate::opaque::state::hooks;
