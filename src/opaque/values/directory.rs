//! The in-memory view of the published values, by which a process routes flows.

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

/// The published backend servers, the values published by operators, and the lookup tables built
/// from both.
#[derive(Debug, Default)]
pub struct Directory {
    entries: PublishedEntries,
    operator_values: OperatorValues,
    tables: BackendTables,
    /// The hosts on which a backend server may hold flows, sorted.
    current_hosts: Vec<Ipv4Addr>,
    /// Hosts whose agents reported a running backend server that is not published, and the time of
    /// the last report; sorted by host.
    unlisted: Vec<(Ipv4Addr, u64)>,
    /// The clock for the grace periods of lapsed entries, which pauses while values are stale.
    lapse_clock_ms: u64,
    /// The end of the last grace period of an entry that lapsed without draining, by the lapse
    /// clock.
    lapse_grace_end_ms: u64,
}

impl Directory {
    /// Applies the published state of one backend server.
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

    /// Applies changes of backend servers and rebuilds the tables once.
    pub fn apply_backends(&mut self, changes: Vec<BackendChange<'_>>, now_ms: u64) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.entries.apply(change, now_ms);
        }
        self.rebuild();
    }

    /// Applies changes of values in force and rebuilds the tables at most once.
    ///
    /// Changes of backend servers are applied first, since the others refer to them: a process that
    /// starts gets both in the same batch.
    pub(crate) fn apply_changes(&mut self, changes: Vec<ValueChange<'_>>, now_ms: u64) {
        let (backends, others): (Vec<_>, Vec<_>) =
            changes.into_iter().partition(ValueChange::is_backend);
        let mut is_outdated = false;
        for change in backends.into_iter().chain(others) {
            is_outdated |= self.apply_change(change, now_ms);
        }
        if is_outdated {
            self.rebuild();
        }
    }

    /// Applies a change; returns whether the tables must be rebuilt.
    fn apply_change(&mut self, change: ValueChange<'_>, now_ms: u64) -> bool {
        match change {
            ValueChange::Backend(change) => {
                self.entries.apply(change, now_ms);
                true
            }
            ValueChange::Services(services) => {
                self.operator_values.set_services(services);
                true
            }
            ValueChange::Evacuation(evacuation, revision) => {
                self.apply_evacuation(evacuation, revision)
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

    /// Returns the number of entries whose value can't be used.
    pub fn unusable_count(&self) -> usize {
        self.entries.unusable_count()
    }

    /// Sets the published routes.
    pub fn set_routes(&mut self, routes: RouteTable) {
        self.operator_values.routes = routes;
    }

    /// Sets the services that operators configured; backend servers of other services are ignored.
    pub fn set_services(&mut self, services: Vec<ServiceId>) {
        self.operator_values.set_services(services);
        self.rebuild();
    }

    /// Sets whether an availability zone is evacuated: its backend servers get no new flows and
    /// keep the flows that they hold.
    ///
    /// Logs each change. See docs/OPERATORS.md, "Empty a zone".
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
        if self.apply_evacuation(evacuation, revision.into()) {
            self.rebuild();
        }
    }

    /// Applies the start or end of an evacuation; returns whether it changed anything.
    fn apply_evacuation(&mut self, evacuation: Evacuation<'_>, revision: Revision) -> bool {
        let Evacuation { zone, is_in_force } = evacuation;
        if !self.operator_values.set_zone_evacuated(zone, is_in_force) {
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

    /// Returns the evacuated availability zones, sorted by name.
    pub fn evacuated_zones(&self) -> &[String] {
        self.operator_values.evacuated_zones()
    }

    /// Sets the cold start settings of services.
    pub fn set_cold_starts(&mut self, starts: Vec<ColdStart>) {
        self.operator_values.cold_starts = starts;
    }

    /// Returns the cold start settings of a service.
    pub fn cold_start(&self, service: ServiceId) -> Option<ColdStart> {
        self.operator_values.cold_start(service)
    }

    /// Sets the deadlines of callers that have time for one attempt only.
    pub fn set_deadlines(&mut self, deadlines: Vec<Deadline>) {
        self.operator_values.deadlines = deadlines;
    }

    /// Returns the deadline of the callers of an address, if they have time for one attempt only.
    pub fn deadline(&self, called: SocketAddrV4) -> Option<Deadline> {
        self.operator_values.deadline(called)
    }

    /// Returns whether the callers of an address have time for one attempt only.
    pub(crate) fn has_deadline(&self, called: SocketAddrV4) -> bool {
        self.deadline(called).is_some()
    }

    /// Returns whether the backend server on a host is published as cold.
    pub(crate) fn is_cold(&self, host: Ipv4Addr, now_ms: u64) -> bool {
        self.tables.is_cold(host, now_ms)
    }

    /// Returns whether all backend servers of a service that would take new flows are in evacuated
    /// zones, and there is at least one.
    ///
    /// This state lasts for minutes, so retransmitted openers would not find a backend server
    /// either.
    pub fn is_service_evacuated(&self, service: ServiceId) -> bool {
        let is_of_service = |entry: &&PublishedEntry| {
            entry.backend.service == service && self.operator_values.has_service_of(entry)
        };
        let entries = self.entries.iter().filter(is_of_service);
        let mut would_take = entries
            .filter(|entry| entry.takes_flows(self.lapse_clock_ms))
            .peekable();
        would_take.peek().is_some()
            && would_take.all(|entry| self.operator_values.is_evacuated(entry))
    }

    /// Records that a backend server runs on a host and is not published.
    ///
    /// An entry that lapsed before this process started is not known here.
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

    /// Returns the published routes.
    pub fn routes(&self) -> &RouteTable {
        &self.operator_values.routes
    }

    /// Returns the service that a new flow is routed to.
    pub(crate) fn service_for_flow(&self, flow: &FlowKey) -> Option<ServiceId> {
        self.operator_values
            .routes
            .get(flow.called)?
            .select_service(flow.hash())
    }

    /// Returns the table of the service that a new flow is routed to.
    pub(crate) fn table_for_flow(&self, flow: &FlowKey) -> Option<&Table> {
        self.table(self.service_for_flow(flow)?)
    }

    /// Ends the grace periods of lapsed entries, and removes entries that have been gone for long.
    ///
    /// `lapse_clock_ms` is the current time while values are fresh and pauses while they are stale,
    /// since the return of a lapsed entry would go unnoticed then.
    pub fn expire(&mut self, lapse_clock_ms: u64, now_ms: u64) {
        self.lapse_clock_ms = self.lapse_clock_ms.max(lapse_clock_ms);
        if !self.entries.has_expiring() && self.unlisted.is_empty() {
            return;
        }
        self.unlisted
            .retain(|(_, reported_ms)| now_ms < reported_ms + LAPSE_GRACE_MS);
        self.entries.remove_expired(now_ms);
        self.rebuild();
    }

    /// Returns the table of a service; the weight of a row is its slots, or 0 if it takes no new
    /// flows.
    pub fn table(&self, service: ServiceId) -> Option<&Table> {
        self.tables.table(service)
    }

    /// Returns the newest backend server published at an address: for an agent, the one beside it.
    pub fn local_backend(&self, address: SocketAddrV4) -> Option<LocalBackend> {
        let at_address = self.entries.iter().filter(|entry| {
            entry.backend.address == address && self.operator_values.has_service_of(entry)
        });
        let newest = at_address.reduce(|newest, entry| match entry.replaces(newest) {
            true => entry,
            false => newest,
        })?;
        Some(LocalBackend {
            service: newest.backend.service,
            takes_flows: newest.takes_flows(self.lapse_clock_ms),
            is_evacuated: self.operator_values.is_evacuated(newest),
            is_gone: newest.gone.is_some(),
            is_usable: newest.unusable_since_ms.is_none(),
            first_revision: newest.first_revision,
            started_unix_ms: newest.backend.started_unix_ms,
            cold_until_ms: newest.cold_until_ms,
        })
    }

    /// Returns the remaining time in which an entry that lapsed without draining may come back, in
    /// milliseconds.
    ///
    /// Entries whose address a newer backend server uses are not counted, since they do not come
    /// back. After a power loss of all hosts these are the old entries of all backend servers, and
    /// waiting for them would delay the resets of all their flows.
    pub fn lapse_grace_left_ms(&self) -> u64 {
        self.lapse_grace_end_ms.saturating_sub(self.lapse_clock_ms)
    }

    fn find_lapse_grace_end_ms(&self) -> u64 {
        let lapsed = self
            .entries
            .iter()
            .filter(|entry| self.operator_values.has_service_of(entry) && !self.is_replaced(entry));
        let gone = lapsed.filter_map(|entry| entry.gone);
        let ends = gone.filter(|gone| gone.was_ready);
        ends.map(|gone| gone.since_ms + LAPSE_GRACE_MS)
            .max()
            .unwrap_or(0)
    }

    /// Returns whether an entry is gone and a newer backend server is published at its address.
    fn is_replaced(&self, entry: &PublishedEntry) -> bool {
        let is_newer = |other: &PublishedEntry| {
            other.gone.is_none()
                && self.operator_values.has_service_of(other)
                && other.backend.address == entry.backend.address
                && other.replaces(entry)
        };
        entry.gone.is_some() && self.entries.iter().any(is_newer)
    }

    /// Returns the hosts on which a backend server may hold flows, sorted.
    pub fn current_hosts(&self) -> &[Ipv4Addr] {
        &self.current_hosts
    }

    /// Returns whether a host is in an availability zone.
    pub(crate) fn is_in_zone(&self, host: Ipv4Addr, zone: &str) -> bool {
        self.tables.is_in_zone(host, zone)
    }

    /// Returns whether a backend server on a host may hold flows.
    pub fn may_hold_flows(&self, host: Ipv4Addr) -> bool {
        self.current_hosts.binary_search(&host).is_ok()
    }

    /// Returns the hosts of all agents, which relay published values to each other.
    pub fn host_list(&self) -> HostList {
        let is_listed =
            |entry: &&PublishedEntry| entry.gone.is_none() && entry.unusable_since_ms.is_none();
        let listed = self.entries.iter().filter(is_listed);
        let listed = listed.filter(|entry| self.operator_values.has_service_of(entry));
        let hosts = listed.map(|entry| Host {
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
            entry.takes_flows(self.lapse_clock_ms) && !self.operator_values.is_evacuated(entry)
        };
        let tables = BackendTables::build(&current, takes_flows);
        let published = current.iter().map(|entry| *entry.backend.address.ip());
        let unlisted = self.unlisted.iter().map(|(host, _)| *host);
        let mut hosts: Vec<Ipv4Addr> = published.chain(unlisted).collect();
        hosts.sort_unstable();
        hosts.dedup();
        self.current_hosts = hosts;
        self.tables = tables;
        self.lapse_grace_end_ms = self.find_lapse_grace_end_ms();
    }

    /// Returns the newest entry of each address at which a backend server may hold flows, sorted by
    /// address.
    fn current_entries(&self) -> Vec<&PublishedEntry> {
        let may_hold_flows = |entry: &&PublishedEntry| {
            entry.may_hold_flows(self.lapse_clock_ms) && self.operator_values.has_service_of(entry)
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
