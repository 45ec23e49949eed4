//! What may befall the backend servers of a site.

use serde_json::json;

use crate::opaque::backend::{BackendHandle, Pace};
use crate::opaque::site::{APP_PORT, OpaqueSite};

/// What the keys start with by which operators evacuate zones.
pub(super) const EVACUATE_PREFIX: &str = "op/evacuate/";

impl OpaqueSite {
    /// Lets a backend server report that it leaves, and close flows after their next answer.
    pub fn drain_backend(&self, index: usize) {
        self.register(index, "draining");
        if let Some(backend) = &self.backends[index] {
            backend.drain();
        }
    }

    /// Ends a backend server as a crash would; its entry stays until it is removed.
    pub fn crash_backend(&mut self, index: usize) -> Option<String> {
        let backend = self.backends[index].take()?;
        Some(backend.id)
    }

    /// Ends a backend server as a crash behind a cut would: connections to it stay open, and are silent.
    pub fn crash_backend_silently(&mut self, index: usize) -> Option<String> {
        let backend = self.backends[index].take()?;
        self.silent_connections.push(backend.connections());
        Some(backend.id)
    }

    /// Lets a backend server take several times as long for each request.
    pub fn slow_backend(&self, index: usize, times: u64) {
        self.set_pace(index, Pace::Slow(times));
    }

    /// Lets a backend server accept requests and answer none; it goes on to say that it is well.
    pub fn hang_backend(&self, index: usize) {
        self.set_pace(index, Pace::Hanging);
    }

    /// Lets a backend server that is slow or hangs work as usual again.
    pub fn resume_normal_work(&self, index: usize) {
        self.set_pace(index, Pace::Usual);
    }

    fn set_pace(&self, index: usize, pace: Pace) {
        if let Some(backend) = &self.backends[index] {
            backend.set_pace(pace);
        }
    }

    /// Removes a backend server's entry from the store.
    pub fn remove_entry(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }

    /// Asks that an availability zone gets no new flow.
    pub fn evacuate_zone(&self, zone: &str) {
        self.evacuated.borrow_mut().push(zone.to_owned());
        self.store
            .put(&format!("{EVACUATE_PREFIX}{zone}"), &json!({}));
    }

    /// Takes an evacuated availability zone back.
    pub fn take_zone_back(&self, zone: &str) {
        self.evacuated.borrow_mut().retain(|known| known != zone);
        self.store.remove(&format!("{EVACUATE_PREFIX}{zone}"));
    }

    /// Takes a backend server's entry away while the server lives, as a store that was away does.
    pub fn lapse_entry(&self, index: usize) {
        if let Some(backend) = &self.backends[index] {
            self.remove_entry(&backend.id);
        }
    }

    /// Writes over a backend server's entry as another program would.
    pub fn overwrite_entry(&self, index: usize) {
        if let Some(backend) = &self.backends[index] {
            let entry = json!({"service": backend.spec.service, "state": "ready"});
            self.store.put(&format!("servers/{}", backend.id), &entry);
        }
    }

    /// Writes an entry of a service that no configuration names, at the address of a backend server.
    pub fn write_foreign_entry(&self, index: usize) {
        let entry = json!({
            "service": "unheard-of", "address": format!("{}:{APP_PORT}", self.agent_host(index)),
            "zone": "zone-a", "version": "v9", "slots": 64, "state": "ready",
            "coldRemainingMs": 0, "sequence": 1, "born": 1,
        });
        self.store.put("servers/i-of-another-program", &entry);
    }

    /// Publishes a backend server's entry again, if the server lives.
    pub fn rewrite_entry(&self, index: usize) {
        let draining = self.backends[index]
            .as_ref()
            .is_some_and(BackendHandle::is_draining);
        self.register(index, if draining { "draining" } else { "ready" });
    }
}
