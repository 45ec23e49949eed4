//! Packet headers, messages between processes, and the actions that send them.
//!
//! This module makes no decisions and uses no other module of `opaque`. See docs/OPAQUE.md.

pub(crate) mod action;
pub(crate) mod message;
pub(crate) mod segment;
