//! The programs: how a daemon starts and stops, and the operators' client. They alone know all folders.

pub(crate) mod daemon;
pub(crate) mod operator;
pub(crate) mod state_view;
