//! The published cold starts: how many new flows the backend servers of a service take while they
//! are cold.

use crate::code::Code;
use crate::config::service_id::ServiceId;
use crate::error::{Error, Result};

/// The name of the published cold starts.
///
/// They are a value of their own, so that older versions, which do not know them, can still read
/// the services.
pub const COLD_STARTS_NAME: &str = "cold-starts";

/// The cold start of a service's backend servers, as operators configure it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// The service.
    pub service: ServiceId,
    /// The time that a backend server is cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// The rate of new flows that a cold backend server takes, per second.
    pub flows_per_s: f64,
}

/// Returns the published line of a service's cold start.
pub fn cold_start_line(service: &str, cold_ms: u64, flows_per_s: f64) -> String {
    format!("{service},{cold_ms},{flows_per_s}\n")
}

/// Parses the published cold starts, one service per line.
///
/// # Errors
///
/// Returns code 2404 with the malformed line.
pub fn parse_cold_starts(text: &str) -> Result<Vec<ColdStart>> {
    let mut starts = Vec::new();
    for line in text.lines() {
        let malformed = || Error::new(Code::ColdStartSyntax, format!("{line:?}"));
        starts.push(parse_cold_start(line).ok_or_else(malformed)?);
    }
    starts.sort_by_key(|start: &ColdStart| start.service);
    Ok(starts)
}

fn parse_cold_start(line: &str) -> Option<ColdStart> {
    let mut fields = line.rsplitn(3, ',');
    let flows_per_s: f64 = fields.next()?.parse().ok()?;
    let cold_ms = fields.next()?.parse().ok()?;
    let service = ServiceId::from_name(fields.next()?);
    let is_rate = flows_per_s.is_finite() && flows_per_s > 0.0;
    is_rate.then_some(ColdStart {
        service,
        cold_ms,
        flows_per_s,
    })
}
