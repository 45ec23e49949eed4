//! The headers by which a caller says how its request may be treated; the contract is in
//! docs/CALLERS.md.

use http::{HeaderMap, Method};

use crate::code::Code;
use crate::config::hash;
use crate::config::sealed_id::{SEALED_ID_BYTES, SealedBytes};
use crate::error::{Error, Result};

/// The header with the remaining time of a request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "request-timeout-ms";
/// The header that states whether a request may be repeated: `yes` or `no`.
pub const REPEATABLE_HEADER: &str = "endivedyke-repeatable";
/// The header with a ticket, in requests and in answers.
pub const TICKET_HEADER: &str = "endivedyke-ticket";
/// The header with the number of the result code.
pub const CODE_HEADER: &str = "endivedyke-code";
/// The timeout of a request that names none, in milliseconds.
pub(crate) const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// The longest timeout that a request may name, in milliseconds.
pub(crate) const MAX_TIMEOUT_MS: u64 = 3_600_000;

const FEED_CONTENT_TYPE: &str = "text/event-stream";

/// The treatment that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSpec {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether the request is a feed, which stays open, holds no slot and has no deadline.
    pub is_feed: bool,
    /// The remaining time, in milliseconds.
    pub timeout_ms: u64,
    /// The ticket that was sent with the request.
    pub ticket: Option<SealedBytes>,
    /// The hash that binds a ticket to this request.
    pub digest: u64,
}

impl RequestSpec {
    /// Parses a request's method, path and headers.
    ///
    /// # Errors
    ///
    /// Returns code 1008 for a malformed header.
    pub fn parse(method: &Method, path: &str, headers: &HeaderMap) -> Result<RequestSpec> {
        let accepts_feed =
            header(headers, "accept").is_some_and(|accept| accept.contains(FEED_CONTENT_TYPE));
        Ok(RequestSpec {
            is_repeatable: parse_repeatable(method, headers)?,
            is_feed: accepts_feed && method == Method::GET,
            timeout_ms: parse_timeout_ms(headers)?,
            ticket: parse_ticket(headers)?,
            digest: digest(method.as_str(), path, headers),
        })
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn malformed(name: &str, value: &str) -> Error {
    Error::new(Code::BadRequest, format!("{name}: {value:?}"))
}

fn parse_repeatable(method: &Method, headers: &HeaderMap) -> Result<bool> {
    match header(headers, REPEATABLE_HEADER) {
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(other) => Err(malformed(REPEATABLE_HEADER, other)),
        None => Ok(method.is_idempotent()),
    }
}

fn parse_timeout_ms(headers: &HeaderMap) -> Result<u64> {
    let Some(value) = header(headers, TIMEOUT_HEADER) else {
        return Ok(DEFAULT_TIMEOUT_MS);
    };
    let timeout_ms: Option<u64> = value.parse().ok();
    timeout_ms
        .filter(|timeout_ms| *timeout_ms <= MAX_TIMEOUT_MS)
        .ok_or_else(|| malformed(TIMEOUT_HEADER, value))
}

fn parse_ticket(headers: &HeaderMap) -> Result<Option<SealedBytes>> {
    let Some(value) = header(headers, TICKET_HEADER) else {
        return Ok(None);
    };
    let mut bytes = [0; SEALED_ID_BYTES];
    hex::decode_to_slice(value, &mut bytes).map_err(|_| malformed(TICKET_HEADER, value))?;
    Ok(Some(bytes))
}

/// Returns the hash of the method, path and content length. The body is not hashed, since it may be
/// streamed.
///
/// A request that a peer forwards has the same hash, so that its ticket is bound to it there too.
pub(crate) fn digest(method: &str, path: &str, headers: &HeaderMap) -> u64 {
    let length = header(headers, "content-length").unwrap_or("");
    hash::bytes_hash(format!("{method} {path} {length}").as_bytes())
}
