//! Fixtures shared by several tests.
#![allow(dead_code, unreachable_pub)]

use std::net::Ipv4Addr;

use endivedyke::{ClusterKey, ConfigStore, LoadReport, TABLE_HEADER, Table};

/// Returns the address of the host of the target with this index.
pub fn host(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250 + 1) as u8)
}

/// Returns the text of a table with one target for each weight, each on its own host.
pub fn table_text(service: &str, weights: &[u32], connections: u32) -> String {
    let mut text = format!("{TABLE_HEADER}\n");
    for (index, weight) in weights.iter().enumerate() {
        let host = host(index);
        text += &format!(
            "{service},192.0.2.1:443,t{index:04},{host},{host}:8080,{weight},4,{connections}\n"
        );
    }
    text
}

/// Returns a table with one target for each weight.
pub fn table(weights: &[u32]) -> Table {
    Table::parse(&table_text("panel-front", weights, 2_000)).expect("sound table")
}

/// Returns the cluster key that the tests use.
pub fn cluster_key() -> ClusterKey {
    ClusterKey::new([7; 32])
}

/// Returns a configuration store that holds these values, each a name, revision and text.
pub fn store(values: &[(&str, u64, &str)]) -> ConfigStore {
    let mut store = ConfigStore::new(&cluster_key());
    for (name, revision, text) in values {
        store.accept(name, *revision, text).expect("sound value");
    }
    store
}

/// Returns the load report of a target that takes its full share.
pub fn report(index: usize, sequence: u32, open_flows: u32) -> LoadReport {
    LoadReport {
        host: host(index),
        incarnation: 1,
        sequence,
        open_flows,
        busy_slots: 0,
        age_cs: 0,
        busy_centislots: 0,
        share_permille: 1_000,
    }
}
