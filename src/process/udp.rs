//! UDP sockets with buffers large enough for bursts.

use std::net::SocketAddr;

use compio::net::UdpSocket;
use socket2::{Domain, Protocol, Socket, Type};

use crate::code::Code;
use crate::error::{Error, Result};

/// The largest datagram accepted from a caller: more than an Ethernet frame carries.
pub(crate) const MAX_PACKET_BYTES: usize = 2_048;
/// The longest trailer that one process appends to a datagram for the next process.
pub(crate) const MAX_TRAILER_BYTES: usize = 128;
/// The size of a buffer that holds a datagram and its trailer.
pub(crate) const BUFFER_BYTES: usize = MAX_PACKET_BYTES + MAX_TRAILER_BYTES;

const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Binds a UDP socket with large buffers, as far as the host grants them.
pub fn bind(address: SocketAddr) -> Result<UdpSocket> {
    bind_pair(address).map(|(receiver, _)| receiver)
}

fn request_large_buffers(socket: &Socket) {
    // With smaller buffers the host only drops more datagrams in a burst.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
}

/// Binds a UDP socket and returns it twice: to receive asynchronously and to send without blocking.
pub(crate) fn bind_pair(
    address: impl Into<SocketAddr>,
) -> Result<(UdpSocket, std::net::UdpSocket)> {
    let address = address.into();
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    request_large_buffers(&socket);
    socket.set_nonblocking(true)?;
    socket
        .bind(&address.into())
        .map_err(|error| Error::new(Code::Io, format!("UDP {address}: {error}")))?;
    let sender: std::net::UdpSocket = socket.into();
    Ok((UdpSocket::from_std(sender.try_clone()?)?, sender))
}
