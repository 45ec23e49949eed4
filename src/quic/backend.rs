//! Requests to the backend server over HTTP/1.1.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;

use crate::error::Error;
use crate::process::http_client;
use crate::quic::request_spec::{CODE_HEADER, REPEATABLE_HEADER, TICKET_HEADER, TIMEOUT_HEADER};

/// The body of a request to the backend server.
pub(crate) type RequestBody = UnsyncBoxBody<Bytes, Error>;

/// Headers that are not forwarded: those of a single connection, and those of the contract between
/// callers and agents.
const DROPPED_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    CODE_HEADER,
    REPEATABLE_HEADER,
    TICKET_HEADER,
    TIMEOUT_HEADER,
];

/// The reason why a backend server gave no answer.
#[derive(Debug)]
pub(crate) enum BackendFailure {
    /// The request was not sent.
    NotSent,
    /// The connection was lost after the request was sent.
    Lost,
}

/// Returns the headers that are forwarded, in either direction.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let is_forwarded = |name: &HeaderName| !DROPPED_HEADERS.contains(&name.as_str());
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// A request to send to the backend server.
pub(crate) struct BackendRequest<'a> {
    pub(crate) method: &'a Method,
    pub(crate) path: &'a str,
    pub(crate) headers: &'a HeaderMap,
    pub(crate) body: RequestBody,
    pub(crate) remaining_ms: Option<u64>,
}

/// Sends a request to the backend server and returns the head of its answer.
pub(crate) async fn send(
    address: SocketAddr,
    request: BackendRequest<'_>,
) -> Result<Response<Incoming>, BackendFailure> {
    let request = build(address, request).ok_or(BackendFailure::NotSent)?;
    let connected = http_client::connect(address).await;
    let mut sender = connected.map_err(|_| BackendFailure::NotSent)?;
    let response = sender.send_request(request).await;
    response.map_err(|_| BackendFailure::Lost)
}

fn build(address: SocketAddr, request: BackendRequest<'_>) -> Option<Request<RequestBody>> {
    let mut built = Request::builder()
        .method(request.method)
        .uri(request.path)
        .body(request.body)
        .ok()?;
    let headers = built.headers_mut();
    *headers = forwarded_headers(request.headers);
    headers.insert(HOST, address.to_string().parse().ok()?);
    if let Some(remaining_ms) = request.remaining_ms {
        headers.insert(TIMEOUT_HEADER, remaining_ms.into());
    }
    Some(built)
}

/// Returns whether the backend server shed the request without running it: 503 with Retry-After.
pub(crate) fn is_shed(response: &Response<Incoming>) -> bool {
    let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    is_unavailable && response.headers().contains_key(RETRY_AFTER)
}
