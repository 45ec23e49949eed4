//! What a decision about a packet asks the process to do.

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::opaque::packets::message::Message;

/// One thing to send, with the bytes as they go out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Hands a caller's packet to the backend server beside this agent.
    ToBackend(Vec<u8>),
    /// Sends a packet to the caller whose end this is.
    ToCaller(SocketAddrV4, Vec<u8>),
    /// Sends a payload with a trailer to the process on another host.
    ToPeer(Ipv4Addr, Message, Vec<u8>),
}
