//! How operators and backend servers recover after a restore of the store from an older copy.

use serde_json::json;

use crate::opaque::site::OpaqueSite;
use crate::opaque::site::faults::EVACUATE_PREFIX;

impl OpaqueSite {
    /// Returns the version of the newest configuration.
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Rewrites the configuration, the evacuations and the entries of running backend servers, which
    /// the store may have lost.
    pub fn rewrite_lost_values(&self) {
        self.write_config();
        self.write_evacuations();
        for index in 0..self.backends.len() {
            self.rewrite_entry(index);
        }
    }

    fn write_evacuations(&self) {
        let evacuated = self.evacuated.borrow();
        let expected: Vec<String> = evacuated
            .iter()
            .map(|zone| format!("{EVACUATE_PREFIX}{zone}"))
            .collect();
        let stored = self.store.keys(EVACUATE_PREFIX);
        for key in expected.iter().filter(|key| !stored.contains(key)) {
            self.store.put(key, &json!({}));
        }
        for key in stored.iter().filter(|key| !expected.contains(key)) {
            self.store.remove(key);
        }
    }

    /// Removes the entries of backend servers that have ended, as the store does when their leases
    /// expire.
    pub fn remove_dead_entries(&self) {
        let live = self.backends.iter().flatten();
        let live: Vec<String> = live
            .map(|backend| format!("servers/{}", backend.id))
            .collect();
        for key in self.store.keys("servers/i-") {
            if !live.contains(&key) {
                self.store.remove(&key);
            }
        }
    }
}
