//! A stand-in for the platform's routers, which forward each packet to a ready balancer by the hash
//! of its flow.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use endivedyke::Result;
use xxhash_rust::xxh3::xxh3_64;

/// The interval between two readiness probes of a balancer.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// The timeout of a readiness probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 400;
/// The number of consecutive failed probes after which a balancer gets no more packets.
const MISSES_UNTIL_REMOVED: u32 = 2;

#[derive(Debug, Clone)]
struct ProbedBalancer {
    host: Ipv4Addr,
    /// The number of consecutive failed probes.
    misses: u32,
}

/// The routers of a site.
#[derive(Debug, Clone)]
pub(crate) struct Routers {
    balancers: Rc<RefCell<Vec<ProbedBalancer>>>,
    socket: Rc<UdpSocket>,
    packet_port: u16,
}

impl Routers {
    /// Starts routers that probe these balancers.
    pub(crate) fn start(
        router_host: Ipv4Addr,
        hosts: &[Ipv4Addr],
        packet_port: u16,
        ready_port: u16,
    ) -> Result<Self> {
        let probed = |host: &Ipv4Addr| ProbedBalancer {
            host: *host,
            misses: MISSES_UNTIL_REMOVED,
        };
        let socket = UdpSocket::bind((router_host, 0))?;
        socket.set_nonblocking(true)?;
        let routers = Self {
            balancers: Rc::new(RefCell::new(hosts.iter().map(probed).collect())),
            socket: Rc::new(socket),
            packet_port,
        };
        for (index, host) in hosts.iter().enumerate() {
            let routers = routers.clone();
            let address = SocketAddr::from((*host, ready_port));
            compio::runtime::spawn(async move { routers.probe(index, address).await }).detach();
        }
        Ok(routers)
    }

    async fn probe(self, index: usize, address: SocketAddr) {
        loop {
            let answer = endivedyke::http_get(address, "/api/readiness", PROBE_TIMEOUT_MS).await;
            let ready = answer.is_ok_and(|answer| answer.status().is_success());
            self.record_probe(index, ready);
            compio::time::sleep(PROBE_PERIOD).await;
        }
    }

    fn record_probe(&self, index: usize, ready: bool) {
        let misses = &mut self.balancers.borrow_mut()[index].misses;
        *misses = if ready { 0 } else { *misses + 1 };
    }

    /// Returns the number of balancers in rotation.
    pub(crate) fn ready_count(&self) -> usize {
        let balancers = self.balancers.borrow();
        balancers
            .iter()
            .filter(|balancer| balancer.misses < MISSES_UNTIL_REMOVED)
            .count()
    }

    /// Forwards a packet of a caller. If no balancer is in rotation, all are used.
    pub(crate) fn forward(&self, caller: SocketAddrV4, called: SocketAddrV4, packet: &[u8]) {
        let balancers = self.balancers.borrow();
        let none_ready = balancers
            .iter()
            .all(|balancer| balancer.misses >= MISSES_UNTIL_REMOVED);
        let candidates = balancers
            .iter()
            .filter(|balancer| none_ready || balancer.misses < MISSES_UNTIL_REMOVED);
        let weight = |balancer: &&ProbedBalancer| {
            xxh3_64(format!("{caller} {called} {}", balancer.host).as_bytes())
        };
        if let Some(balancer) = candidates.max_by_key(weight) {
            // A packet that can't be sent is lost, as on any network.
            let _ = self
                .socket
                .send_to(packet, (balancer.host, self.packet_port));
        }
    }
}
