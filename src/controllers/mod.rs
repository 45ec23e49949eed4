//! What keeps a process level with what is published: the state all parts share, who reads the
//! platform, how values pass between processes, and the reload of settings.

pub(crate) mod control;
pub(crate) mod node_server;
pub(crate) mod platform_reader;
pub(crate) mod relay;
pub(crate) mod reload;
