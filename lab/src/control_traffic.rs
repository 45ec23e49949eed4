//! What a daemon has sent and received over its control links so far.

use std::net::Ipv4Addr;

use endivedyke::Result;

use crate::site::Site;

/// Bytes both ways, and calls made.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ControlTraffic {
    pub(crate) bytes: f64,
    pub(crate) calls: f64,
}

/// Reads the counts of the daemon on `host`.
pub(crate) async fn read(site: &Site, host: Ipv4Addr) -> Result<ControlTraffic> {
    let names = [
        "control_bytes_sent_total",
        "control_bytes_received_total",
        "control_calls_total",
    ];
    let [sent, received, calls] = site.metrics(host, names).await?;
    Ok(ControlTraffic {
        bytes: sent + received,
        calls,
    })
}
