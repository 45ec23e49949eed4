//! Placement, admission, slot queues, failure detection and the at-most-once ledger.
//!
//! Except for [`slot_queue`], these are plain structs that do no input or output: callers pass in
//! the current time and a random source. The limits of the table are hard, and a request that must
//! not run twice never does. This module uses only types of `code` and `config`, and the clock of
//! `process`.

pub(crate) mod admission;
pub(crate) mod early_openers;
pub(crate) mod flow_history;
pub(crate) mod ledger;
pub(crate) mod moved_fraction;
pub(crate) mod offers;
pub(crate) mod peer_loads;
pub(crate) mod placement;
pub(crate) mod reported_waits;
pub(crate) mod retry_budget;
pub(crate) mod service_time;
pub(crate) mod slot_queue;
pub(crate) mod slots;
pub(crate) mod stall;
pub(crate) mod suspicion;
pub(crate) mod wait_estimate;
pub(crate) mod wait_queue;
