//! Requests and answers on their way between agents of one service.

use bytes::Bytes;
use http::HeaderMap;

use crate::code::Code;
use crate::config::service_id::ServiceId;

/// The largest body that is handed to a peer, in bytes; larger requests run where they arrived.
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

/// What came of it.
#[derive(Debug, Clone)]
pub(crate) struct PeerAnswer {
    pub(crate) code: Code,
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) retry_after_ms: u32,
}
