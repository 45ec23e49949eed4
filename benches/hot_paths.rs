//! Benchmarks of the hot paths and of naive alternatives, at several sizes.
#![allow(missing_docs)]

use std::collections::HashMap;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use endivedyke::{
    Admission, BeginOutcome, ClusterKey, ConfigStore, Delta, Envelope, EnvelopeKey, EnvelopeKind,
    HOSTS_HEADER, HostList, HostRole, KeyRing, Ledger, LoadReport, Opener, OpenerSource, PeerLoads,
    SealedId, SealedIdKind, ServiceId, Suspicion, TABLE_HEADER, Table, TableDiff, place_opener,
    steer,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const PACKET_BYTES: usize = 1_200;

fn host(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, (index >> 16) as u8, (index >> 8) as u8, index as u8)
}

fn table_text(service: &str, rows: usize) -> String {
    let mut text = format!("{TABLE_HEADER}\n");
    for index in 0..rows {
        let host = host(index + 1);
        text += &format!("{service},192.0.2.1:443,t{index},{host},{host}:80,100,4,2000\n");
    }
    text
}

fn table(rows: usize) -> Table {
    Table::parse(&table_text("front", rows)).expect("sound")
}

fn token(ring: &KeyRing) -> [u8; 20] {
    let token = SealedId {
        host: host(1),
        incarnation: 1,
        service: ServiceId::from_name("front"),
        nonce: 7,
    };
    token.seal(ring, SealedIdKind::Token, [1, 2, 3])
}

/// Measures how a balancer forwards a datagram: parse the connection ID, open the token, append the
/// envelope.
fn bench_datagram(criterion: &mut Criterion) {
    let cluster = ClusterKey::new([7; 32]);
    let mut store = ConfigStore::new(&cluster);
    store
        .accept("table/front", 1, &table_text("front", 12))
        .expect("sound");
    let key = EnvelopeKey::new(&cluster);
    let suspicion = Suspicion::default();
    let service = ServiceId::from_name("front");
    let envelope = Envelope {
        kind: EnvelopeKind::Inbound,
        service,
        caller: SocketAddr::from(([198, 51, 100, 1], 4_433)),
        balancer: host(9),
        revision: 1.into(),
    };
    let mut short_packet = vec![0x40];
    short_packet.extend_from_slice(&token(store.key_ring()));
    short_packet.resize(PACKET_BYTES, 0);
    let mut opener_packet = vec![0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8];
    opener_packet.resize(PACKET_BYTES, 0);
    let mut group = criterion.benchmark_group("datagram");
    for (name, packet) in [
        ("with token", &short_packet),
        ("opener, 12 targets", &opener_packet),
    ] {
        let mut buffer = Vec::with_capacity(2_100);
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                buffer.clear();
                buffer.extend_from_slice(packet);
                let route = steer(&store, &suspicion, service, &buffer, 0);
                key.append(&mut buffer, &envelope);
                black_box(route)
            });
        });
    }
    let mut buffer = Vec::with_capacity(2_100);
    group.bench_function("naive: copy alone", |bencher| {
        bencher.iter(|| {
            buffer.clear();
            buffer.extend_from_slice(&short_packet);
            black_box(buffer.len())
        });
    });
    group.finish();
}

/// Measures a cached list of entry hosts and, as the naive version, collecting it for each answer.
fn bench_entry_hosts(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("entry hosts");
    for hosts in [60usize, 600, 5_800] {
        let mut text = format!("{HOSTS_HEADER}\n");
        for index in 0..hosts {
            let role = if index % 20 == 0 { "entry" } else { "backend" };
            text += &format!("{},zone-a,{role},live\n", host(index + 1));
        }
        let list = HostList::parse(&text).expect("sound");
        let collect_hosts = || -> Rc<[Ipv4Addr]> {
            list.with_role(HostRole::Entry)
                .map(|host| host.address)
                .collect()
        };
        let cached = collect_hosts();
        group.bench_function(BenchmarkId::new("naive: gathered", hosts), |bencher| {
            bencher.iter(collect_hosts);
        });
        group.bench_function(BenchmarkId::new("kept", hosts), |bencher| {
            bencher.iter(|| black_box(&cached).clone());
        });
    }
    group.finish();
}

fn bench_tokens(criterion: &mut Criterion) {
    let ring = KeyRing::initial(&ClusterKey::new([7; 32]));
    let bytes = token(&ring);
    let service = ServiceId::from_name("front");
    let mut group = criterion.benchmark_group("token");
    group.bench_function("seal", |bencher| bencher.iter(|| token(black_box(&ring))));
    group.bench_function("open", |bencher| {
        bencher.iter(|| SealedId::open(&ring, SealedIdKind::Token, service, black_box(&bytes)));
    });
    group.finish();
}

