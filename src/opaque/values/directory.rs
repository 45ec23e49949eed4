//! The published backend servers as a process that routes flows sees them.

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::code::Code;
use crate::config::backend_entry::{Backend, BackendState, BackendValue};
use crate::config::cold_starts::ColdStart;
use crate::config::deadlines::Deadline;
use crate::config::hash;
use crate::config::hosts::{Host, HostList, HostRole, HostState};
use crate::config::revision::Revision;
use crate::config::route_table::RouteTable;
use crate::config::service_id::ServiceId;
use crate::config::table::{Row, Table};
use crate::opaque::packets::segment::FlowKey;
use crate::opaque::values::backend_change::BackendChange;
use crate::opaque::values::own_backend::OwnBackend;
use crate::opaque::values::published_entry::{Gone, LAPSE_MS, PublishedEntry, REMEMBER_GONE_MS};

/// Backend servers sorted by id, a table for each service, and the routes.
#[derive(Debug, Default)]
pub struct Directory {
    entries: Vec<PublishedEntry>,
    tables: Vec<(ServiceId, Table)>,
    routes: RouteTable,
    /// The services that operators named, sorted; none where that is not known.
    services: Option<Vec<ServiceId>>,
    /// The availability zones that operators evacuated, sorted.
    evacuated_zones: Vec<String>,
    /// What operators told of cold starts, sorted by service.
    cold_starts: Vec<ColdStart>,
    /// How long callers wait who have time for one attempt, sorted by the address that they call.
    deadlines: Vec<Deadline>,
    /// Until when the backend server on a host is cold, for those that were published as cold, sorted by host.
    cold_hosts: Vec<(Ipv4Addr, u64)>,
    /// Ids whose values name no backend server to use, sorted.
    unusable: Vec<String>,
    current_hosts: Vec<Ipv4Addr>,
    /// The availability zone of each host, sorted by host.
    zones: Vec<(Ipv4Addr, String)>,
    /// Hosts whose agents said that a backend server runs there which is not published, and when.
    unlisted: Vec<(Ipv4Addr, u64)>,
    /// The time up to which lapses have run; it stands still while values are old.
    clock_ms: u64,
    /// When the last of those that vanished without draining no longer comes back, by that clock.
    lapse_end_ms: u64,
}

impl Directory {
    /// Takes what is published of one backend server.
    pub fn apply(
        &mut self,
        id: &str,
        backend: Option<Backend>,
        revision: impl Into<Revision>,
        now_ms: u64,
    ) {
        let change = BackendChange {
            id,
            value: backend.into(),
            revision: revision.into(),
        };
        self.apply_all(vec![change], now_ms);
    }

