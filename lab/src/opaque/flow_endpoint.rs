//! One end of a flow, with sequence numbers, acknowledgements and retransmission.

use std::net::SocketAddrV4;

use crate::opaque::packet::{ACK, FIN, MAX_DATA_BYTES, Packet};

/// The maximum number of packets in flight.
const WINDOW_PACKETS: usize = 16;
/// The initial retransmission timeout, in milliseconds; each retransmission doubles it.
const INITIAL_RETRANSMIT_MS: u64 = 200;
/// The maximum retransmission timeout, in milliseconds.
const MAX_RETRANSMIT_MS: u64 = 1_600;

/// The state of one end of a flow.
#[derive(Debug, Clone)]
pub(crate) struct FlowEndpoint {
    local: SocketAddrV4,
    remote: SocketAddrV4,
    /// The sequence number of the first byte that the other end has not acknowledged.
    first_unacknowledged: u32,
    /// The data from that byte on, sent or not.
    pending_data: Vec<u8>,
    in_flight_bytes: usize,
    is_closing: bool,
    next_expected: u32,
    received: Vec<u8>,
    is_remote_closed: bool,
    retransmit_timeout_ms: u64,
    retransmit_at_ms: u64,
    must_acknowledge: bool,
    /// The number of retransmissions since the last acknowledgement of new data.
    pub(crate) retransmissions: u32,
}

impl FlowEndpoint {
    /// Creates the state of an end after the handshake.
    pub(crate) fn new(
        local: SocketAddrV4,
        remote: SocketAddrV4,
        sequence: u32,
        next_expected: u32,
    ) -> Self {
        Self {
            local,
            remote,
            first_unacknowledged: sequence,
            pending_data: Vec::new(),
            in_flight_bytes: 0,
            is_closing: false,
            next_expected,
            received: Vec::new(),
            is_remote_closed: false,
            retransmit_timeout_ms: INITIAL_RETRANSMIT_MS,
            retransmit_at_ms: 0,
            must_acknowledge: false,
            retransmissions: 0,
        }
    }

    /// Queues bytes to send.
    pub(crate) fn queue(&mut self, bytes: &[u8]) {
        self.pending_data.extend_from_slice(bytes);
    }

    /// Ends this direction of the flow after the queued data.
    pub(crate) fn close(&mut self) {
        self.is_closing = true;
    }

    /// Returns the sequence number of the next expected byte.
    pub(crate) fn next_expected(&self) -> u32 {
        self.next_expected
    }

    /// Returns the received data that was not consumed yet.
    pub(crate) fn received(&self) -> &[u8] {
        &self.received
    }

    /// Removes and returns the first bytes of the received data.
    pub(crate) fn consume(&mut self, bytes: usize) -> Vec<u8> {
        self.received.drain(..bytes).collect()
    }

    /// Returns whether the other end has closed its direction of the flow.
    pub(crate) fn is_remote_closed(&self) -> bool {
        self.is_remote_closed
    }

    /// Processes a packet from the other end.
    pub(crate) fn receive_packet(&mut self, packet: &Packet, now_ms: u64) {
        if packet.has_flags(ACK) {
            let acknowledged = packet
                .acknowledgement
                .wrapping_sub(self.first_unacknowledged) as usize;
            if (1..=self.in_flight_bytes).contains(&acknowledged) {
                self.pending_data
                    .drain(..acknowledged.min(self.pending_data.len()));
                self.first_unacknowledged = packet.acknowledgement;
                self.in_flight_bytes -= acknowledged;
                self.retransmit_timeout_ms = INITIAL_RETRANSMIT_MS;
                self.retransmit_at_ms = now_ms + self.retransmit_timeout_ms;
                self.retransmissions = 0;
            }
        }
        if !packet.data.is_empty() {
            if packet.sequence == self.next_expected {
                self.received.extend_from_slice(&packet.data);
                self.next_expected = self.next_expected.wrapping_add(packet.data.len() as u32);
            }
            self.must_acknowledge = true;
        }
        let end = packet.sequence.wrapping_add(packet.data.len() as u32);
        if packet.has_flags(FIN) && end == self.next_expected {
            self.is_remote_closed = true;
            self.must_acknowledge = true;
        }
    }

    /// Returns the packets to send now: new data, retransmissions, or an acknowledgement alone.
    pub(crate) fn packets_to_send(&mut self, now_ms: u64) -> Vec<Packet> {
        if self.in_flight_bytes > 0 && now_ms >= self.retransmit_at_ms {
            self.in_flight_bytes = 0;
            self.retransmissions += 1;
            self.retransmit_timeout_ms = (self.retransmit_timeout_ms * 2).min(MAX_RETRANSMIT_MS);
        }
        let mut packets = Vec::new();
        while self.in_flight_bytes < self.pending_data.len()
            && self.in_flight_bytes < WINDOW_PACKETS * MAX_DATA_BYTES
        {
            let from = self.in_flight_bytes;
            let to = self.pending_data.len().min(from + MAX_DATA_BYTES);
            let data = self.pending_data[from..to].to_vec();
            let mut packet = self.packet(from, data);
            if self.is_closing && to == self.pending_data.len() {
                packet.flags |= FIN;
            }
            packets.push(packet);
            if from == 0 {
                self.retransmit_at_ms = now_ms + self.retransmit_timeout_ms;
            }
            self.in_flight_bytes = to;
        }
        if packets.is_empty() && self.must_acknowledge {
            packets.push(self.packet(self.in_flight_bytes, Vec::new()));
        }
        self.must_acknowledge = false;
        packets
    }

    /// Returns a packet without data that closes this direction of the flow.
    pub(crate) fn fin_packet(&self) -> Packet {
        let mut packet = self.packet(self.in_flight_bytes, Vec::new());
        packet.flags |= FIN;
        packet
    }

    fn packet(&self, offset: usize, data: Vec<u8>) -> Packet {
        Packet {
            flags: ACK,
            sequence: self.first_unacknowledged.wrapping_add(offset as u32),
            acknowledgement: self.next_expected,
            source: self.local,
            destination: self.remote,
            data,
        }
    }
}
