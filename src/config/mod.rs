//! Published values (tables, hosts, keys, routes, entries of backend servers), settings, and the
//! ids and hashes that identify them.
//!
//! An invalid value is rejected as a whole, with its line and code, and no value goes back to an
//! older state. [`config_store`] is the only module here that keeps state. Of the other folders,
//! only `process` is used.

pub(crate) mod backend_entry;
pub(crate) mod cold_starts;
pub(crate) mod config_store;
pub(crate) mod deadlines;
pub(crate) mod delta;
pub(crate) mod evacuation;
pub(crate) mod hash;
pub(crate) mod hosts;
pub(crate) mod incoming_value;
pub(crate) mod keys;
pub(crate) mod membership;
pub(crate) mod platform;
pub(crate) mod revision;
pub(crate) mod route_diff;
pub(crate) mod route_table;
pub(crate) mod sealed_id;
pub(crate) mod service_id;
pub(crate) mod service_names;
pub(crate) mod settings;
pub(crate) mod table;
pub(crate) mod table_diff;
pub(crate) mod version_stamp;
