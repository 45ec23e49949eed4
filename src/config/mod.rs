//! What is published and how it stays level among processes: values, tables, hosts, keys, settings,
//! relay.

pub(crate) mod config_store;
pub(crate) mod delta;
pub(crate) mod hosts;
pub(crate) mod keys;
pub(crate) mod membership;
pub(crate) mod platform;
pub(crate) mod platform_reader;
pub(crate) mod relay;
pub(crate) mod reload;
pub(crate) mod service_id;
pub(crate) mod settings;
pub(crate) mod table;
pub(crate) mod table_diff;
