//! Where a flow is: an agent's book, questions to other agents, and the search without a configuration.
//!
//! The rule that lives here: only the word of all agents proves that nobody holds a flow. See docs/OPAQUE.md.

pub(crate) mod flow;
pub(crate) mod flow_table;
pub(crate) mod flow_map;
pub(crate) mod flow_search;
pub(crate) mod lookup;
pub(crate) mod orphaned_flows;
