//! Keeps a process up to date with the published values: the shared state, reading the platform,
//! passing values between processes, the server of control links, and reloading settings.
//!
//! A change is in force everywhere within seconds, also while the platform or some processes are
//! down, and without electing a leader. The modules here use `process`, `config`, `decisions` and
//! `links`, but neither `quic` nor `opaque`, the two forms of flows.

pub(crate) mod control_plane;
pub(crate) mod node_server;
pub(crate) mod platform_reader;
pub(crate) mod relay;
pub(crate) mod reload;
