//! UDP sockets with buffers large enough for bursts.

use std::net::{IpAddr, SocketAddr};

use compio::net::UdpSocket;
use socket2::{Domain, Protocol, Socket, Type};

use crate::code::Code;
use crate::envelope::ENVELOPE_BYTES;
use crate::error::{Error, Result};

/// The largest datagram taken from a caller, in bytes: what an Ethernet frame carries, and more.
pub(crate) const MAX_PACKET_BYTES: usize = 2_048;
/// The size of a buffer that holds a datagram and its envelope.
pub(crate) const BUFFER_BYTES: usize = MAX_PACKET_BYTES + ENVELOPE_BYTES;

const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Binds a socket; large buffers are asked for, and what the host allows is taken.
pub fn bind(address: SocketAddr) -> Result<UdpSocket> {
    let domain = match address.ip() {
        IpAddr::V4(_) => Domain::IPV4,
        IpAddr::V6(_) => Domain::IPV6,
    };
    let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket
        .bind(&address.into())
        .map_err(|error| Error::new(Code::Io, format!("UDP {address}: {error}")))?;
    Ok(UdpSocket::from_std(socket.into())?)
}
