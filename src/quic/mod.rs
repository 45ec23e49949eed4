//! The product's own form of flows: QUIC with routing tokens between callers, balancers, agents and
//! backend servers; see docs/DESIGN.md.
//!
//! A packet's way reads top to bottom in `balancer`, then in `agent_datagrams`; a request's in `request`.
//! The rule that lives here: a flow stays with its agent through any planned change, and each request gets
//! one final answer. `opaque` is not used.

pub(crate) mod agent;
pub(crate) mod agent_datagrams;
pub(crate) mod agent_run;
pub(crate) mod answer;
pub(crate) mod backend;
pub(crate) mod balancer;
pub(crate) mod caller_body;
pub(crate) mod drain_signal;
pub(crate) mod envelope;
pub(crate) mod flow;
pub(crate) mod flow_socket;
pub(crate) mod health;
pub(crate) mod load_exchange;
pub(crate) mod local_run;
pub(crate) mod move_request;
pub(crate) mod packet;
pub(crate) mod peer_handlers;
pub(crate) mod quic_endpoint;
pub(crate) mod repeatable;
pub(crate) mod request;
pub(crate) mod request_context;
pub(crate) mod request_spec;
pub(crate) mod reservation;
pub(crate) mod return_path;
pub(crate) mod run_once;
pub(crate) mod stateless_reset;
pub(crate) mod steering;
pub(crate) mod target;
pub(crate) mod token_source;
