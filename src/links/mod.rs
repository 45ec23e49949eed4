//! Control links between processes: authentication, calls, the server of the control protocol.

pub(crate) mod link;
pub(crate) mod link_auth;
pub(crate) mod node_codec;
pub(crate) mod peer_request;
pub(crate) mod peers;
