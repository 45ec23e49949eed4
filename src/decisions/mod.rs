//! The choices of the product as plain structs that are told the time and do no input or output:
//! placement, admission, slots, suspicion, what ran once.
//!
//! The rule that lives here: limits of the table are hard, and what may not run twice does not. Only values
//! of `config` are used.

pub(crate) mod admission;
pub(crate) mod flow_history;
pub(crate) mod known_waits;
pub(crate) mod ledger;
pub(crate) mod load_board;
pub(crate) mod move_share;
pub(crate) mod offers;
pub(crate) mod placement;
pub(crate) mod retry_budget;
pub(crate) mod service_time;
pub(crate) mod slot_queue;
pub(crate) mod slots;
pub(crate) mod stall;
pub(crate) mod suspicion;
pub(crate) mod wait_queue;
pub(crate) mod waiting;
