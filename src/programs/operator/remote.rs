//! The commands that read the state of processes over control links.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;

use serde_json::Value;

use crate::code::Code;
use crate::config::config_store::HOSTS_NAME;
use crate::config::hosts::HostList;
use crate::config::platform;
use crate::config::settings::Settings;
use crate::error::{Error, Result};
use crate::links::peer_client::PeerClient;
use crate::process::metrics::Metrics;
use crate::programs::operator::host_states::HostStates;
use crate::programs::operator::{StateOptions, StatusOptions, status};
use crate::programs::state_view;

fn load_settings(path: Option<&PathBuf>) -> Result<Settings> {
    let missing = || Error::new(Code::Usage, "name a settings file with --settings FILE");
    Settings::load(path.ok_or_else(missing)?)
}

/// Creates a client for control links with the cluster key and port of the settings.
fn peer_client(settings: &Settings) -> PeerClient {
    let metrics = Rc::new(Metrics::default());
    PeerClient::new(
        Ipv4Addr::UNSPECIFIED,
        &settings.cluster_key,
        settings.control_port,
        &metrics,
    )
}

/// Returns the whole state of one process, as text or JSON.
pub(crate) fn state_command(options: &StateOptions) -> Result<String> {
    let &[address] = options.address.as_slice() else {
        return Err(Error::new(Code::Usage, "state ADDRESS"));
    };
    let settings = load_settings(options.settings.as_ref())?;
    let runtime = compio::runtime::Runtime::new()?;
    let peers = peer_client(&settings);
    let json = runtime.block_on(peers.state(address))?;
    if options.json {
        return Ok(json + "\n");
    }
    Ok(state_view::render(&parse_state(&json)?))
}

fn parse_state(json: &str) -> Result<Value> {
    let value = serde_json::from_str(json);
    value.map_err(|error| Error::new(Code::LinkClosed, error.to_string()))
}

/// Returns a summary of the state of all processes, as text or JSON.
pub(crate) fn status_command(options: &StatusOptions) -> Result<String> {
    let settings = load_settings(options.settings.as_ref())?;
    let runtime = compio::runtime::Runtime::new()?;
    let states = runtime.block_on(read_all_states(&settings))?;
    if options.json {
        let states: Vec<&Value> = states
            .iter()
            .filter_map(|(_, state)| state.as_ref())
            .collect();
        return Ok(serde_json::json!(states).to_string() + "\n");
    }
    Ok(status::render(&states))
}

/// Reads the state of every host of the host list, and of the hosts that these name in their states.
///
/// If the platform does not answer or keeps no list, the seeds take the place of the listed hosts.
async fn read_all_states(settings: &Settings) -> Result<HostStates> {
    let hosts = match platform::read_value(settings.platform, HOSTS_NAME).await {
        Ok((_, text)) => {
            let list = HostList::parse(&text)?;
            list.all().iter().map(|host| host.address).collect()
        }
        Err(error) if settings.seeds.is_empty() => return Err(error),
        Err(_) => settings.seeds.clone(),
    };
    let peers = peer_client(settings);
    let mut states = read_states(&peers, hosts).await;
    let unread = unread_hosts(&states);
    states.extend(read_states(&peers, unread).await);
    states.sort_by_key(|(host, _)| *host);
    Ok(states)
}

/// Reads the states of hosts concurrently.
async fn read_states(peers: &PeerClient, hosts: Vec<Ipv4Addr>) -> HostStates {
    let read = |host| async move {
        let state = peers.state(host).await.and_then(|json| parse_state(&json));
        (host, state.ok())
    };
    futures_util::future::join_all(hosts.into_iter().map(read)).await
}

/// Returns the hosts that are named in `states` and are not in it themselves.
fn unread_hosts(states: &HostStates) -> Vec<Ipv4Addr> {
    let answered = states.iter().filter_map(|(_, state)| state.as_ref());
    let mut unread: Vec<Ipv4Addr> = answered.flat_map(named_hosts).collect();
    unread.retain(|host| states.iter().all(|(read, _)| read != host));
    unread.sort_unstable();
    unread.dedup();
    unread
}

/// Returns the hosts of the backend servers and control links in a state.
fn named_hosts(state: &Value) -> Vec<Ipv4Addr> {
    let backends = state["backends"].as_array().into_iter().flatten();
    let links = state["links"].as_array().into_iter().flatten();
    let address = |backend: &Value| {
        let address: SocketAddrV4 = backend["address"].as_str()?.parse().ok()?;
        Some(*address.ip())
    };
    let backend_hosts = backends.filter_map(address);
    let linked_hosts = links.filter_map(|host| host.as_str()?.parse().ok());
    backend_hosts.chain(linked_hosts).collect()
}
