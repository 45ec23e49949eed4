//! The state dumps of several hosts.

use std::net::Ipv4Addr;

use serde_json::Value;

/// The state dump of each host as JSON, or `None` if the host did not answer.
pub(crate) type HostStates = Vec<(Ipv4Addr, Option<Value>)>;
