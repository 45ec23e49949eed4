//! Compares the flows of backend servers with their shares, for each service of opaque flows.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde_json::Value;

use crate::programs::operator::host_states::HostStates;
use crate::programs::state_view::{format_inline, table_row};

/// The load of a backend server, from the state of its agent.
#[derive(Debug, Clone, PartialEq)]
struct ServerLoad {
    service: String,
    host: Ipv4Addr,
    slots: f64,
    flows: f64,
}

/// Returns a table with a row for each service and its busiest and least busy backend server.
///
/// Busy is relative to the share of a server, which follows from its slots. A server that gets far more than its
/// share while the load is low shows up here before its callers notice.
pub(crate) fn rows(states: &HostStates) -> Vec<Vec<String>> {
    let mut rows = vec![table_row(&[
        "service", "servers", "flows", "busiest", "of share", "least", "of share",
    ])];
    let servers = server_loads(states);
    for of_service in servers.chunk_by(|one, other| one.service == other.service) {
        rows.push(service_row(of_service));
    }
    rows
}

fn service_row(servers: &[ServerLoad]) -> Vec<String> {
    let flows: f64 = servers.iter().map(|server| server.flows).sum();
    let slots: f64 = servers.iter().map(|server| server.slots).sum();
    let flows_per_share = |server: &ServerLoad| server.flows * slots / (flows * server.slots);
    let by_flows_per_share = |one: &&ServerLoad, other: &&ServerLoad| {
        flows_per_share(one).total_cmp(&flows_per_share(other))
    };
    let mut row = vec![
        servers[0].service.clone(),
        servers.len().to_string(),
        flows.to_string(),
    ];
    let extremes = [
        servers.iter().max_by(by_flows_per_share),
        servers.iter().min_by(by_flows_per_share),
    ];
    for server in extremes.into_iter().flatten() {
        let flows_per_share_text = if flows > 0.0 {
            format!("{:.2}", flows_per_share(server))
        } else {
            "-".to_owned()
        };
        row.extend([server.host.to_string(), flows_per_share_text]);
    }
    row
}

/// Returns the loads of the backend servers whose agents answered, sorted by service and host.
fn server_loads(states: &HostStates) -> Vec<ServerLoad> {
    let answered = states
        .iter()
        .filter_map(|(host, state)| Some((*host, state.as_ref()?)));
    let agents = answered.filter(|(_, state)| state["role"] == "agent");
    let mut servers: Vec<ServerLoad> = agents
        .filter_map(|(host, state)| {
            let entries = state["backends"].as_array()?;
            let entry = entries
                .iter()
                .find(|entry| entry_host(entry) == Some(host.into()))?;
            Some(ServerLoad {
                service: format_inline(&entry["service"]),
                host,
                slots: format_inline(&entry["slots"]).parse().ok()?,
                flows: state["opaque"]["flows_open"].as_f64()?,
            })
        })
        .collect();
    servers.sort_by(|one, other| (&one.service, one.host).cmp(&(&other.service, other.host)));
    servers
}

/// Returns the host in the address of a published entry.
fn entry_host(entry: &Value) -> Option<IpAddr> {
    let address: SocketAddr = entry["address"].as_str()?.parse().ok()?;
    Some(address.ip())
}
