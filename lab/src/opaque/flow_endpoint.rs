//! One end of a flow: numbers its bytes, acknowledges, and sends again what was lost.

use std::net::SocketAddrV4;

use crate::opaque::packet::{ACK, FIN, MAX_DATA_BYTES, Packet};

/// The most packets that an end has in flight.
const WINDOW_PACKETS: usize = 16;
/// The first wait before a packet is sent again, in milliseconds; it doubles.
const FIRST_WAIT_MS: u64 = 200;
/// The longest such wait, in milliseconds.
const LONGEST_WAIT_MS: u64 = 1_600;

/// The state of one end.
#[derive(Debug, Clone)]
pub(crate) struct FlowEndpoint {
    local: SocketAddrV4,
    remote: SocketAddrV4,
    /// The number of the first byte that the other end has not acknowledged.
    unacknowledged: u32,
    /// The bytes from there on.
    unsent: Vec<u8>,
    in_flight_bytes: usize,
    ends: bool,
    expected: u32,
    received: Vec<u8>,
    remote_ended: bool,
    wait_ms: u64,
    send_again_ms: u64,
    must_acknowledge: bool,
    pub(crate) repeats: u32,
}

impl FlowEndpoint {
    /// Makes an end after the handshake.
    pub(crate) fn new(
        local: SocketAddrV4,
        remote: SocketAddrV4,
        sequence: u32,
        expected: u32,
    ) -> Self {
        Self {
            local,
            remote,
            unacknowledged: sequence,
            unsent: Vec::new(),
            in_flight_bytes: 0,
            ends: false,
            expected,
            received: Vec::new(),
            remote_ended: false,
            wait_ms: FIRST_WAIT_MS,
            send_again_ms: 0,
            must_acknowledge: false,
            repeats: 0,
        }
    }

    /// Queues bytes to send.
    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.unsent.extend_from_slice(bytes);
    }

    /// Sends nothing more after what is queued.
    pub(crate) fn end(&mut self) {
        self.ends = true;
    }

    /// Returns the number of the next byte that is expected.
    pub(crate) fn expected(&self) -> u32 {
        self.expected
    }

    /// Returns what was received and not yet taken.
    pub(crate) fn received(&self) -> &[u8] {
        &self.received
    }

    /// Takes the first bytes received.
    pub(crate) fn take(&mut self, bytes: usize) -> Vec<u8> {
        self.received.drain(..bytes).collect()
    }

    /// Tells whether the other end sends nothing more.
    pub(crate) fn remote_ended(&self) -> bool {
        self.remote_ended
    }

    /// Takes a packet of the other end.
    pub(crate) fn take_packet(&mut self, packet: &Packet, now_ms: u64) {
        if packet.has(ACK) {
            let acknowledged = packet.acknowledgement.wrapping_sub(self.unacknowledged) as usize;
            if (1..=self.in_flight_bytes).contains(&acknowledged) {
                self.unsent.drain(..acknowledged.min(self.unsent.len()));
                self.unacknowledged = packet.acknowledgement;
                self.in_flight_bytes -= acknowledged;
                self.wait_ms = FIRST_WAIT_MS;
                self.send_again_ms = now_ms + self.wait_ms;
                self.repeats = 0;
            }
        }
        if !packet.data.is_empty() {
            if packet.sequence == self.expected {
                self.received.extend_from_slice(&packet.data);
                self.expected = self.expected.wrapping_add(packet.data.len() as u32);
            }
            self.must_acknowledge = true;
        }
        let end = packet.sequence.wrapping_add(packet.data.len() as u32);
        if packet.has(FIN) && end == self.expected {
            self.remote_ended = true;
            self.must_acknowledge = true;
        }
    }

    /// Returns what to send now: new data, what was lost, or a bare acknowledgement.
    pub(crate) fn packets(&mut self, now_ms: u64) -> Vec<Packet> {
        if self.in_flight_bytes > 0 && now_ms >= self.send_again_ms {
            self.in_flight_bytes = 0;
            self.repeats += 1;
            self.wait_ms = (self.wait_ms * 2).min(LONGEST_WAIT_MS);
        }
        let mut packets = Vec::new();
        while self.in_flight_bytes < self.unsent.len()
            && self.in_flight_bytes < WINDOW_PACKETS * MAX_DATA_BYTES
        {
            let from = self.in_flight_bytes;
            let to = self.unsent.len().min(from + MAX_DATA_BYTES);
            let data = self.unsent[from..to].to_vec();
            let mut packet = self.packet(from, data);
            if self.ends && to == self.unsent.len() {
                packet.flags |= FIN;
            }
            packets.push(packet);
            if from == 0 {
                self.send_again_ms = now_ms + self.wait_ms;
            }
            self.in_flight_bytes = to;
        }
        if packets.is_empty() && self.must_acknowledge {
            packets.push(self.packet(self.in_flight_bytes, Vec::new()));
        }
        self.must_acknowledge = false;
        packets
    }

    /// Returns a bare packet that says that this end is done.
    pub(crate) fn last_packet(&self) -> Packet {
        let mut packet = self.packet(self.in_flight_bytes, Vec::new());
        packet.flags |= FIN;
        packet
    }

    fn packet(&self, offset: usize, data: Vec<u8>) -> Packet {
        Packet {
            flags: ACK,
            sequence: self.unacknowledged.wrapping_add(offset as u32),
            acknowledgement: self.expected,
            source: self.local,
            destination: self.remote,
            data,
        }
    }
}
