//! The datagram path of a balancer makes no allocations once its buffer is allocated.

mod common;

use std::net::SocketAddr;

use common::{cluster_key, host, store, table_text};
use endivedyke::{
    Envelope, EnvelopeKey, EnvelopeKind, SealedId, SealedIdKind, ServiceId, Suspicion, steer,
};

#[test]
fn forwarding_a_datagram_allocates_nothing() {
    let text = table_text("panel-front", &[100; 12], 2_000);
    let store = store(&[("table/panel-front", 1, &text)]);
    let key = EnvelopeKey::new(&cluster_key());
    let service = ServiceId::from_name("panel-front");
    let token = SealedId {
        host: host(1),
        incarnation: 1,
        service,
        nonce: 1,
    };
    let mut short_packet = vec![0x40];
    short_packet.extend_from_slice(&token.seal(store.key_ring(), SealedIdKind::Token, [0; 3]));
    short_packet.resize(1_200, 0);
    let mut opener_packet = vec![0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8];
    opener_packet.resize(1_200, 0);
    let envelope = Envelope {
        kind: EnvelopeKind::Inbound,
        service,
        caller: SocketAddr::from(([198, 51, 100, 1], 4_433)),
        balancer: host(9),
        revision: 1.into(),
    };
    let suspicion = Suspicion::default();
    let mut buffer = Vec::with_capacity(2_048);
    for packet in [&short_packet, &opener_packet] {
        let allocations = allocation_counter::measure(|| {
            for _ in 0..100 {
                buffer.clear();
                buffer.extend_from_slice(packet);
                let route = steer(&store, &suspicion, service, &buffer, 0);
                assert!(route.is_ok());
                key.append(&mut buffer, &envelope);
                assert!(key.open(&buffer).is_ok());
            }
        });
        assert_eq!(allocations.count_total, 0);
    }
}
