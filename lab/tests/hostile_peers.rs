//! Unauthenticated peers at every port of running processes: their datagrams and links are dropped
//! and counted, and callers are not affected.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use common::{assert_no_visible_failure, load, run, site};
use endivedyke::{ClusterKey, Envelope, EnvelopeKey, EnvelopeKind, ServiceId};
use endivedyke_lab::{CallerProcess, Site};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const CONTROL_PORT: u16 = 4_700;
const DATAGRAM_PORT: u16 = 4_701;

/// Sends random, forged and repeated datagrams to every UDP port of the site.
fn send_datagrams(site: &Site, random: &mut StdRng) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket");
    let mut ports: Vec<SocketAddr> = vec![site.service_address(0)];
    ports.extend(
        site.daemon_hosts()
            .iter()
            .map(|host| SocketAddr::from((*host, DATAGRAM_PORT))),
    );
    let wrong_key = EnvelopeKey::new(&ClusterKey::new([1; 32]));
    for port in ports {
        for round in 0..200 {
            let bytes = random.random_range(0..1_500);
            let mut datagram = vec![0; bytes];
            random.fill(datagram.as_mut_slice());
            if round % 3 == 0 {
                let envelope = Envelope {
                    kind: EnvelopeKind::Inbound,
                    service: ServiceId::from_name("queue-desk"),
                    caller: port,
                    balancer: "127.0.0.1".parse().expect("an address"),
                    revision: u64::MAX.into(),
                };
                wrong_key.append(&mut datagram, &envelope);
            }
            let _ = socket.send_to(&datagram, port);
            let _ = socket.send_to(&datagram, port);
        }
    }
}

/// Connects to every control port without the cluster key, once without sending anything and once
/// with 100,000 random bytes.
fn open_links(site: &Site, random: &mut StdRng) {
    for host in site.daemon_hosts() {
        let address = SocketAddr::from((host, CONTROL_PORT));
        let silent = TcpStream::connect(address).expect("accepts");
        let mut garbage = TcpStream::connect(address).expect("accepts");
        let mut bytes = vec![0; 100_000];
        random.fill(bytes.as_mut_slice());
        let _ = garbage.write_all(&bytes);
        garbage
            .set_read_timeout(Some(Duration::from_secs(5)))
            .expect("a timeout");
        // A nonce of 16 bytes and a proof of 32 bytes precede the refusal, and nothing follows it.
        let mut response = Vec::new();
        let _ = garbage.read_to_end(&mut response);
        assert!(
            response.len() <= 48,
            "an unauthenticated peer got {} bytes",
            response.len()
        );
        drop(silent);
    }
}

#[test]
fn unauthenticated_peers_are_refused_and_callers_see_no_failure() {
    run(async {
        let site = site(2).await;
        let mut random = StdRng::seed_from_u64(9);
        let callers = CallerProcess::start(&site, 0, &load(10, 10, 4)).expect("callers");
        send_datagrams(&site, &mut random);
        open_links(&site, &mut random);
        let stats = callers.finish(&site).await.expect("finishes");
        assert_no_visible_failure(&stats);
        for host in site.daemon_hosts() {
            let dropped = site
                .metric(host, "packets_dropped_total")
                .await
                .expect("alive");
            assert!(dropped > 0.0, "{host} counts dropped packets");
            let refused = site
                .metric(host, "links_refused_total")
                .await
                .expect("alive");
            assert!(refused > 0.0, "{host} counts refused links");
        }
    });
}
