//! Requests and answers that agents of one service pass to each other.

use bytes::Bytes;
use http::HeaderMap;

use crate::code::Code;
use crate::config::service_id::ServiceId;

/// The largest body of a request that is moved to a peer, in bytes; larger requests run where they
/// arrived.
pub(crate) const MAX_MOVED_BODY_BYTES: usize = 256 * 1024;

/// A request that one agent asks another to run.
#[derive(Debug, Clone)]
pub(crate) struct PeerRequest {
    pub(crate) service: ServiceId,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) timeout_ms: u32,
}

/// The peer's answer to a [`PeerRequest`].
#[derive(Debug, Clone)]
pub(crate) struct PeerAnswer {
    pub(crate) code: Code,
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) retry_after_ms: u32,
}
