//! A request to the backend server, which speaks HTTP/1.1.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;

use crate::error::Error;
use crate::process::http_client;
use crate::quic::request_spec::{CODE_HEADER, REPEATABLE_HEADER, TICKET_HEADER, TIMEOUT_HEADER};

/// The body of a request on its way to the backend server.
pub(crate) type RequestBody = UnsyncBoxBody<Bytes, Error>;

/// Headers that concern one connection or our own contract and are not passed on.
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

/// Why there is no answer.
#[derive(Debug)]
pub(crate) enum BackendFailure {
    /// The request was never handed over.
    NotHandedOver,
    /// The connection was lost after the request was handed over.
    Lost,
}

/// Returns the headers that go on, in either direction.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let passes = |name: &HeaderName| !DROPPED_HEADERS.contains(&name.as_str());
    let kept = headers.iter().filter(|(name, _)| passes(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// A request as the backend server is to see it.
pub(crate) struct BackendRequest<'a> {
    pub(crate) method: &'a Method,
    pub(crate) path: &'a str,
    pub(crate) headers: &'a HeaderMap,
    pub(crate) body: RequestBody,
    pub(crate) left_ms: Option<u64>,
}

/// Hands a request to the backend server and returns the head of its answer.
pub(crate) async fn send(
    address: SocketAddr,
    request: BackendRequest<'_>,
) -> Result<Response<Incoming>, BackendFailure> {
    let request = build(address, request).ok_or(BackendFailure::NotHandedOver)?;
    let connected = http_client::connect(address).await;
    let mut sender = connected.map_err(|_| BackendFailure::NotHandedOver)?;
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
    if let Some(left_ms) = request.left_ms {
        headers.insert(TIMEOUT_HEADER, left_ms.into());
    }
    Some(built)
}

/// Tells whether the backend server says that it shed the request unrun: 503 with Retry-After.
pub(crate) fn is_shed(response: &Response<Incoming>) -> bool {
    let unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    unavailable && response.headers().contains_key(RETRY_AFTER)
}
