//! UDP sockets with buffers large enough for bursts.

use std::net::SocketAddr;

use compio::net::UdpSocket;
use socket2::{Domain, Protocol, Socket, Type};

use crate::code::Code;
use crate::error::{Error, Result};

/// The largest datagram taken from a caller, in bytes: what an Ethernet frame carries, and more.
pub(crate) const MAX_PACKET_BYTES: usize = 2_048;
/// The most that a process adds to a datagram for the next one, in bytes.
pub(crate) const MAX_TRAILER_BYTES: usize = 128;
/// The size of a buffer that holds a datagram and what was added to it.
pub(crate) const BUFFER_BYTES: usize = MAX_PACKET_BYTES + MAX_TRAILER_BYTES;

const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Binds a socket; large buffers are asked for, and what the host allows is taken.
pub fn bind(address: SocketAddr) -> Result<UdpSocket> {
    bind_pair(address).map(|(receiver, _)| receiver)
}

fn ask_for_buffers(socket: &Socket) {
    // A host that grants less only drops more datagrams in a burst.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
}

/// Binds a socket to receive on, and gives out the same one to send on without waiting.
pub(crate) fn bind_pair(
    address: impl Into<SocketAddr>,
) -> Result<(UdpSocket, std::net::UdpSocket)> {
    let address = address.into();
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    ask_for_buffers(&socket);
    socket.set_nonblocking(true)?;
    socket
        .bind(&address.into())
        .map_err(|error| Error::new(Code::Io, format!("UDP {address}: {error}")))?;
    let sender: std::net::UdpSocket = socket.into();
    Ok((UdpSocket::from_std(sender.try_clone()?)?, sender))
}
