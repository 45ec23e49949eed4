//! The traffic of a daemon's control links since its start.

use std::net::Ipv4Addr;

use endivedyke::Result;

use crate::site::Site;

/// Bytes sent and received, and calls made.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ControlTraffic {
    pub(crate) bytes: f64,
    pub(crate) calls: f64,
}

/// Reads the control traffic of the daemon on `host` from its metrics.
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
