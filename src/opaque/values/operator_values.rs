//! What operators told: routes, services, evacuated availability zones, cold starts and deadlines.

use std::net::SocketAddrV4;

use crate::config::cold_starts::ColdStart;
use crate::config::deadlines::Deadline;
use crate::config::route_table::RouteTable;
use crate::config::service_id::ServiceId;
use crate::opaque::values::published_entry::PublishedEntry;

/// The values that operators publish, as they are in force.
#[derive(Debug, Default)]
pub(crate) struct OperatorValues {
    pub(crate) routes: RouteTable,
    /// The services that operators named, sorted; none where that is not known.
    services: Option<Vec<ServiceId>>,
    /// The availability zones that operators evacuated, sorted.
    evacuated_zones: Vec<String>,
    /// What operators told of cold starts, sorted by service.
    pub(crate) cold_starts: Vec<ColdStart>,
    /// How long callers wait who have time for one attempt, sorted by the address that they call.
    pub(crate) deadlines: Vec<Deadline>,
}

impl OperatorValues {
    /// Takes the services that operators named.
    pub(crate) fn set_services(&mut self, mut services: Vec<ServiceId>) {
        services.sort_unstable();
        self.services = Some(services);
    }

    /// Takes whether an availability zone is evacuated; says whether that changed.
    pub(crate) fn set_zone_evacuated(&mut self, zone: &str, is_evacuated: bool) -> bool {
        match (self.find_zone(zone), is_evacuated) {
            (Err(index), true) => self.evacuated_zones.insert(index, zone.to_owned()),
            (Ok(index), false) => {
                self.evacuated_zones.remove(index);
            }
            _ => return false,
        }
        true
    }

    /// Returns the evacuated availability zones, sorted.
    pub(crate) fn evacuated_zones(&self) -> &[String] {
        &self.evacuated_zones
    }

    /// Tells whether the availability zone of an entry is evacuated.
    pub(crate) fn is_evacuated(&self, entry: &PublishedEntry) -> bool {
        self.find_zone(&entry.backend.zone).is_ok()
    }

    fn find_zone(&self, zone: &str) -> Result<usize, usize> {
        self.evacuated_zones
            .binary_search_by(|known| known.as_str().cmp(zone))
    }

    /// Tells whether operators named the service of an entry.
    ///
    /// One that they did not name was written by another program. Believed, its entry would take the address
    /// of a backend server that serves, or add a host to those asked which never answers.
    pub(crate) fn is_named(&self, entry: &PublishedEntry) -> bool {
        let service = entry.backend.service;
        let named = |services: &Vec<ServiceId>| services.binary_search(&service).is_ok();
        self.services.as_ref().is_none_or(named)
    }

    /// Returns what operators told of the cold starts of a service's backend servers.
    pub(crate) fn cold_start(&self, service: ServiceId) -> Option<ColdStart> {
        let found = self
            .cold_starts
            .binary_search_by_key(&service, |start| start.service);
        found.ok().map(|index| self.cold_starts[index])
    }

    /// Returns how long the callers of an address wait, if they have time for one attempt only.
    pub(crate) fn deadline(&self, called: SocketAddrV4) -> Option<Deadline> {
        let found = self
            .deadlines
            .binary_search_by_key(&called, |deadline| deadline.address);
        found.ok().map(|index| self.deadlines[index])
    }
}
