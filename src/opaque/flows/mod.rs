//! Where a flow is held: an agent's flow table, lookups among agents, and the search without a
//! configuration.
//!
//! Only the answers of all agents prove that no backend server holds a flow. See docs/OPAQUE.md.

pub(crate) mod flow;
pub(crate) mod flow_map;
pub(crate) mod flow_search;
pub(crate) mod flow_table;
pub(crate) mod lookup;
pub(crate) mod orphaned_flows;
