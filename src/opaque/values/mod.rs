//! The published values: how a process reads them from the platform, relays them to its peers and
//! keeps them in memory.
//!
//! A value is never replaced by an older one, and stale values are never treated as the current
//! state. See docs/OPAQUE.md.

pub(crate) mod backend_change;
pub(crate) mod backend_tables;
pub(crate) mod batch_diff;
pub(crate) mod directory;
pub(crate) mod freshness;
pub(crate) mod known_balancers;
pub(crate) mod local_backend;
pub(crate) mod operator_values;
pub(crate) mod published_entries;
pub(crate) mod published_entry;
pub(crate) mod restoration;
pub(crate) mod settle_state;
pub(crate) mod source;
pub(crate) mod startup_backoff;
pub(crate) mod value_change;
pub(crate) mod value_sync;
