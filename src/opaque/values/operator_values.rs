//! The values published by operators: routes, services, evacuated availability zones, cold starts
//! and deadlines.

use std::net::SocketAddrV4;

use crate::config::cold_starts::ColdStart;
use crate::config::deadlines::Deadline;
use crate::config::route_table::RouteTable;
use crate::config::service_id::ServiceId;
use crate::opaque::values::published_entry::PublishedEntry;

/// The values published by operators that are in force.
#[derive(Debug, Default)]
pub(crate) struct OperatorValues {
    pub(crate) routes: RouteTable,
    /// The configured services, sorted; `None` while they are unknown.
    services: Option<Vec<ServiceId>>,
    /// The evacuated availability zones, sorted.
    evacuated_zones: Vec<String>,
    /// The cold start settings, sorted by service.
    pub(crate) cold_starts: Vec<ColdStart>,
    /// The deadlines of callers that have time for one attempt only, sorted by the address that
    /// they call.
    pub(crate) deadlines: Vec<Deadline>,
}

impl OperatorValues {
    /// Sets the configured services.
    pub(crate) fn set_services(&mut self, mut services: Vec<ServiceId>) {
        services.sort_unstable();
        self.services = Some(services);
    }

    /// Sets whether an availability zone is evacuated; returns whether that changed.
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

    /// Returns whether the availability zone of an entry is evacuated.
    pub(crate) fn is_evacuated(&self, entry: &PublishedEntry) -> bool {
        self.find_zone(&entry.backend.zone).is_ok()
    }

    fn find_zone(&self, zone: &str) -> Result<usize, usize> {
        self.evacuated_zones
            .binary_search_by(|known| known.as_str().cmp(zone))
    }

    /// Returns whether the service of an entry is configured.
    ///
    /// An entry of any other service was written by another program. Used, it would take over the
    /// address of a backend server that serves, or add a host to lookups that never answers.
    pub(crate) fn has_service_of(&self, entry: &PublishedEntry) -> bool {
        let service = entry.backend.service;
        let has_service = |services: &Vec<ServiceId>| services.binary_search(&service).is_ok();
        self.services.as_ref().is_none_or(has_service)
    }

    /// Returns the cold start settings of a service.
    pub(crate) fn cold_start(&self, service: ServiceId) -> Option<ColdStart> {
        let found = self
            .cold_starts
            .binary_search_by_key(&service, |start| start.service);
        found.ok().map(|index| self.cold_starts[index])
    }

    /// Returns the deadline of the callers of an address, if they have time for one attempt only.
    pub(crate) fn deadline(&self, called: SocketAddrV4) -> Option<Deadline> {
        let found = self
            .deadlines
            .binary_search_by_key(&called, |deadline| deadline.address);
        found.ok().map(|index| self.deadlines[index])
    }
}
