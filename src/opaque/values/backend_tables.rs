//! Lookup tables over the backend servers that may hold flows, by service and by host.

use std::net::Ipv4Addr;

use crate::config::hash;
use crate::config::service_id::ServiceId;
use crate::config::table::{Table, TableRow};
use crate::opaque::values::published_entry::PublishedEntry;

/// The table of each service, and the availability zone and cold start of each host.
#[derive(Debug, Default)]
pub(crate) struct BackendTables {
    /// Sorted by service.
    tables: Vec<(ServiceId, Table)>,
    /// The availability zone of each host; sorted by host.
    zones: Vec<(Ipv4Addr, String)>,
    /// The end of the cold start of each host whose backend server was published as cold, in
    /// milliseconds; sorted by host.
    cold_hosts: Vec<(Ipv4Addr, u64)>,
}

impl BackendTables {
    /// Builds the tables from entries that are sorted by address, one for each address.
    pub(crate) fn build(
        current: &[&PublishedEntry],
        takes_flows: impl Fn(&PublishedEntry) -> bool,
    ) -> Self {
        let zone =
            |entry: &&PublishedEntry| (*entry.backend.address.ip(), entry.backend.zone.clone());
        let mut zones: Vec<(Ipv4Addr, String)> = current.iter().map(zone).collect();
        // A host may briefly have two entries with different ports; both have the host's zone.
        zones.dedup_by_key(|(host, _)| *host);
        let cold = current.iter().filter(|entry| entry.cold_until_ms > 0);
        let mut cold_hosts: Vec<(Ipv4Addr, u64)> = cold
            .map(|entry| (*entry.backend.address.ip(), entry.cold_until_ms))
            .collect();
        cold_hosts.dedup_by_key(|(host, _)| *host);
        Self {
            tables: tables(current, takes_flows),
            zones,
            cold_hosts,
        }
    }

    /// Returns the table of a service.
    pub(crate) fn table(&self, service: ServiceId) -> Option<&Table> {
        let index = self.tables.binary_search_by_key(&service, |(id, _)| *id);
        index.ok().map(|index| &self.tables[index].1)
    }

    /// Returns whether a host is in an availability zone.
    pub(crate) fn is_in_zone(&self, host: Ipv4Addr, zone: &str) -> bool {
        let found = self.zones.binary_search_by_key(&host, |(host, _)| *host);
        found.is_ok_and(|index| self.zones[index].1 == zone)
    }

    /// Returns whether the backend server on a host is published as cold.
    pub(crate) fn is_cold(&self, host: Ipv4Addr, now_ms: u64) -> bool {
        let found = self
            .cold_hosts
            .binary_search_by_key(&host, |(host, _)| *host);
        found.is_ok_and(|index| now_ms < self.cold_hosts[index].1)
    }
}

fn tables(
    current: &[&PublishedEntry],
    takes_flows: impl Fn(&PublishedEntry) -> bool,
) -> Vec<(ServiceId, Table)> {
    let mut tables: Vec<(ServiceId, Table)> = Vec::new();
    for entry in current {
        let service = entry.backend.service;
        let found = tables.binary_search_by_key(&service, |(id, _)| *id);
        let index = found.unwrap_or_else(|index| {
            tables.insert(index, (service, Table::unnamed()));
            index
        });
        let rows = &mut tables[index].1.rows;
        rows.push(row(entry, takes_flows(entry)));
    }
    for (_, table) in &mut tables {
        table.rows.sort_by(|a, b| a.target.cmp(&b.target));
    }
    tables
}

fn row(entry: &PublishedEntry, takes_flows: bool) -> TableRow {
    let weight = if takes_flows { entry.backend.slots } else { 0 };
    let host = *entry.backend.address.ip();
    TableRow {
        // Hash the host instead of the id: a process without a configuration does not know the id.
        target_hash: hash::host_hash(host),
        target: entry.id.clone(),
        host,
        backend: entry.backend.address.into(),
        weight,
        slots: entry.backend.slots,
        connections: u32::MAX,
    }
}
