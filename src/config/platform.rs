//! A client of the platform's configuration service, which can only be read and watched.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Response;

use crate::code::Code;
use crate::config::revision::Revision;
use crate::error::{Error, Result};
use crate::process::http_client;

/// The timeout of a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_500;
/// The header that carries a revision; see docs/PLATFORM.md.
const REVISION_HEADER: &str = "revision";
/// The header that counts how often the service was restored from an older copy; absent for none.
const ERA_HEADER: &str = "era";

/// The changed values, and the highest revision of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformChanges {
    /// The highest revision.
    pub highest: Revision,
    /// The name and revision of each changed value.
    pub entries: Vec<(String, Revision)>,
}

/// Reads a value and its revision.
///
/// # Errors
///
/// Returns code 5002 if the service does not answer, or not as documented.
pub async fn read_value(address: SocketAddr, name: &str) -> Result<(Revision, String)> {
    let path = format!("/values/{name}");
    let response = get(address, &path, READ_TIMEOUT_MS).await?;
    let revision = read_revision(&response)?;
    let text = String::from_utf8(response.into_body().to_vec());
    let text = text.map_err(|_| platform_silent("the value is not UTF-8"))?;
    Ok((revision, text))
}

/// Waits up to `wait_ms` for values with a revision above `since`.
///
/// # Errors
///
/// Returns code 5002 if the service does not answer, or not as documented.
pub async fn watch(address: SocketAddr, since: Revision, wait_ms: u64) -> Result<PlatformChanges> {
    let since = since.number();
    let path = format!("/changes?since={since}&wait_ms={wait_ms}");
    let response = get(address, &path, wait_ms + READ_TIMEOUT_MS).await?;
    let highest = read_revision(&response)?;
    let body = String::from_utf8_lossy(response.body()).into_owned();
    let entries = body.lines().map(|line| parse_entry(line, highest.era()));
    let entries = entries.collect::<Result<_>>()?;
    Ok(PlatformChanges { highest, entries })
}

async fn get(address: SocketAddr, path: &str, timeout_ms: u64) -> Result<Response<Bytes>> {
    let response = http_client::get(address, path, timeout_ms).await;
    let response = response.map_err(|error| platform_silent(&error.message))?;
    if !response.status().is_success() {
        return Err(platform_silent(&format!(
            "{path}: status {}",
            response.status()
        )));
    }
    Ok(response)
}

fn read_revision(response: &Response<Bytes>) -> Result<Revision> {
    let header = |name: &str| response.headers().get(name);
    let number = |name: &str| header(name)?.to_str().ok()?.parse().ok();
    let era = match header(ERA_HEADER) {
        None => Some(0),
        Some(_) => number(ERA_HEADER),
    };
    let revision = era.zip(number(REVISION_HEADER));
    let revision = revision.and_then(|(era, number)| Revision::new(era, number));
    revision.ok_or_else(|| {
        platform_silent(&format!(
            "the {REVISION_HEADER} or {ERA_HEADER} header is missing, not a number or too large"
        ))
    })
}

fn parse_entry(line: &str, era: u64) -> Result<(String, Revision)> {
    let entry = line.rsplit_once(' ').and_then(|(name, number)| {
        let revision = Revision::new(era, number.parse().ok()?)?;
        Some((name.to_owned(), revision))
    });
    entry.ok_or_else(|| platform_silent(&format!("malformed line {line:?}")))
}

fn platform_silent(what: &str) -> Error {
    Error::new(Code::PlatformSilent, what)
}
