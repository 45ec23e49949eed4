//! The periodic exchange of load reports between the agents of a service.

use std::net::Ipv4Addr;
use std::rc::Rc;

use rand::seq::IteratorRandom;

use crate::config::service_id::ServiceId;
use crate::decisions::peer_loads::LoadReport;
use crate::quic::agent::Agent;
use crate::quic::target::Target;

/// The interval between exchanges of load with one random peer of one target, in milliseconds.
///
/// The targets are served in turn, so that an agent's control traffic does not grow with their
/// number. Admission damps its corrections by the age of the reports. See docs/CAPACITY.md.
pub(crate) const EXCHANGE_PERIOD_MS: u64 = 1_000;

/// Starts an exchange for the next target in turn.
pub(crate) fn start_next(agent: &Rc<Agent>) {
    let target = {
        let targets = agent.targets.borrow();
        let index = agent.next_exchange_index.get();
        agent.next_exchange_index.set(index.wrapping_add(1));
        targets.get(index % targets.len().max(1)).cloned()
    };
    if let Some(target) = target {
        let agent = agent.clone();
        compio::runtime::spawn(async move { exchange_with_random_peer(&agent, &target).await })
            .detach();
    }
}

/// Exchanges load once with every peer of a target, so that a new target does not decide without
/// reports for its first seconds, and peers do not deflect openers to a target that they do not
/// know to be draining.
pub(crate) fn exchange_with_all_peers(agent: &Rc<Agent>, target: &Rc<Target>) {
    for peer in unsuspected_peers(agent, target) {
        let agent = agent.clone();
        let target = target.clone();
        compio::runtime::spawn(async move { exchange(&agent, &target, peer).await }).detach();
    }
}

async fn exchange_with_random_peer(agent: &Agent, target: &Target) {
    if let Some(peer) = unsuspected_peers(agent, target)
        .into_iter()
        .choose(&mut rand::rng())
    {
        exchange(agent, target, peer).await;
    }
}

async fn exchange(agent: &Agent, target: &Target, peer: Ipv4Addr) {
    let known_reports = collect_reports(agent, target);
    let received_reports = agent
        .control
        .peers
        .exchange_load(peer, target.service, &known_reports)
        .await;
    match received_reports {
        Ok(received_reports) => merge(agent, target, &received_reports),
        Err(_) => {
            let now_ms = agent.control.now_ms();
            agent.control.suspicion.borrow_mut().suspect(peer, now_ms);
            target.peer_loads.borrow_mut().remove(peer);
        }
    }
}

/// Returns the hosts of a target's peers, without those that are suspected.
fn unsuspected_peers(agent: &Agent, target: &Target) -> Vec<Ipv4Addr> {
    let now_ms = agent.control.now_ms();
    let suspicion = agent.control.suspicion.borrow();
    let store = agent.control.store.borrow();
    let rows = store
        .table(target.service)
        .map_or(&[][..], |table| &table.rows);
    let hosts = rows.iter().map(|row| row.host);
    hosts
        .filter(|host| *host != target.host && !suspicion.is_suspected(*host, now_ms))
        .collect()
}

/// Returns the fresh reports of the peers and a new report of this target.
fn collect_reports(agent: &Agent, target: &Target) -> Vec<LoadReport> {
    let mut reports = target
        .peer_loads
        .borrow()
        .fresh_reports(agent.control.now_ms());
    reports.push(target.next_report());
    reports
}

/// Merges reports, except those of this target and of hosts without a row.
fn merge(agent: &Agent, target: &Target, reports: &[LoadReport]) {
    let now_ms = agent.control.now_ms();
    let store = agent.control.store.borrow();
    let Some(table) = store.table(target.service) else {
        return;
    };
    let mut peer_loads = target.peer_loads.borrow_mut();
    for report in reports {
        if report.host != target.host && table.row_on(report.host).is_some() {
            peer_loads.merge(*report, now_ms);
        }
    }
}

/// Answers an exchange: merges the peer's reports and returns those known here.
pub(crate) fn answer(
    agent: &Agent,
    service: ServiceId,
    received_reports: &[LoadReport],
) -> Vec<LoadReport> {
    let Some(target) = agent.target(service) else {
        return Vec::new();
    };
    let known_reports = collect_reports(agent, &target);
    merge(agent, &target, received_reports);
    known_reports
}
