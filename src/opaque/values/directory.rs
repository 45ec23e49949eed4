//! The published backend servers as a process that routes flows sees them.

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::config::backend_entry::{Backend, BackendState};
use crate::config::cold_starts::ColdStart;
use crate::config::deadlines::Deadline;
use crate::config::evacuation::Evacuation;
use crate::config::hosts::{Host, HostList, HostRole, HostState};
use crate::config::revision::Revision;
use crate::config::route_table::RouteTable;
use crate::config::service_id::ServiceId;
use crate::config::table::Table;
use crate::opaque::packets::segment::FlowKey;
use crate::opaque::values::backend_change::BackendChange;
use crate::opaque::values::backend_tables::BackendTables;
use crate::opaque::values::local_backend::LocalBackend;
use crate::opaque::values::operator_values::OperatorValues;
use crate::opaque::values::published_entries::PublishedEntries;
use crate::opaque::values::published_entry::{LAPSE_GRACE_MS, PublishedEntry};
use crate::opaque::values::value_change::ValueChange;

/// What is published of backend servers, what operators told, and the tables that follow from both.
#[derive(Debug, Default)]
pub struct Directory {
    entries: PublishedEntries,
    told: OperatorValues,
    tables: BackendTables,
    current_hosts: Vec<Ipv4Addr>,
    /// Hosts whose agents said that a backend server runs there which is not published, and when.
    unlisted: Vec<(Ipv4Addr, u64)>,
    /// The time up to which lapses have run; it stands still while values are old.
    clock_ms: u64,
    /// When the last of those that vanished without draining no longer comes back, by that clock.
    lapse_end_ms: u64,
}

impl Directory {
    /// Takes what is published of one backend server.
    pub fn apply_backend(
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
        self.apply_backends(vec![change], now_ms);
    }

