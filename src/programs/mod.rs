//! The programs: how a daemon starts and stops, and the operators' client.
//!
//! The rule that lives here: bad settings and words end with a numbered error that says what to do, and a
//! process that stops says so before it does. These alone use all folders.

pub(crate) mod daemon;
pub(crate) mod operator;
pub(crate) mod state_view;