fn bench_placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("owner");
    for targets in [3, 12, 100, 1_000] {
        let table = table(targets);
        let mut hash = 0u64;
        group.bench_with_input(
            BenchmarkId::new("rendezvous", targets),
            &table,
            |b, table| {
                b.iter(|| {
                    hash = hash.wrapping_add(0x9e37_79b9_7f4a_7c15);
                    place_opener(table, hash, |_| true).map(|placement| placement.owner.host)
                });
            },
        );
        group.bench_with_input(
            BenchmarkId::new("naive: modulo", targets),
            &table,
            |b, table| {
                b.iter(|| {
                    hash = hash.wrapping_add(0x9e37_79b9_7f4a_7c15);
                    table.rows[(hash >> 32) as usize % table.rows.len()].host
                });
            },
        );
    }
    group.finish();
}

fn bench_admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for targets in [3, 12, 100, 1_000] {
        let table = table(targets);
        let mut peer_loads = PeerLoads::default();
        for index in 1..targets {
            let report = LoadReport {
                host: host(index + 1),
                incarnation: 1,
                sequence: 1,
                open_flows: 2_000,
                busy_slots: 1,
                age_cs: 0,
                busy_centislots: 100,
                share_permille: 1_000,
            };
            peer_loads.merge(report, 20_000);
        }
        let mut admission = Admission::after_slow_start(host(1));
        (0..1_999).for_each(|_| admission.flow_opened());
        let mut random = StdRng::seed_from_u64(1);
        group.bench_function(BenchmarkId::new("decide", targets), |bencher| {
            bencher.iter(|| {
                let opener = Opener {
                    hash: random.random(),
                    source: OpenerSource::Balancer,
                    health_permille: 1_000,
                };
                let decision =
                    admission.decide(&opener, &table, &mut peer_loads, 20_000, &mut random);
                admission.prune(u64::MAX);
                decision
            });
        });
    }
    group.finish();
}

fn bench_ledger(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ledger");
    for keys in [10_000u32, 100_000, 300_000, 1_000_000] {
        let mut ledger = Ledger::new(keys as usize);
        let mut naive: HashMap<u32, u64> = HashMap::new();
        for _ in 0..keys {
            let counter = ledger.issue_ticket().expect("a ticket");
            assert_eq!(ledger.begin(counter, 1), BeginOutcome::Run);
            naive.insert(counter, 1);
        }
        let mut random = StdRng::seed_from_u64(1);
        group.bench_function(BenchmarkId::new("lookup", keys), |bencher| {
            bencher.iter(|| ledger.begin(random.random_range(0..keys), 1));
        });
        group.bench_function(BenchmarkId::new("naive: hash map", keys), |bencher| {
            bencher.iter(|| naive.get(&random.random_range(0..keys)).copied());
        });
    }
    group.finish();
}

/// Measures parsing and accepting a whole configuration, as a starting process does, with up to
/// twelve rows per service, and changes of one row.
fn bench_configuration(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("configuration");
    group.sample_size(10);
    for rows in [10usize, 100, 1_000, 10_000, 66_000] {
        let services = rows.div_ceil(12);
        let texts: Vec<(String, String)> = (0..services)
            .map(|index| {
                let service = format!("s{index}");
                (
                    format!("table/{service}"),
                    table_text(&service, rows.min(12)),
                )
            })
            .collect();
        let cluster = ClusterKey::new([7; 32]);
        let fill = |store: &mut ConfigStore| {
            for (index, (name, text)) in texts.iter().enumerate() {
                store.accept(name, index as u64 + 1, text).expect("sound");
            }
        };
        group.bench_function(BenchmarkId::new("parse and accept all", rows), |bencher| {
            bencher.iter(|| fill(&mut ConfigStore::new(&cluster)));
        });
        let mut store = ConfigStore::new(&cluster);
        fill(&mut store);
        let (name, text) = &texts[services / 2];
        let mut revision = services as u64 + 1;
        group.bench_function(BenchmarkId::new("apply one edit", rows), |bencher| {
            bencher.iter(|| {
                revision += 1;
                let edited = text.replacen(",100,", &format!(",{},", 100 + revision % 7), 1);
                store.accept(name, revision, &edited)
            });
        });
    }
    for rows in [10usize, 100, 1_000, 10_000] {
        let old = table_text("front", rows);
        let new = old.replacen(",100,", ",150,", 1);
        let tables = (table(rows), Table::parse(&new).expect("sound"));
        group.bench_function(BenchmarkId::new("delta of one row", rows), |bencher| {
            bencher.iter(|| Delta::between(&old, &new));
        });
        group.bench_function(BenchmarkId::new("table diff", rows), |bencher| {
            bencher.iter(|| TableDiff::between(Some(&tables.0), Some(&tables.1)));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(800));
    targets = bench_datagram, bench_entry_hosts, bench_tokens, bench_placement, bench_admission,
        bench_ledger, bench_configuration
}
criterion_main!(benches);
