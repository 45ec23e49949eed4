//! Strangers at every port of running processes: counted and dropped, and service goes on.

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

/// Sends random, truncated, forged and replayed datagrams to every port that takes any.
fn send_datagrams(site: &Site, random: &mut StdRng) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket");
    let mut ports: Vec<SocketAddr> = vec![site.service_address(0)];
    ports.extend(
        site.daemon_hosts()
            .iter()
            .map(|host| SocketAddr::from((*host, DATAGRAM_PORT))),
    );
    let foreign = EnvelopeKey::new(&ClusterKey::new([1; 32]));
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
                foreign.append(&mut datagram, &envelope);
            }
            let _ = socket.send_to(&datagram, port);
            let _ = socket.send_to(&datagram, port);
        }
    }
}

/// Connects to every control port without the key, and with silence, garbage and a flood of bytes.
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
        // 16 bytes of a nonce and 32 of a proof come before the refusal, and nothing after.
        let mut answer = Vec::new();
        let _ = garbage.read_to_end(&mut answer);
        assert!(answer.len() <= 48, "a stranger got {} bytes", answer.len());
        drop(silent);
    }
}

#[test]
fn strangers_get_nothing_and_callers_notice_nothing() {
    run(async {
        let site = site(2).await;
        let mut random = StdRng::seed_from_u64(9);
        let callers = CallerProcess::start(&site, 0, &load(10, 10, 4)).expect("callers");
        send_datagrams(&site, &mut random);
        open_links(&site, &mut random);
        let tally = callers.finish(&site).await.expect("ends");
        assert_no_visible_failure(&tally);
        for host in site.daemon_hosts() {
            let dropped = site
                .metric(host, "packets_dropped_total")
                .await
                .expect("alive");
            assert!(dropped > 0.0, "{host} counts what it drops");
            let refused = site
                .metric(host, "links_refused_total")
                .await
                .expect("alive");
            assert!(refused > 0.0, "{host} counts refused links");
        }
    });
}
