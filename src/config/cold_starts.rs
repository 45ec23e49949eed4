//! How many new flows the backend servers of each service bear while they are cold, as published.

use crate::code::Code;
use crate::config::service_id::ServiceId;
use crate::error::{Error, Result};

/// The name of the published cold starts.
///
/// They are a value of their own, so that a process that does not know them reads the services as before.
pub const COLD_STARTS_NAME: &str = "cold-starts";

/// What operators tell of the cold start of a service's backend servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// The service.
    pub service: ServiceId,
    /// For how long a backend server is cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// How many new flows it bears a second meanwhile.
    pub flows_per_s: f64,
}

/// Returns the published line of one service.
pub fn cold_start_line(service: &str, cold_ms: u64, flows_per_s: f64) -> String {
    format!("{service},{cold_ms},{flows_per_s}\n")
}

/// Parses the published cold starts: a service a line.
///
/// # Errors
///
/// Returns code 2404 with the line at fault.
pub fn parse_cold_starts(text: &str) -> Result<Vec<ColdStart>> {
    let mut starts = Vec::new();
    for line in text.lines() {
        let malformed = || Error::new(Code::ColdStartSyntax, format!("{line:?}"));
        starts.push(cold_start(line).ok_or_else(malformed)?);
    }
    starts.sort_by_key(|start: &ColdStart| start.service);
    Ok(starts)
}

fn cold_start(line: &str) -> Option<ColdStart> {
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
