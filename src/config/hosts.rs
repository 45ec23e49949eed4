//! The platform's list of hosts, which lags behind the actual state of the hosts.

use std::net::Ipv4Addr;

use serde::Serialize;

use crate::code::Code;
use crate::config::table;
use crate::error::{Error, Result};

/// The first line of the host list.
pub const HOSTS_HEADER: &str = "host,zone,role,state";

/// The role of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// An entry host runs a balancer.
    Entry,
    /// A backend server host runs an agent.
    Backend,
}

/// Whether the platform keeps a host in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is up, but is being taken out of service.
    Leaving,
}

/// A host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Host {
    /// The address, which identifies the host.
    pub address: Ipv4Addr,
    /// The availability zone.
    pub zone: String,
    /// What runs on the host.
    pub role: HostRole,
    /// Whether the host stays in service.
    pub state: HostState,
}

/// All hosts, sorted by address.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct HostList {
    hosts: Vec<Host>,
}

impl HostList {
    /// Parses the published list.
    ///
    /// # Errors
    ///
    /// Returns code 2101 with the malformed line or the duplicate host.
    pub fn parse(text: &str) -> Result<HostList> {
        let mut lines = text.lines().enumerate();
        match lines.next() {
            Some((_, HOSTS_HEADER)) => {}
            _ => return Err(syntax(0, HOSTS_HEADER)),
        }
        let rows = lines.filter(|(_, line)| !line.trim().is_empty());
        let hosts = rows.map(|(index, line)| parse_host(index, line));
        let mut hosts = hosts.collect::<Result<Vec<Host>>>()?;
        hosts.sort_by_key(|host| host.address);
        if let Some(pair) = hosts.windows(2).find(|w| w[0].address == w[1].address) {
            let message = format!("host {} is listed twice", pair[0].address);
            return Err(Error::new(Code::HostsSyntax, message));
        }
        Ok(HostList { hosts })
    }

    /// Creates a list from single hosts; of several with one address, the first is kept.
    pub(crate) fn from_hosts(mut hosts: Vec<Host>) -> HostList {
        hosts.sort_by_key(|host| host.address);
        hosts.dedup_by_key(|host| host.address);
        HostList { hosts }
    }

    /// Returns all hosts, sorted by address.
    pub fn all(&self) -> &[Host] {
        &self.hosts
    }

    /// Returns the host with this address.
    pub fn get(&self, address: Ipv4Addr) -> Option<&Host> {
        let index = self
            .hosts
            .binary_search_by_key(&address, |host| host.address);
        index.ok().map(|index| &self.hosts[index])
    }

    /// Returns the hosts with this role, including leaving ones, which still run.
    pub fn with_role(&self, role: HostRole) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(move |host| host.role == role)
    }
}

fn syntax(index: usize, line: &str) -> Error {
    Error::new(Code::HostsSyntax, format!("line {}: {line:?}", index + 1))
}

fn parse_host(index: usize, line: &str) -> Result<Host> {
    let fields: Vec<&str> = line.split(',').map(str::trim).collect();
    let &[address, zone, role, state] = fields.as_slice() else {
        return Err(syntax(index, line));
    };
    let role = match role {
        "entry" => HostRole::Entry,
        "backend" => HostRole::Backend,
        _ => return Err(syntax(index, line)),
    };
    let state = match state {
        "live" => HostState::Live,
        "leaving" => HostState::Leaving,
        _ => return Err(syntax(index, line)),
    };
    if !table::is_valid_name(zone) {
        return Err(syntax(index, line));
    }
    Ok(Host {
        address: address.parse().map_err(|_| syntax(index, line))?,
        zone: zone.to_owned(),
        role,
        state,
    })
}
