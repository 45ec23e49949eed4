//! The controller that keeps the agents of a service informed of each other's load.

use std::net::Ipv4Addr;
use std::rc::Rc;

use rand::seq::IteratorRandom;

use crate::config::service_id::ServiceId;
use crate::decisions::peer_loads::LoadReport;
use crate::quic::agent::Agent;
use crate::quic::target::Target;

/// How often an agent exchanges load with one random peer of one target, in milliseconds.
///
/// The targets take turns, so that an agent's control traffic does not grow with their number;
/// admission damps its corrections by the age of what it knows. See docs/CAPACITY.md.
pub(crate) const PERIOD_MS: u64 = 1_000;

/// Starts the exchange of the target whose turn it is.
pub(crate) fn start_next(agent: &Rc<Agent>) {
    let target = {
        let targets = agent.targets.borrow();
        let turn = agent.exchange_turn.get();
        agent.exchange_turn.set(turn.wrapping_add(1));
        targets.get(turn % targets.len().max(1)).cloned()
    };
    if let Some(target) = target {
        let agent = agent.clone();
        compio::runtime::spawn(async move { exchange_with_random(&agent, &target).await }).detach();
    }
}

/// Exchanges load with every peer of a target, once: a fresh one does not decide blindly for its first
/// seconds, and a leaving one is not sent openers by peers that have not heard of it.
pub(crate) fn introduce(agent: &Rc<Agent>, target: &Rc<Target>) {
    for peer in peers(agent, target) {
        let agent = agent.clone();
        let target = target.clone();
        compio::runtime::spawn(async move { exchange(&agent, &target, peer).await }).detach();
    }
}

async fn exchange_with_random(agent: &Agent, target: &Target) {
    if let Some(peer) = peers(agent, target).into_iter().choose(&mut rand::rng()) {
        exchange(agent, target, peer).await;
    }
}

async fn exchange(agent: &Agent, target: &Target, peer: Ipv4Addr) {
    let ours = reports(agent, target);
    let theirs = agent
        .control
        .peers
        .exchange_load(peer, target.service, &ours)
        .await;
    match theirs {
        Ok(theirs) => merge(agent, target, &theirs),
        Err(_) => {
            let now_ms = agent.control.now_ms();
            agent.control.suspicion.borrow_mut().suspect(peer, now_ms);
            target.peer_loads.borrow_mut().remove(peer);
        }
    }
}

/// Returns the hosts of a target's peers that are not suspected.
fn peers(agent: &Agent, target: &Target) -> Vec<Ipv4Addr> {
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

fn reports(agent: &Agent, target: &Target) -> Vec<LoadReport> {
    let mut reports = target
        .peer_loads
        .borrow()
        .fresh_reports(agent.control.now_ms());
    reports.push(target.report());
    reports
}

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

/// Answers a peer's exchange: takes its reports and returns ours.
pub(crate) fn answer(agent: &Agent, service: ServiceId, theirs: &[LoadReport]) -> Vec<LoadReport> {
    let Some(target) = agent.target(service) else {
        return Vec::new();
    };
    let ours = reports(agent, &target);
    merge(agent, &target, theirs);
    ours
}
