//! How many datagrams a second a real balancer forwards, beside a bare loop on the same runtime.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use compio::BufResult;
use endivedyke::{
    CLUSTER_KEY_BYTES, ClusterKey, Code, Error, KeyRing, Result, SealedId, SealedIdKind, ServiceId,
};

use crate::proc_stat;
use crate::site::{DATAGRAM_PORT, SITE_KEY_BYTE, Site, SiteBuilder};

const PACKET_BYTES: usize = 1_200;
const SENDERS: usize = 3;
const SPAN: Duration = Duration::from_secs(3);
const FLOWS: usize = 200_000;

/// What the run showed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DatagramRates {
    pub(crate) bare_per_s: f64,
    pub(crate) with_token_per_s: f64,
    pub(crate) openers_per_s: f64,
    pub(crate) memory_before_bytes: u64,
    pub(crate) memory_after_bytes: u64,
}

/// Runs the bare loop and then a balancer under the same senders.
pub(crate) fn run() -> Result<DatagramRates> {
    let runtime = compio::runtime::Runtime::new()?;
    let mut site = runtime.block_on(SiteBuilder::new(1).service("front", 1, 4, 5).start())?;
    let id = site.balancer(0).map_or(0, |balancer| balancer.id());
    let sink = Sink::start(site.unused_host())?;
    let bare_per_s = bare_rate(&site, &sink)?;
    let port = SocketAddr::from((site.balancer_host(0), site.service_address(0).port()));
    let memory_before_bytes = proc_stat::usage(id)?.memory_bytes;
    let with_token_per_s = sink.rate_of(port, &token_packets(site.unused_host()))?;
    let memory_after_bytes = proc_stat::usage(id)?.memory_bytes;
    let openers_per_s = opener_rate(&runtime, &site, port)?;
    Ok(DatagramRates {
        bare_per_s,
        with_token_per_s,
        openers_per_s,
        memory_before_bytes,
        memory_after_bytes,
    })
}

/// Returns one packet for each of many flows, with tokens of an agent on `host`.
fn token_packets(host: Ipv4Addr) -> Vec<Vec<u8>> {
    let ring = KeyRing::initial(&ClusterKey::new([SITE_KEY_BYTE; CLUSTER_KEY_BYTES]));
    let packet = |nonce: usize| {
        let token = SealedId {
            host,
            incarnation: 1,
            service: ServiceId::from_name("front"),
            nonce: nonce as u32,
        };
        let mut packet = vec![0x40];
        packet.extend_from_slice(&token.seal(&ring, SealedIdKind::Token, [0; 3]));
        packet
    };
    (0..FLOWS).map(packet).collect()
}

fn opener_packets() -> Vec<Vec<u8>> {
    let packet = |number: usize| {
        let mut packet = vec![0xc0, 0, 0, 0, 1, 8];
        packet.extend_from_slice(&(number as u64).to_le_bytes());
        packet
    };
    (0..FLOWS).map(packet).collect()
}

/// Counts what arrives at an address of its own.
struct Sink {
    address: SocketAddr,
    received: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Sink {
    fn start(host: Ipv4Addr) -> Result<Sink> {
        let socket = UdpSocket::bind((host, DATAGRAM_PORT))?;
        socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        let sink = Sink {
            address: socket.local_addr()?,
            received: Arc::default(),
            stop: Arc::default(),
        };
        let (received, stop) = (sink.received.clone(), sink.stop.clone());
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while !stop.load(Ordering::Relaxed) {
                if socket.recv(&mut buffer).is_ok() {
                    received.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
        Ok(sink)
    }

    /// Sends packets to `port` as fast as it can and returns how many a second come out here.
    fn rate_of(&self, port: SocketAddr, packets: &[Vec<u8>]) -> Result<f64> {
        let before = self.received.load(Ordering::Relaxed);
        let started = Instant::now();
        flood(port, packets)?;
        let received = self.received.load(Ordering::Relaxed) - before;
        Ok(received as f64 / started.elapsed().as_secs_f64())
    }
}

impl Drop for Sink {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Sends for the span from several threads, and ends.
fn flood(port: SocketAddr, packets: &[Vec<u8>]) -> Result<()> {
    let outcome: Vec<Result<()>> = thread::scope(|scope| {
        let part = packets.len().div_ceil(SENDERS);
        let send = |packets| scope.spawn(move || send_all(port, packets));
        let senders: Vec<_> = packets.chunks(part).map(send).collect();
        let ended = senders.into_iter().map(|sender| sender.join());
        ended
            .map(|end| end.unwrap_or_else(|_| Err(Error::new(Code::Io, "a sender died"))))
            .collect()
    });
    outcome.into_iter().collect()
}

fn send_all(port: SocketAddr, packets: &[Vec<u8>]) -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let until = Instant::now() + SPAN;
    let mut datagram = vec![0; PACKET_BYTES];
    for packet in packets.iter().cycle() {
        datagram[..packet.len()].copy_from_slice(packet);
        let _ = socket.send_to(&datagram, port);
        if Instant::now() >= until {
            break;
        }
    }
    Ok(())
}

/// Measures a loop that receives and sends on the daemons' runtime and does nothing else.
fn bare_rate(site: &Site, sink: &Sink) -> Result<f64> {
    let address = SocketAddr::from((site.unused_host(), 9));
    let to = sink.address;
    let (ready, wait) = std::sync::mpsc::channel();
    thread::spawn(move || -> Result<()> {
        compio::runtime::Runtime::new()?.block_on(async {
            let socket = endivedyke::bind_udp(address)?;
            let _ = ready.send(());
            let mut buffer = Vec::with_capacity(2_094);
            loop {
                buffer.clear();
                let BufResult(result, received) = socket.recv_from(buffer).await;
                buffer = received;
                if result.is_ok() {
                    let BufResult(_, sent) = socket.send_to(buffer, to).await;
                    buffer = sent;
                }
            }
        })
    });
    // An error of the thread drops its end of the channel, and the rate is then none.
    let _ = wait.recv();
    sink.rate_of(address, &opener_packets())
}

fn opener_rate(runtime: &compio::runtime::Runtime, site: &Site, port: SocketAddr) -> Result<f64> {
    let openers = || runtime.block_on(site.metric(site.balancer_host(0), "openers_total"));
    let before = openers()?;
    let started = Instant::now();
    flood(port, &opener_packets())?;
    let elapsed_s = started.elapsed().as_secs_f64();
    Ok((openers()? - before) / elapsed_s)
}
