//! Keeps the values of all processes the same: changes are pushed to peers, and digests are
//! compared periodically.
//!
//! A change spreads as a delta over the random graph of control links; each process pushes it once.
//! Lost changes are found by comparing digests; see docs/DESIGN.md, "Configuration".

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;

use rand::seq::IndexedRandom;

use crate::config::config_store::{ConfigStore, ValueUpdate};
use crate::config::membership;
use crate::config::revision::Revision;
use crate::config::version_stamp::VersionStamp;
use crate::controllers::control_plane::ControlPlane;
use crate::error::Result;

/// The period at which a process compares its digest with one peer, in milliseconds.
pub(crate) const COMPARE_PERIOD_MS: u64 = 1_000;
/// The number of revisions that a process pulls again below its own highest one, since it may have
/// missed changes between newer ones. If digests still differ, it pulls everything.
const RECENT_REVISIONS: u64 = 64;
/// The number of peers from which a starting process pulls.
const START_PEERS: usize = 3;
/// The most values that one call fetches.
const MAX_FETCHED_VALUES: usize = 1_024;

/// Returns the peers of this process that are not suspected; before a host list is known, the seeds
/// and the hosts that opened links to this process.
pub(crate) fn peers(control: &ControlPlane) -> Vec<Ipv4Addr> {
    let now_ms = control.now_ms();
    let own_host = control.settings.host;
    let suspicion = control.suspicion.borrow();
    let is_trusted = |host| !suspicion.is_suspected(host, now_ms);
    let peers = membership::select_peers(control.store.borrow().hosts(), own_host, is_trusted);
    if !peers.is_empty() {
        return peers;
    }
    let mut known = control.settings.seeds.clone();
    known.extend(control.inbound_link_hosts());
    known.retain(|host| *host != own_host && is_trusted(*host));
    known
}

/// Pushes the value in force to all peers, as a delta to the revision before.
pub(crate) fn push_to_peers(control: &Rc<ControlPlane>, name: &str) {
    if !control.pushes_changes.get() {
        return;
    }
    let Some(value) = control.store.borrow().get(name).cloned() else {
        return;
    };
    for host in peers(control) {
        let control = control.clone();
        let name = name.to_owned();
        let base = value.previous_revision;
        compio::runtime::spawn(async move {
            if let Err(error) = push(&control, host, &name, base).await {
                suspect(&control, host, &error);
            }
        })
        .detach();
    }
}

/// Pushes a value to one peer; if the delta did not apply there, pushes again against the peer's
/// own revision.
async fn push(control: &ControlPlane, host: Ipv4Addr, name: &str, base: Revision) -> Result<()> {
    let Some(update) = update_for(control, name, base) else {
        return Ok(());
    };
    let held = control.peers.push(host, &update).await?;
    if held >= update.stamp.revision {
        return Ok(());
    }
    if let Some(update) = update_for(control, name, held) {
        control.peers.push(host, &update).await?;
    }
    Ok(())
}

fn update_for(control: &ControlPlane, name: &str, peer_revision: Revision) -> Option<ValueUpdate> {
    control.store.borrow().update_for(name, peer_revision)
}

fn suspect(control: &ControlPlane, host: Ipv4Addr, error: &crate::error::Error) {
    log::debug!("event=peer_silent host={host} error={error}");
    let now_ms = control.now_ms();
    control.suspicion.borrow_mut().suspect(host, now_ms);
}

/// Compares digests with one random peer and pulls what is newer there; returns whether the peer
/// answered.
pub(crate) async fn compare_once(control: &Rc<ControlPlane>) -> bool {
    let peers = peers(control);
    let Some(host) = peers.choose(&mut rand::rng()).copied() else {
        return false;
    };
    let result = compare_with(control, host).await;
    if let Err(error) = &result {
        suspect(control, host, error);
    }
    result.is_ok()
}

/// Compares digests with a peer and pulls what is missing here.
pub(crate) async fn compare_with(control: &Rc<ControlPlane>, host: Ipv4Addr) -> Result<()> {
    let mine = control.store.borrow().digest();
    let theirs = control.peers.compare(host, mine).await?;
    if theirs == mine {
        return Ok(());
    }
    // Usually only newer values are missing: listing them takes about a hundred bytes, while
    // listing the recent revisions takes two thousand.
    if theirs.highest > mine.highest {
        pull(control, host, mine.highest).await?;
        if control.store.borrow().digest().hash == theirs.hash {
            return Ok(());
        }
    }
    pull(control, host, mine.highest.saturating_sub(RECENT_REVISIONS)).await?;
    let mine = control.store.borrow().digest();
    if theirs.hash != mine.hash && theirs.highest >= mine.highest {
        pull(control, host, Revision::ZERO).await?;
    }
    Ok(())
}

/// Fetches from a peer the values with a revision above `floor` that are new here, and pushes those
/// put into force to all peers.
pub(crate) async fn pull(
    control: &Rc<ControlPlane>,
    host: Ipv4Addr,
    floor: Revision,
) -> Result<()> {
    let started_ms = control.now_ms();
    let states = control.peers.changes(host, floor).await?;
    let mut wanted = new_values(&control.store.borrow(), states);
    while !wanted.is_empty() {
        let count = wanted.len().min(MAX_FETCHED_VALUES);
        let (updates, handled) = control.peers.fetch(host, &wanted[..count]).await?;
        if handled == 0 {
            return Ok(());
        }
        wanted.drain(..handled.min(count));
        // A rejection is counted and kept in the store; it does not affect the other values.
        for name in control.accept_updates(&updates) {
            push_to_peers(control, name);
        }
    }
    let took_ms = control.now_ms().saturating_sub(started_ms);
    let metrics = &control.metrics.opaque;
    metrics.relay_pull_seconds.observe(took_ms as f64 / 1_000.0);
    Ok(())
}

/// Returns the names of the values that are new here, each with the revision held here.
fn new_values(store: &ConfigStore, states: Vec<(String, VersionStamp)>) -> Vec<(String, Revision)> {
    let new_states = states
        .into_iter()
        .filter(|(name, stamp)| store.is_new_state(name, *stamp));
    new_states
        .map(|(name, _)| {
            let held = store.revision(&name);
            (name, held)
        })
        .collect()
}

/// Pulls all values from several peers, before this process serves; returns how many answered.
pub(crate) async fn pull_at_start(control: &Rc<ControlPlane>) -> usize {
    let mut answered = 0;
    for host in peers(control).into_iter().take(START_PEERS) {
        match pull(control, host, Revision::ZERO).await {
            Ok(()) => answered += 1,
            Err(error) => suspect(control, host, &error),
        }
    }
    answered
}

/// Pulls from a host whose packet carried a higher revision; one pull runs at a time.
pub(crate) struct RevisionPuller {
    control: Rc<ControlPlane>,
    is_pulling: Rc<Cell<bool>>,
}

impl RevisionPuller {
    pub(crate) fn new(control: &Rc<ControlPlane>) -> Self {
        Self {
            control: control.clone(),
            is_pulling: Rc::default(),
        }
    }

    /// Starts a pull if `revision`, which a packet from `host` carried, is higher than the one held
    /// here.
    pub(crate) fn observe(&self, host: Ipv4Addr, revision: Revision) {
        let mine = self.control.store.borrow().digest().highest;
        if revision <= mine || self.is_pulling.replace(true) {
            return;
        }
        let control = self.control.clone();
        let is_pulling = self.is_pulling.clone();
        compio::runtime::spawn(async move {
            if let Err(error) = pull(&control, host, mine).await {
                suspect(&control, host, &error);
            }
            is_pulling.set(false);
        })
        .detach();
    }
}
