//! The programs: start and stop of the daemons, and the operators' command line client.
//!
//! Invalid settings and arguments end with a numbered error and its remedy, and a process logs that it stops
//! before it does. Only this folder may use all others.

pub(crate) mod daemon;
pub(crate) mod operator;
pub(crate) mod state_view;
