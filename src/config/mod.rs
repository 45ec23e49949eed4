//! What is published, as values: tables, hosts, keys, routes, entries of backend servers, settings, and
//! the ids and hashes by which they are named. Nothing here keeps state but the store of values.

pub(crate) mod backend_entry;
pub(crate) mod config_store;
pub(crate) mod delta;
pub(crate) mod hash;
pub(crate) mod hosts;
pub(crate) mod keys;
pub(crate) mod membership;
pub(crate) mod platform;
pub(crate) mod route_diff;
pub(crate) mod route_table;
pub(crate) mod sealed_id;
pub(crate) mod service_id;
pub(crate) mod settings;
pub(crate) mod table;
pub(crate) mod table_diff;
