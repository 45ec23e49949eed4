//! A stand-in for the platform's routers: each packet goes to a ready balancer by its flow's hash.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use endivedyke::Result;
use xxhash_rust::xxh3::xxh3_64;

/// How often each balancer is asked whether it takes traffic.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// How long its answer may take, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 400;
/// After how many missed answers it gets no packet.
const MISSES: u32 = 2;

#[derive(Debug, Clone)]
struct Rotation {
    host: Ipv4Addr,
    misses: u32,
}

/// The routers of a site.
#[derive(Debug, Clone)]
pub(crate) struct Routers {
    balancers: Rc<RefCell<Vec<Rotation>>>,
    socket: Rc<UdpSocket>,
    packet_port: u16,
}

impl Routers {
    /// Starts routers that probe these balancers.
    pub(crate) fn start(
        own: Ipv4Addr,
        hosts: &[Ipv4Addr],
        packet_port: u16,
        ready_port: u16,
    ) -> Result<Self> {
        let rotation = |host: &Ipv4Addr| Rotation {
            host: *host,
            misses: MISSES,
        };
        let socket = UdpSocket::bind((own, 0))?;
        socket.set_nonblocking(true)?;
        let routers = Self {
            balancers: Rc::new(RefCell::new(hosts.iter().map(rotation).collect())),
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
            self.note(index, ready);
            compio::time::sleep(PROBE_PERIOD).await;
        }
    }

    fn note(&self, index: usize, ready: bool) {
        let misses = &mut self.balancers.borrow_mut()[index].misses;
        *misses = if ready { 0 } else { *misses + 1 };
    }

    /// Returns how many balancers are in rotation.
    pub(crate) fn ready(&self) -> usize {
        let balancers = self.balancers.borrow();
        balancers
            .iter()
            .filter(|balancer| balancer.misses < MISSES)
            .count()
    }

    /// Forwards a caller's packet; where no balancer is in rotation, all are used.
    pub(crate) fn forward(&self, caller: SocketAddrV4, called: SocketAddrV4, packet: &[u8]) {
        let balancers = self.balancers.borrow();
        let none = balancers.iter().all(|balancer| balancer.misses >= MISSES);
        let used = balancers
            .iter()
            .filter(|balancer| none || balancer.misses < MISSES);
        let weigh = |balancer: &&Rotation| {
            xxh3_64(format!("{caller} {called} {}", balancer.host).as_bytes())
        };
        if let Some(balancer) = used.max_by_key(weigh) {
            // A packet that can't be sent is lost, as on any network.
            let _ = self
                .socket
                .send_to(packet, (balancer.host, self.packet_port));
        }
    }
}
