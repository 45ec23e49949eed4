//! The choices of the product as plain structs that are told the time and do no input or output:
//! placement, admission, slots, suspicion, what ran once.
//!
//! The rule that lives here: limits of the table are hard, and what may not run twice does not. Only values
//! of `config` are used.

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
