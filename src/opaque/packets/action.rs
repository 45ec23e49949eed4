//! The actions that a decision about a packet returns to its process.

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::opaque::packets::message::Message;

/// One packet or message to send, with its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a caller's packet to this agent's backend server.
    ToBackend(Vec<u8>),
    /// Sends a packet to the caller at this address.
    ToCaller(SocketAddrV4, Vec<u8>),
    /// Sends a payload with a trailer to the process on another host.
    ToPeer(Ipv4Addr, Message, Vec<u8>),
}
