//! What is published, who reads it, and how it travels to those that do not.
//!
//! The rule that lives here: a value is never replaced by an older one, and what is old is not taken for what is so now. See docs/OPAQUE.md.

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