    /// Takes what is published of backend servers.
    pub fn apply_backends(&mut self, changes: Vec<BackendChange<'_>>, now_ms: u64) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.entries.put(change, now_ms);
        }
        self.rebuild();
    }

    /// Takes changes of values in force, and builds the tables once for all of them.
    ///
    /// Those of backend servers come first: the others say something of them, which a process that starts learns
    /// with them.
    pub(crate) fn apply_changes(&mut self, changes: Vec<ValueChange<'_>>, now_ms: u64) {
        let (of_backends, others): (Vec<_>, Vec<_>) =
            changes.into_iter().partition(ValueChange::is_backend);
        let mut is_outdated = false;
        for change in of_backends.into_iter().chain(others) {
            is_outdated |= self.apply_change(change, now_ms);
        }
        if is_outdated {
            self.rebuild();
        }
    }

    /// Takes a change; says whether the tables must be built anew for it.
    fn apply_change(&mut self, change: ValueChange<'_>, now_ms: u64) -> bool {
        match change {
            ValueChange::Backend(change) => {
                self.entries.put(change, now_ms);
                true
            }
            ValueChange::Services(services) => {
                self.told.set_services(services);
                true
            }
            ValueChange::Evacuation(evacuation, revision) => {
                self.note_evacuated(evacuation, revision)
            }
            ValueChange::Routes(routes) => {
                self.set_routes(routes);
                false
            }
            ValueChange::ColdStarts(starts) => {
                self.set_cold_starts(starts);
                false
            }
            ValueChange::Deadlines(deadlines) => {
                self.set_deadlines(deadlines);
                false
            }
        }
    }

    /// Returns how many values name no backend server to use.
    pub fn unusable_count(&self) -> usize {
        self.entries.unusable_count()
    }

    /// Takes the published routes.
    pub fn set_routes(&mut self, routes: RouteTable) {
        self.told.routes = routes;
    }

    /// Takes the services that operators named; a backend server of another one is not used.
    pub fn set_services(&mut self, services: Vec<ServiceId>) {
        self.told.set_services(services);
        self.rebuild();
    }

    /// Takes whether an availability zone is evacuated: its backend servers get no new flow, and keep those
    /// that they hold.
    ///
    /// Says so in the log where that changed. See docs/OPERATORS.md, "Empty a zone".
    pub fn set_zone_evacuated(
        &mut self,
        zone: &str,
        is_evacuated: bool,
        revision: impl Into<Revision>,
    ) {
        let evacuation = Evacuation {
            zone,
            is_in_force: is_evacuated,
        };
        if self.note_evacuated(evacuation, revision.into()) {
            self.rebuild();
        }
    }

    /// Notes an evacuation or its end; says whether that is a change.
    fn note_evacuated(&mut self, evacuation: Evacuation<'_>, revision: Revision) -> bool {
        let Evacuation { zone, is_in_force } = evacuation;
        if !self.told.set_zone_evacuated(zone, is_in_force) {
            return false;
        }
        let event = if is_in_force {
            "zone_evacuated"
        } else {
            "zone_taken_back"
        };
        let is_in_zone = |entry: &&PublishedEntry| entry.backend.zone == zone;
        let servers = self.entries.iter().filter(is_in_zone).count();
        log::info!("event={event} zone={zone:?} servers={servers} revision={revision}");
        true
    }

    /// Returns the availability zones that operators evacuated, in order of their names.
    pub fn evacuated_zones(&self) -> &[String] {
        self.told.evacuated_zones()
    }

    /// Takes what operators told of cold starts.
    pub fn set_cold_starts(&mut self, starts: Vec<ColdStart>) {
        self.told.cold_starts = starts;
    }

    /// Returns what operators told of the cold starts of a service's backend servers.
    pub fn cold_start(&self, service: ServiceId) -> Option<ColdStart> {
        self.told.cold_start(service)
    }

    /// Takes how long callers wait.
    pub fn set_deadlines(&mut self, deadlines: Vec<Deadline>) {
        self.told.deadlines = deadlines;
    }

    /// Returns how long the callers of an address wait, if they have time for one attempt only.
    pub fn deadline(&self, called: SocketAddrV4) -> Option<Deadline> {
        self.told.deadline(called)
    }

    /// Tells whether the callers of an address have time for one attempt only.
    pub(crate) fn has_deadline(&self, called: SocketAddrV4) -> bool {
        self.deadline(called).is_some()
    }

    /// Tells whether the backend server on a host is published as cold.
    pub(crate) fn is_cold(&self, host: Ipv4Addr, now_ms: u64) -> bool {
        self.tables.is_cold(host, now_ms)
    }

    /// Tells whether a service has no backend server for new flows because of evacuations: those that would take
    /// some are all in evacuated zones.
    ///
    /// That lasts for minutes, and no copy of an opener finds room meanwhile.
    pub fn is_service_evacuated(&self, service: ServiceId) -> bool {
        let of_service =
            |entry: &&PublishedEntry| entry.backend.service == service && self.told.is_named(entry);
        let entries = self.entries.iter().filter(of_service);
        let mut would_take = entries
            .filter(|entry| entry.takes_flows(self.clock_ms))
            .peekable();
        would_take.peek().is_some() && would_take.all(|entry| self.told.is_evacuated(entry))
    }

    /// Notes that a backend server runs on a host which is not published.
    ///
    /// Its entry may have lapsed before this process started, which then can't remember it.
    pub fn record_unlisted(&mut self, host: Ipv4Addr, now_ms: u64) {
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
        &self.told.routes
    }

    /// Returns the service that a flow goes to when it opens.
    pub(crate) fn service_for_flow(&self, flow: &FlowKey) -> Option<ServiceId> {
        self.told
            .routes
            .get(flow.called)?
            .select_service(flow.hash())
    }

    /// Returns the table of the service that a flow goes to when it opens.
    pub(crate) fn table_for_flow(&self, flow: &FlowKey) -> Option<&Table> {
        self.table(self.service_for_flow(flow)?)
    }

    /// Lets what has vanished lapse, and forgets what vanished long ago.
    ///
    /// `clock_ms` is the time while values are new, and stands still while they are old: an entry that
    /// vanished can't be seen to come back then.
    pub fn expire(&mut self, clock_ms: u64, now_ms: u64) {
        self.clock_ms = self.clock_ms.max(clock_ms);
        if !self.entries.has_lapses() && self.unlisted.is_empty() {
            return;
        }
        self.unlisted
            .retain(|(_, heard_ms)| now_ms < heard_ms + LAPSE_GRACE_MS);
        self.entries.forget(now_ms);
        self.rebuild();
    }

    /// Returns the table of a service; its rows weigh by slots, and by 0 where they take no flow.
    pub fn table(&self, service: ServiceId) -> Option<&Table> {
        self.tables.table(service)
    }

    /// Returns the newest backend server published at an agent's own address.
    pub fn local_backend(&self, address: SocketAddrV4) -> Option<LocalBackend> {
        let here = self
            .entries
            .iter()
            .filter(|entry| entry.backend.address == address && self.told.is_named(entry));
        let newest = here.reduce(|newest, entry| match entry.replaces(newest) {
            true => entry,
            false => newest,
        })?;
        Some(LocalBackend {
            service: newest.backend.service,
            takes_flows: newest.takes_flows(self.clock_ms),
            is_evacuated: self.told.is_evacuated(newest),
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
    /// these are the old entries of all backend servers, and a wait for them would keep all callers from
    /// being told that their flows have ended.
    pub fn lapse_grace_left_ms(&self) -> u64 {
        self.lapse_end_ms.saturating_sub(self.clock_ms)
    }

    fn lapse_end_ms(&self) -> u64 {
        let lapsed = self
            .entries
            .iter()
            .filter(|entry| self.told.is_named(entry) && !self.is_replaced(entry));
        let gone = lapsed.filter_map(|entry| entry.gone);
        let ends = gone.filter(|gone| gone.was_ready);
        ends.map(|gone| gone.since_ms + LAPSE_GRACE_MS)
            .max()
            .unwrap_or(0)
    }

    /// Tells whether a newer backend server is published at the address of this one.
    fn is_replaced(&self, entry: &PublishedEntry) -> bool {
        let newer = |other: &PublishedEntry| {
            other.gone.is_none()
                && self.told.is_named(other)
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
        self.tables.is_in_zone(host, zone)
    }

    /// Tells whether a backend server may still hold flows on a host.
    pub fn may_hold_flows(&self, host: Ipv4Addr) -> bool {
        self.current_hosts.binary_search(&host).is_ok()
    }

    /// Returns the hosts of agents, which relay published values to each other.
    pub fn host_list(&self) -> HostList {
        let is_listed =
            |entry: &&PublishedEntry| entry.gone.is_none() && entry.unusable_since_ms.is_none();
        let current = self.entries.iter().filter(is_listed);
        let current = current.filter(|entry| self.told.is_named(entry));
        let hosts = current.map(|entry| Host {
            address: *entry.backend.address.ip(),
            zone: entry.backend.zone.clone(),
            role: HostRole::Backend,
            state: match entry.backend.state {
                BackendState::Ready => HostState::Live,
                BackendState::Draining => HostState::Leaving,
            },
        });
        HostList::from_hosts(hosts.collect())
    }

    fn rebuild(&mut self) {
        let current = self.current_entries();
        let takes_flows = |entry: &PublishedEntry| {
            entry.takes_flows(self.clock_ms) && !self.told.is_evacuated(entry)
        };
        let tables = BackendTables::of(&current, takes_flows);
        let published = current.iter().map(|entry| *entry.backend.address.ip());
        let unlisted = self.unlisted.iter().map(|(host, _)| *host);
        let mut hosts: Vec<Ipv4Addr> = published.chain(unlisted).collect();
        hosts.sort_unstable();
        hosts.dedup();
        self.current_hosts = hosts;
        self.tables = tables;
        self.lapse_end_ms = self.lapse_end_ms();
    }

    /// Returns the newest entry of each address where a backend server may hold flows, sorted by address.
    fn current_entries(&self) -> Vec<&PublishedEntry> {
        let may_hold_flows = |entry: &&PublishedEntry| {
            entry.may_hold_flows(self.clock_ms) && self.told.is_named(entry)
        };
        let mut newest: Vec<&PublishedEntry> = Vec::new();
        for entry in self.entries.iter().filter(may_hold_flows) {
            let address = entry.backend.address;
            match newest.binary_search_by_key(&address, |known| known.backend.address) {
                Ok(index) if entry.replaces(newest[index]) => {
                    newest[index] = entry;
                }
                Ok(_) => {}
                Err(index) => newest.insert(index, entry),
            }
        }
        newest
    }
}
