//! What keeps a process level with what is published: the state that all parts share, who reads the
//! platform, how values pass between processes, what is answered on control links, the reload of settings.
//!
//! The rule that lives here: a change is in force everywhere within seconds, also while the platform or
//! some processes are away, and nobody is elected for it. It uses all folders below, and no form of flows.

pub(crate) mod control_plane;
pub(crate) mod node_server;
pub(crate) mod platform_reader;
pub(crate) mod relay;
pub(crate) mod reload;
