//! Faults of the backend servers of a site, and evacuations of its zones.

use serde_json::json;

use crate::opaque::backend::{BackendHandle, WorkMode};
use crate::opaque::site::{APP_PORT, OpaqueSite};

/// The prefix of the keys with which operators evacuate zones.
pub(super) const EVACUATE_PREFIX: &str = "op/evacuate/";

impl OpaqueSite {
    /// Drains a backend server: it publishes that it drains, and closes flows after their next answer.
    pub fn drain_backend(&self, index: usize) {
        self.register(index, "draining");
        if let Some(backend) = &self.backends[index] {
            backend.drain();
        }
    }

    /// Crashes a backend server and returns its id. Its entry stays until it is removed.
    pub fn crash_backend(&mut self, index: usize) -> Option<String> {
        let backend = self.backends[index].take()?;
        Some(backend.id)
    }

    /// Crashes a backend server as a host behind a cut network would, and returns its id: connections
    /// to it stay open and silent.
    pub fn crash_backend_silently(&mut self, index: usize) -> Option<String> {
        let backend = self.backends[index].take()?;
        self.silent_connections.push(backend.connections());
        Some(backend.id)
    }

    /// Makes a backend server take `times` times as long for each request.
    pub fn slow_backend(&self, index: usize, times: u64) {
        self.set_work_mode(index, WorkMode::Slow(times));
    }

    /// Makes a backend server accept requests without answering them. Its entry still says that it is
    /// ready.
    pub fn hang_backend(&self, index: usize) {
        self.set_work_mode(index, WorkMode::Hanging);
    }

    /// Ends the slowness or the hang of a backend server.
    pub fn resume_normal_work(&self, index: usize) {
        self.set_work_mode(index, WorkMode::Normal);
    }

    fn set_work_mode(&self, index: usize, work_mode: WorkMode) {
        if let Some(backend) = &self.backends[index] {
            backend.set_work_mode(work_mode);
        }
    }

    /// Removes a backend server's entry from the store.
    pub fn remove_entry(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }

    /// Evacuates an availability zone, as operators do.
    pub fn evacuate_zone(&self, zone: &str) {
        self.evacuated.borrow_mut().push(zone.to_owned());
        self.store
            .put(&format!("{EVACUATE_PREFIX}{zone}"), &json!({}));
    }

    /// Takes an evacuated availability zone back into service.
    pub fn take_zone_back(&self, zone: &str) {
        self.evacuated.borrow_mut().retain(|other| other != zone);
        self.store.remove(&format!("{EVACUATE_PREFIX}{zone}"));
    }

    /// Removes the entry of a running backend server, as the store does after an outage.
    pub fn lapse_entry(&self, index: usize) {
        if let Some(backend) = &self.backends[index] {
            self.remove_entry(&backend.id);
        }
    }

    /// Overwrites the entry of a backend server with an incomplete one, as another program might.
    pub fn overwrite_entry(&self, index: usize) {
        if let Some(backend) = &self.backends[index] {
            let entry = json!({"service": backend.spec.service, "state": "ready"});
            self.store.put(&format!("servers/{}", backend.id), &entry);
        }
    }

    /// Writes an entry of an unconfigured service with the address of a backend server.
    pub fn write_foreign_entry(&self, index: usize) {
        let entry = json!({
            "service": "unheard-of", "address": format!("{}:{APP_PORT}", self.agent_host(index)),
            "zone": "zone-a", "version": "v9", "slots": 64, "state": "ready",
            "coldRemainingMs": 0, "sequence": 1, "born": 1,
        });
        self.store.put("servers/i-of-another-program", &entry);
    }

    /// Rewrites the entry of a backend server, if the server runs.
    pub fn rewrite_entry(&self, index: usize) {
        let is_draining = self.backends[index]
            .as_ref()
            .is_some_and(BackendHandle::is_draining);
        self.register(index, if is_draining { "draining" } else { "ready" });
    }
}
