//! Control links between processes: authentication, calls and the encoding of messages.
//!
//! A peer that does not hold the cluster key gets no answer. `controllers` implements the calls.

pub(crate) mod link;
pub(crate) mod link_auth;
pub(crate) mod node_codec;
pub(crate) mod peer_client;
pub(crate) mod peer_request;
