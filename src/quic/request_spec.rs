//! What a caller's request says about itself; the contract is in docs/CALLERS.md.

use http::{HeaderMap, Method};

use crate::code::Code;
use crate::config::hash;
use crate::config::sealed_id::{SEALED_ID_BYTES, SealedBytes};
use crate::error::{Error, Result};

/// The header with the time that a request has left, in milliseconds.
pub const TIMEOUT_HEADER: &str = "request-timeout-ms";
/// The header that says of any request whether it may be repeated: `yes` or `no`.
pub const REPEATABLE_HEADER: &str = "endivedyke-repeatable";
/// The header with a ticket, in requests and in answers.
pub const TICKET_HEADER: &str = "endivedyke-ticket";
/// The header with the number of the result code.
pub const CODE_HEADER: &str = "endivedyke-code";
/// The time that a request has where it names none, in milliseconds.
pub(crate) const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// The longest time that a request may ask for, in milliseconds.
pub(crate) const MAX_TIMEOUT_MS: u64 = 3_600_000;

const FEED_TYPE: &str = "text/event-stream";

/// A request's own account of how it may be treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSpec {
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// Whether it is a feed: it stays open, holds no slot and has no deadline.
    pub feed: bool,
    /// The time it has left, in milliseconds.
    pub timeout_ms: u64,
    /// The ticket it carries.
    pub ticket: Option<SealedBytes>,
    /// A hash by which a ticket is held to one request.
    pub digest: u64,
}

impl RequestSpec {
    /// Reads a request's method, path and headers.
    ///
    /// # Errors
    ///
    /// Returns code 1008 for a malformed header.
    pub fn parse(method: &Method, path: &str, headers: &HeaderMap) -> Result<RequestSpec> {
        let feed = header(headers, "accept").is_some_and(|accept| accept.contains(FEED_TYPE));
        Ok(RequestSpec {
            repeatable: repeatable(method, headers)?,
            feed: feed && method == Method::GET,
            timeout_ms: timeout_ms(headers)?,
            ticket: ticket(headers)?,
            digest: digest(method.as_str(), path, headers),
        })
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn bad(name: &str, value: &str) -> Error {
    Error::new(Code::BadRequest, format!("{name}: {value:?}"))
}

fn repeatable(method: &Method, headers: &HeaderMap) -> Result<bool> {
    match header(headers, REPEATABLE_HEADER) {
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(other) => Err(bad(REPEATABLE_HEADER, other)),
        None => Ok(method.is_idempotent()),
    }
}

fn timeout_ms(headers: &HeaderMap) -> Result<u64> {
    let Some(value) = header(headers, TIMEOUT_HEADER) else {
        return Ok(DEFAULT_TIMEOUT_MS);
    };
    let timeout_ms: Option<u64> = value.parse().ok();
    timeout_ms
        .filter(|timeout_ms| *timeout_ms <= MAX_TIMEOUT_MS)
        .ok_or_else(|| bad(TIMEOUT_HEADER, value))
}

fn ticket(headers: &HeaderMap) -> Result<Option<SealedBytes>> {
    let Some(value) = header(headers, TICKET_HEADER) else {
        return Ok(None);
    };
    let mut bytes = [0; SEALED_ID_BYTES];
    hex::decode_to_slice(value, &mut bytes).map_err(|_| bad(TICKET_HEADER, value))?;
    Ok(Some(bytes))
}

/// Hashes what names the request; the body is left out, since it may be a stream.
///
/// A request that a peer passes on hashes to the same, so that its ticket is held to it there too.
pub(crate) fn digest(method: &str, path: &str, headers: &HeaderMap) -> u64 {
    let length = header(headers, "content-length").unwrap_or("");
    hash::bytes_hash(format!("{method} {path} {length}").as_bytes())
}
