//! The platform's configuration service, which can be read and watched and nothing else.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Response;

use crate::code::Code;
use crate::config::revision::Revision;
use crate::error::{Error, Result};
use crate::process::http_client;

/// How long the service may take to answer, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_500;
/// The header that carries a revision; see docs/PLATFORM.md.
const REVISION_HEADER: &str = "revision";
/// The header that tells how often the service has come back from an older copy; without it, never.
const ERA_HEADER: &str = "era";

/// Names and revisions that changed, and the highest revision that the service knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformChanges {
    /// The highest revision.
    pub highest: Revision,
    /// Each changed value's name and revision.
    pub entries: Vec<(String, Revision)>,
}

/// Reads one value and its revision.
///
/// # Errors
///
/// Returns code 5002 where the service does not answer as documented.
pub async fn read_value(address: SocketAddr, name: &str) -> Result<(Revision, String)> {
    let path = format!("/values/{name}");
    let response = ask(address, &path, READ_TIMEOUT_MS).await?;
    let revision = revision(&response)?;
    let text = String::from_utf8(response.into_body().to_vec());
    let text = text.map_err(|_| silent("the value is not UTF-8"))?;
    Ok((revision, text))
}

/// Waits up to `wait_ms` for values with a revision above `since`.
///
/// # Errors
///
/// Returns code 5002 where the service does not answer as documented.
pub async fn watch(address: SocketAddr, since: Revision, wait_ms: u64) -> Result<PlatformChanges> {
    let since = since.number();
    let path = format!("/changes?since={since}&wait_ms={wait_ms}");
    let response = ask(address, &path, wait_ms + READ_TIMEOUT_MS).await?;
    let highest = revision(&response)?;
    let body = String::from_utf8_lossy(response.body()).into_owned();
    let entries = body.lines().map(|line| parse_entry(line, highest.era()));
    let entries = entries.collect::<Result<_>>()?;
    Ok(PlatformChanges { highest, entries })
}

async fn ask(address: SocketAddr, path: &str, timeout_ms: u64) -> Result<Response<Bytes>> {
    let response = http_client::get(address, path, timeout_ms).await;
    let response = response.map_err(|error| silent(&error.message))?;
    if !response.status().is_success() {
        return Err(silent(&format!("{path}: status {}", response.status())));
    }
    Ok(response)
}

fn revision(response: &Response<Bytes>) -> Result<Revision> {
    let header = |name: &str| response.headers().get(name);
    let number = |name: &str| header(name)?.to_str().ok()?.parse().ok();
    let era = match header(ERA_HEADER) {
        None => Some(0),
        Some(_) => number(ERA_HEADER),
    };
    let revision = era.zip(number(REVISION_HEADER));
    let revision = revision.and_then(|(era, number)| Revision::new(era, number));
    revision.ok_or_else(|| silent("no revision header, or one that is no number"))
}

fn parse_entry(line: &str, era: u64) -> Result<(String, Revision)> {
    let entry = line.rsplit_once(' ').and_then(|(name, number)| {
        let revision = Revision::new(era, number.parse().ok()?)?;
        Some((name.to_owned(), revision))
    });
    entry.ok_or_else(|| silent(&format!("line {line:?}")))
}

fn silent(what: &str) -> Error {
    Error::new(Code::PlatformSilent, what)
}
