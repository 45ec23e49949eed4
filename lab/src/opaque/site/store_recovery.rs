//! What operators and backend servers do once the store has come back from an older copy.

use serde_json::json;

use crate::opaque::site::OpaqueSite;
use crate::opaque::site::faults::EVACUATE_PREFIX;

impl OpaqueSite {
    /// Returns the version of the newest configuration.
    pub fn config_version(&self) -> u64 {
        self.version
    }

    /// Writes again what operators and backend servers wrote, as far as the store no longer has it.
    pub fn rewrite_lost_values(&self) {
        self.write_config();
        self.write_evacuations();
        for index in 0..self.backends.len() {
            self.rewrite_entry(index);
        }
    }

    fn write_evacuations(&self) {
        let evacuated = self.evacuated.borrow();
        let wanted: Vec<String> = evacuated
            .iter()
            .map(|zone| format!("{EVACUATE_PREFIX}{zone}"))
            .collect();
        let held = self.store.keys(EVACUATE_PREFIX);
        for key in wanted.iter().filter(|key| !held.contains(key)) {
            self.store.put(key, &json!({}));
        }
        for key in held.iter().filter(|key| !wanted.contains(key)) {
            self.store.remove(key);
        }
    }

    /// Removes the entries of backend servers that have ended, as once their leases run out.
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