    /// Takes what is published of backend servers.
    pub fn apply_all(&mut self, changes: Vec<BackendChange<'_>>, now_ms: u64) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.put(change, now_ms);
        }
        self.rebuild();
    }

    fn put(&mut self, change: BackendChange<'_>, now_ms: u64) {
        self.note_usable(&change);
        let found = self
            .entries
            .binary_search_by(|entry| entry.id.as_str().cmp(change.id));
        match (found, change.value.clone()) {
            (Ok(index), BackendValue::Published(backend)) => {
                self.entries[index].take(backend, change.revision, now_ms);
            }
            (Ok(index), BackendValue::Unusable(_)) => {
                let entry = &mut self.entries[index];
                entry.gone = None;
                entry.unusable_since_ms.get_or_insert(now_ms);
            }
            (Ok(index), BackendValue::Gone) => {
                let entry = &mut self.entries[index];
                let was_ready = entry.backend.state == BackendState::Ready;
                let was_usable = entry.unusable_since_ms.is_none();
                entry.gone.get_or_insert(Gone {
                    since_ms: now_ms,
                    was_ready,
                    was_usable,
                });
            }
            (Err(index), BackendValue::Published(backend)) => {
                let entry = PublishedEntry::new(change.id, backend, change.revision, now_ms);
                self.entries.insert(index, entry);
            }
            // Nothing is known of it: its host can't be asked, and its agent makes itself known.
            (Err(_), BackendValue::Unusable(_) | BackendValue::Gone) => {}
        }
    }

    /// Notes whether a value can be used; says so where that changed.
    fn note_usable(&mut self, change: &BackendChange<'_>) {
        let BackendChange {
            id,
            value,
            revision,
        } = change;
        let found = self
            .unusable
            .binary_search_by(|known| known.as_str().cmp(id));
        match (found, value) {
            (Err(index), BackendValue::Unusable(reason)) => {
                self.unusable.insert(index, (*id).to_owned());
                let code = Code::EntryUnusable.number();
                let reason = reason.word();
                log::warn!(
                    "event=entry_unusable id={id:?} revision={revision} code={code} reason={reason}"
                );
            }
            (Ok(index), BackendValue::Published(_) | BackendValue::Gone) => {
                self.unusable.remove(index);
                log::info!("event=entry_mended id={id:?} revision={revision}");
            }
            _ => {}
        }
    }

    /// Returns how many values name no backend server to use.
    pub fn unusable(&self) -> usize {
        self.unusable.len()
    }

    /// Takes the published routes.
    pub fn set_routes(&mut self, routes: RouteTable) {
        self.routes = routes;
    }

    /// Takes the services that operators named; a backend server of another one is not used.
    pub fn set_services(&mut self, mut services: Vec<ServiceId>) {
        services.sort_unstable();
        self.services = Some(services);
        self.rebuild();
    }

    /// Takes whether an availability zone is evacuated: its backend servers get no new flow, and keep those
    /// that they hold.
    ///
    /// Says so in the log where that changed. See docs/OPERATORS.md, "Empty a zone".
    pub fn set_evacuated(&mut self, zone: &str, is_evacuated: bool, revision: impl Into<Revision>) {
        let revision = revision.into();
        let found = self
            .evacuated_zones
            .binary_search_by(|known| known.as_str().cmp(zone));
        match (found, is_evacuated) {
            (Err(index), true) => self.evacuated_zones.insert(index, zone.to_owned()),
            (Ok(index), false) => {
                self.evacuated_zones.remove(index);
            }
            _ => return,
        }
        let event = if is_evacuated {
            "zone_evacuated"
        } else {
            "zone_taken_back"
        };
        let is_in_zone = |entry: &&PublishedEntry| entry.backend.zone == zone;
        let servers = self.entries.iter().filter(is_in_zone).count();
        log::info!("event={event} zone={zone:?} servers={servers} revision={revision}");
        self.rebuild();
    }

    /// Returns the availability zones that operators evacuated, in order of their names.
    pub fn evacuated_zones(&self) -> &[String] {
        &self.evacuated_zones
    }

    fn is_evacuated(&self, entry: &PublishedEntry) -> bool {
        let zone = entry.backend.zone.as_str();
        let found = self
            .evacuated_zones
            .binary_search_by(|known| known.as_str().cmp(zone));
        found.is_ok()
    }

    /// Takes what operators told of cold starts.
    pub fn set_cold_starts(&mut self, starts: Vec<ColdStart>) {
        self.cold_starts = starts;
    }

    /// Returns what operators told of the cold starts of a service's backend servers.
    pub fn cold_start(&self, service: ServiceId) -> Option<ColdStart> {
        let found = self
            .cold_starts
            .binary_search_by_key(&service, |start| start.service);
        found.ok().map(|index| self.cold_starts[index])
    }

    /// Takes how long callers wait.
    pub fn set_deadlines(&mut self, deadlines: Vec<Deadline>) {
        self.deadlines = deadlines;
    }

    /// Returns how long the callers of an address wait, if they have time for one attempt only.
    pub fn deadline(&self, called: SocketAddrV4) -> Option<Deadline> {
        let found = self
            .deadlines
            .binary_search_by_key(&called, |deadline| deadline.address);
        found.ok().map(|index| self.deadlines[index])
    }

    /// Tells whether the backend server on a host is published as cold.
    pub(crate) fn is_cold(&self, host: Ipv4Addr, now_ms: u64) -> bool {
        let found = self
            .cold_hosts
            .binary_search_by_key(&host, |(host, _)| *host);
        found.is_ok_and(|index| now_ms < self.cold_hosts[index].1)
    }

    /// Tells whether a service has no backend server for new flows because of evacuations: those that would take
    /// some are all in evacuated zones.
    ///
    /// That lasts for minutes, and no copy of an opener finds room meanwhile.
    pub fn is_evacuated_service(&self, service: ServiceId) -> bool {
        let of_service =
            |entry: &&PublishedEntry| entry.backend.service == service && self.is_named(entry);
        let entries = self.entries.iter().filter(of_service);
        let mut would_take = entries
            .filter(|entry| entry.takes_flows(self.clock_ms))
            .peekable();
        would_take.peek().is_some() && would_take.all(|entry| self.is_evacuated(entry))
    }

    /// Tells whether operators named the service of an entry.
    ///
    /// One that they did not name was written by another program. Believed, its entry would take the address
    /// of a backend server that serves, or add a host to those asked which never answers.
    fn is_named(&self, entry: &PublishedEntry) -> bool {
        let service = entry.backend.service;
        let named = |services: &Vec<ServiceId>| services.binary_search(&service).is_ok();
        self.services.as_ref().is_none_or(named)
    }

    /// Notes that a backend server runs on a host which is not published.
    ///
    /// Its entry may have lapsed before this process started, which then can't remember it.
    pub fn note_unlisted(&mut self, host: Ipv4Addr, now_ms: u64) {
        match self.unlisted.binary_search_by_key(&host, |(host, _)| *host) {
            Ok(index) => self.unlisted[index].1 = now_ms,
            Err(index) => {
                self.unlisted.insert(index, (host, now_ms));
                log::info!("event=unlisted_backend host={host}");
                self.rebuild();
            }
        }
    }

    /// Returns the routes.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the service that a flow goes to when it opens.
    pub(crate) fn service_of(&self, flow: &FlowKey) -> Option<ServiceId> {
        self.routes.get(flow.called)?.service(flow.hash())
    }

    /// Returns the table of the service that a flow goes to when it opens.
    pub(crate) fn table_of(&self, flow: &FlowKey) -> Option<&Table> {
        self.table(self.service_of(flow)?)
    }

    /// Lets what has vanished lapse, and forgets what vanished long ago.
    ///
    /// `clock_ms` is the time while values are new, and stands still while they are old: an entry that
    /// vanished can't be seen to come back then.
    pub fn expire(&mut self, clock_ms: u64, now_ms: u64) {
        self.clock_ms = self.clock_ms.max(clock_ms);
        let lapses =
            |entry: &PublishedEntry| entry.gone.is_some() || entry.unusable_since_ms.is_some();
        if !self.entries.iter().any(lapses) && self.unlisted.is_empty() {
            return;
        }
        self.unlisted
            .retain(|(_, heard_ms)| now_ms < heard_ms + LAPSE_MS);
        self.entries.retain(|entry| {
            let gone = entry.gone;
            gone.is_none_or(|gone| now_ms < gone.since_ms + REMEMBER_GONE_MS)
        });
        self.rebuild();
    }

    /// Returns the table of a service; its rows weigh by slots, and by 0 where they take no flow.
    pub fn table(&self, service: ServiceId) -> Option<&Table> {
        let index = self.tables.binary_search_by_key(&service, |(id, _)| *id);
        index.ok().map(|index| &self.tables[index].1)
    }

    /// Returns the newest backend server published at an agent's own address.
    pub fn own(&self, address: SocketAddrV4) -> Option<OwnBackend> {
        let here = self
            .entries
            .iter()
            .filter(|entry| entry.backend.address == address && self.is_named(entry));
        let newest = here.reduce(|newest, entry| match entry.replaces(newest) {
            true => entry,
            false => newest,
        })?;
        Some(OwnBackend {
            service: newest.backend.service,
            takes_flows: newest.takes_flows(self.clock_ms),
            is_evacuated: self.is_evacuated(newest),
            is_gone: newest.gone.is_some(),
            is_usable: newest.unusable_since_ms.is_none(),
            first_revision: newest.first_revision,
            started_unix_ms: newest.backend.started_unix_ms,
            cold_until_ms: newest.cold_until_ms,
        })
    }

    /// Returns for how long one that vanished without draining may still come back, in milliseconds.
    ///
    /// One whose address a newer one has taken does not come back. After a loss of power of all hosts
    /// these are the old entries of all backend servers: waiting for them cost 1,500 resets in two
    /// seconds at 56 agents.
    pub fn lapse_ms(&self) -> u64 {
        self.lapse_end_ms.saturating_sub(self.clock_ms)
    }

    fn lapse_end_ms(&self) -> u64 {
        let lapsed = self
            .entries
            .iter()
            .filter(|entry| self.is_named(entry) && !self.is_replaced(entry));
        let gone = lapsed.filter_map(|entry| entry.gone);
        let ends = gone.filter(|gone| gone.was_ready);
        ends.map(|gone| gone.since_ms + LAPSE_MS).max().unwrap_or(0)
    }

    /// Tells whether a newer backend server is published at the address of this one.
    fn is_replaced(&self, entry: &PublishedEntry) -> bool {
        let newer = |other: &PublishedEntry| {
            other.gone.is_none()
                && self.is_named(other)
                && other.backend.address == entry.backend.address
                && other.replaces(entry)
        };
        entry.gone.is_some() && self.entries.iter().any(newer)
    }

    /// Returns the hosts on which a backend server may hold flows now, sorted.
    pub fn current_hosts(&self) -> &[Ipv4Addr] {
        &self.current_hosts
    }

    /// Tells whether a host stands in an availability zone.
    pub(crate) fn is_in_zone(&self, host: Ipv4Addr, zone: &str) -> bool {
        let found = self.zones.binary_search_by_key(&host, |(host, _)| *host);
        found.is_ok_and(|index| self.zones[index].1 == zone)
    }

    /// Tells whether a backend server may still hold flows on a host.
    pub fn is_current(&self, host: Ipv4Addr) -> bool {
        self.current_hosts.binary_search(&host).is_ok()
    }

    /// Returns the hosts of agents, which relay published values to each other.
    pub fn host_list(&self) -> HostList {
        let is_listed =
            |entry: &&PublishedEntry| entry.gone.is_none() && entry.unusable_since_ms.is_none();
        let current = self.entries.iter().filter(is_listed);
        let current = current.filter(|entry| self.is_named(entry));
        let hosts = current.map(|entry| Host {
            address: *entry.backend.address.ip(),
            zone: entry.backend.zone.clone(),
            role: HostRole::Backend,
            state: match entry.backend.state {
                BackendState::Ready => HostState::Live,
                BackendState::Draining => HostState::Leaving,
            },
        });
        HostList::of(hosts.collect())
    }

    fn rebuild(&mut self) {
        let clock_ms = self.clock_ms;
        let mut newest: Vec<&PublishedEntry> = Vec::new();
        for entry in self
            .entries
            .iter()
            .filter(|entry| entry.is_current(clock_ms) && self.is_named(entry))
        {
            let address = entry.backend.address;
            match newest.binary_search_by_key(&address, |known| known.backend.address) {
                Ok(index) if entry.replaces(newest[index]) => {
                    newest[index] = entry;
                }
                Ok(_) => {}
                Err(index) => newest.insert(index, entry),
            }
        }
        let mut tables: Vec<(ServiceId, Table)> = Vec::new();
        for entry in &newest {
            let service = entry.backend.service;
            let found = tables.binary_search_by_key(&service, |(id, _)| *id);
            let index = found.unwrap_or_else(|index| {
                tables.insert(index, (service, Table::unnamed()));
                index
            });
            let takes_flows = entry.takes_flows(clock_ms) && !self.is_evacuated(entry);
            tables[index].1.rows.push(row(entry, takes_flows));
        }
        let mut hosts: Vec<Ipv4Addr> = newest
            .iter()
            .map(|entry| *entry.backend.address.ip())
            .chain(self.unlisted.iter().map(|(host, _)| *host))
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        let zone =
            |entry: &&PublishedEntry| (*entry.backend.address.ip(), entry.backend.zone.clone());
        self.zones = newest.iter().map(zone).collect();
        // One host may have two entries for a moment, of two ports; both stand in its zone.
        self.zones.dedup_by_key(|(host, _)| *host);
        let cold = newest.iter().filter(|entry| entry.cold_until_ms > 0);
        self.cold_hosts = cold
            .map(|entry| (*entry.backend.address.ip(), entry.cold_until_ms))
            .collect();
        self.cold_hosts.dedup_by_key(|(host, _)| *host);
        for (_, table) in &mut tables {
            table.rows.sort_by(|a, b| a.target.cmp(&b.target));
        }
        self.current_hosts = hosts;
        self.tables = tables;
        self.lapse_end_ms = self.lapse_end_ms();
    }
}

fn row(entry: &PublishedEntry, takes_flows: bool) -> Row {
    let weight = if takes_flows { entry.backend.slots } else { 0 };
    Row {
        target_hash: hash::name_hash(&entry.id),
        target: entry.id.clone(),
        host: *entry.backend.address.ip(),
        backend: entry.backend.address.into(),
        weight,
        slots: entry.backend.slots,
        connections: u32::MAX,
    }
}
