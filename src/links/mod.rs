//! Control links between processes: authentication, calls, their messages.
//!
//! The rule that lives here: who does not know the cluster key is told nothing. What a call means stands
//! in `controllers`.

pub(crate) mod link;
pub(crate) mod link_auth;
pub(crate) mod node_codec;
pub(crate) mod peer_client;
pub(crate) mod peer_request;
