//! The QUIC mode: callers reach balancers and agents over QUIC with routing tokens, and agents call
//! backend servers over HTTP/1.1; see docs/DESIGN.md.
//!
//! The path of a packet starts in `balancer` and continues in `agent_datagrams`. The path of a
//! request starts in `request`. A flow stays with its agent through any planned change, and each
//! request gets one final answer. This module does not use `opaque`.

pub(crate) mod agent;
pub(crate) mod agent_datagrams;
pub(crate) mod agent_lifecycle;
pub(crate) mod answer;
pub(crate) mod at_most_once;
pub(crate) mod backend;
pub(crate) mod balancer;
pub(crate) mod caller_body;
pub(crate) mod drain_signal;
pub(crate) mod envelope;
pub(crate) mod flow;
pub(crate) mod flow_socket;
pub(crate) mod health;
pub(crate) mod load_exchange;
pub(crate) mod local_request;
pub(crate) mod moved_request;
pub(crate) mod packet;
pub(crate) mod peer_handlers;
pub(crate) mod quic_endpoint;
pub(crate) mod repeatable;
pub(crate) mod request;
pub(crate) mod request_context;
pub(crate) mod request_spec;
pub(crate) mod reservation;
pub(crate) mod return_path;
pub(crate) mod stateless_reset;
pub(crate) mod steering;
pub(crate) mod target;
pub(crate) mod token_generator;
