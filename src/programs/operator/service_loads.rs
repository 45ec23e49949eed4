//! How the flows of each service of opaque flows are spread over its backend servers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde_json::Value;

use crate::programs::operator::host_states::HostStates;
use crate::programs::state_view::{cells, scalar};

/// One backend server as its agent and the published entries tell of it.
#[derive(Debug, Clone, PartialEq)]
struct Server {
    service: String,
    host: Ipv4Addr,
    slots: f64,
    flows: f64,
}

/// Lays out a row for each service, with the backend servers that have most and least beside their shares.
///
/// A share is by slots. A server at night that gets far more than its share is seen here before its callers see it.
pub(crate) fn rows(states: &HostStates) -> Vec<Vec<String>> {
    let mut rows = vec![cells(&[
        "service", "servers", "flows", "busiest", "of share", "least", "of share",
    ])];
    let servers = servers(states);
    for of_service in servers.chunk_by(|one, other| one.service == other.service) {
        rows.push(row(of_service));
    }
    rows
}

fn row(servers: &[Server]) -> Vec<String> {
    let flows: f64 = servers.iter().map(|server| server.flows).sum();
    let slots: f64 = servers.iter().map(|server| server.slots).sum();
    let of_share = |server: &Server| server.flows * slots / (flows * server.slots);
    let by_share = |one: &&Server, other: &&Server| of_share(one).total_cmp(&of_share(other));
    let mut row = vec![
        servers[0].service.clone(),
        servers.len().to_string(),
        flows.to_string(),
    ];
    let ends = [
        servers.iter().max_by(by_share),
        servers.iter().min_by(by_share),
    ];
    for server in ends.into_iter().flatten() {
        let share = if flows > 0.0 {
            format!("{:.2}", of_share(server))
        } else {
            "-".to_owned()
        };
        row.extend([server.host.to_string(), share]);
    }
    row
}

/// Returns the backend servers whose agents answered, sorted by service.
fn servers(states: &HostStates) -> Vec<Server> {
    let answered = states
        .iter()
        .filter_map(|(host, state)| Some((*host, state.as_ref()?)));
    let agents = answered.filter(|(_, state)| state["role"] == "agent");
    let mut servers: Vec<Server> = agents
        .filter_map(|(host, state)| {
            let entries = state["backends"].as_array()?;
            let entry = entries
                .iter()
                .find(|entry| host_of(entry) == Some(host.into()))?;
            Some(Server {
                service: scalar(&entry["service"]),
                host,
                slots: scalar(&entry["slots"]).parse().ok()?,
                flows: state["opaque"]["flows_open"].as_f64()?,
            })
        })
        .collect();
    servers.sort_by(|one, other| (&one.service, one.host).cmp(&(&other.service, other.host)));
    servers
}

/// Returns the host of a published entry.
fn host_of(entry: &Value) -> Option<IpAddr> {
    let address: SocketAddr = entry["address"].as_str()?.parse().ok()?;
    Some(address.ip())
}
