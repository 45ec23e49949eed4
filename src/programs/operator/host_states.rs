//! What hosts answered when they were asked for their states.

use std::net::Ipv4Addr;

use serde_json::Value;

/// What each host answered; nothing where it was silent.
pub(crate) type HostStates = Vec<(Ipv4Addr, Option<Value>)>;
