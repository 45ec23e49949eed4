//! Which processes read the platform, and when further ones start to read.

use std::net::Ipv4Addr;

use endivedyke::HostList;
use endivedyke::opaque::{Freshness, ProcessLocation, READER_COUNT, RelayPosition};

/// The availability zones, assigned to hosts in rotation.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn zone(host: Ipv4Addr) -> &'static str {
    ZONES[u32::from(host) as usize % ZONES.len()]
}

fn hosts(count: u32) -> HostList {
    let mut text = String::from("host,zone,role,state\n");
    for host in all(count) {
        text += &format!("{host},{},backend,live\n", zone(host));
    }
    HostList::parse(&text).expect("sound list")
}

/// Returns the relay position of a host among the hosts for which `is_trusted` returns true.
fn relay_position(
    hosts: &HostList,
    host: Ipv4Addr,
    is_trusted: impl Fn(Ipv4Addr) -> bool,
) -> RelayPosition {
    let zone = zone(host);
    endivedyke::opaque::relay_position(hosts, ProcessLocation { host, zone }, is_trusted)
}

fn all(count: u32) -> impl Iterator<Item = Ipv4Addr> {
    (1..=count).map(|index| Ipv4Addr::from(0x0a00_0000 + index))
}

#[test]
fn two_processes_read_and_each_other_has_a_parent() {
    for count in [1, 2, 10, 66, 3_000] {
        let hosts = hosts(count);
        let positions: Vec<_> = all(count)
            .map(|host| relay_position(&hosts, host, |_| true))
            .collect();
        let readers = positions
            .iter()
            .filter(|position| position.rank < READER_COUNT);
        assert_eq!(readers.count(), READER_COUNT.min(count as usize), "{count}");
        let orphans = positions
            .iter()
            .filter(|position| position.parent.is_none());
        assert_eq!(orphans.count(), 1, "{count}: only the first has no parent");
    }
}

#[test]
fn no_process_has_many_children_and_the_relay_tree_is_shallow() {
    let count = 3_000;
    let hosts = hosts(count);
    let parent = |host| relay_position(&hosts, host, |_| true).parent;
    let mut parents: Vec<Ipv4Addr> = all(count).filter_map(parent).collect();
    parents.sort_unstable();
    let busiest = parents.chunk_by(|a, b| a == b).map(<[_]>::len).max();
    assert!(busiest <= Some(18), "{busiest:?}");
    for host in all(count) {
        let steps = std::iter::successors(Some(host), |host| parent(*host)).count();
        assert!(steps <= 6, "{host} is {steps} steps from the root");
    }
}

#[test]
fn unlisted_processes_spread_over_many_parents() {
    for (agents, balancers) in [(45, 20), (136, 59), (1_000, 400)] {
        let hosts = hosts(agents);
        let unlisted = (1..=balancers).map(|index| Ipv4Addr::from(0x0a09_0000 + index));
        let processes = all(agents).chain(unlisted);
        let parent = |host| relay_position(&hosts, host, |_| true).parent;
        let mut parents: Vec<Ipv4Addr> = processes.filter_map(parent).collect();
        parents.sort_unstable();
        let busiest = parents.chunk_by(|a, b| a == b).map(<[_]>::len).max();
        assert!(
            busiest <= Some(18),
            "{busiest:?} with {balancers} balancers"
        );
    }
}

#[test]
fn an_unlisted_process_prefers_a_parent_in_its_availability_zone() {
    let hosts = hosts(45);
    for index in 1..=20 {
        let host = Ipv4Addr::from(0x0a09_0000 + index);
        let parent = relay_position(&hosts, host, |_| true).parent;
        assert_eq!(parent.map(zone), Some(zone(host)));
        let far = relay_position(&hosts, host, |other| zone(other) != zone(host)).parent;
        assert!(far.is_some_and(|far| zone(far) != zone(host)), "{far:?}");
    }
}

#[test]
fn an_untrusted_reader_is_never_a_parent() {
    let hosts = hosts(10);
    let first = all(10).find(|host| relay_position(&hosts, *host, |_| true).rank == 0);
    let first = first.expect("a reader");
    for host in all(10).filter(|host| *host != first) {
        assert_ne!(
            relay_position(&hosts, host, |other| other != first).parent,
            Some(first)
        );
    }
}

#[test]
fn an_unlisted_process_is_not_a_reader_by_rank() {
    let me = Ipv4Addr::new(10, 9, 0, 1);
    for count in [0, 10] {
        let position = relay_position(&hosts(count), me, |_| true);
        assert!(position.rank >= READER_COUNT);
        assert_eq!(position.parent.is_some(), count > 0);
    }
}

#[test]
fn processes_start_to_read_by_rank_and_earlier_while_the_parent_fails() {
    let mut freshness = Freshness::default();
    freshness.confirm(10_000);
    assert!(!freshness.should_read(at(2), 11_500));
    assert!(freshness.should_read(at(2), 12_001));
    assert!(!freshness.should_read(at(5), 12_001));
    assert!(freshness.should_read(at(5), 12_500));
    freshness.set_parent_failing(true);
    assert!(freshness.should_read(at(2), 10_400));
    assert!(!freshness.should_read(at(5), 10_400));
    assert!(freshness.should_read(at(0), 10_000), "readers always read");
}

#[test]
fn a_process_without_a_parent_reads_within_400_ms() {
    let me = Ipv4Addr::new(10, 9, 0, 1);
    let alone = relay_position(&hosts(0), me, |_| true);
    assert!(Freshness::default().should_read(alone, 400));
}

fn at(rank: usize) -> RelayPosition {
    RelayPosition {
        rank,
        parent: Some(Ipv4Addr::new(10, 0, 0, 1)),
    }
}

#[test]
fn a_process_whose_reads_fail_reports_no_age_once_its_values_are_stale() {
    let mut freshness = Freshness::default();
    freshness.confirm(10_000);
    freshness.set_failing(true);
    assert_eq!(freshness.reported_age_ms(10_500), Some(500));
    assert_eq!(freshness.reported_age_ms(12_500), None);
    freshness.set_failing(false);
    assert_eq!(freshness.reported_age_ms(12_500), Some(2_500));
}

#[test]
fn few_processes_read_a_platform_that_answers_none() {
    let mut freshness = Freshness::default();
    freshness.confirm(10_000);
    freshness.set_parent_failing(true);
    let readers = |now_ms| {
        let asking = (0..75).filter(|rank| freshness.should_read(at(*rank), now_ms));
        asking.count()
    };
    assert!(
        readers(11_600) >= 10,
        "one of them is served if any process is"
    );
    assert!(readers(14_400) <= 15, "{}", readers(14_400));
    assert!((27..=30).contains(&readers(22_000)), "{}", readers(22_000));
    assert_eq!(readers(52_000), 75, "in the end each process reads");
}

#[test]
fn the_number_of_readers_during_an_outage_depends_on_its_length_and_not_on_the_site_size() {
    let mut freshness = Freshness::default();
    freshness.confirm(10_000);
    freshness.set_parent_failing(true);
    for (silent_ms, most) in [(4_500, 15), (12_000, 30), (30_000, 60)] {
        for count in [30, 300, 1_000, 6_000] {
            let reads = |rank: &usize| freshness.should_read(at(*rank), 10_000 + silent_ms);
            let readers = (0..count).filter(reads).count();
            assert!(readers <= most, "{readers} of {count} after {silent_ms} ms");
        }
    }
}
