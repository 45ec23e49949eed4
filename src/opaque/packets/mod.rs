//! What travels: packets of callers and backend servers as their headers tell, messages between processes, and
//! what a decision asks to be sent.
//!
//! The rule that lives here: nothing here decides, and nothing else of `opaque` is used. See docs/OPAQUE.md.

pub(crate) mod action;
pub(crate) mod message;
pub(crate) mod segment;
