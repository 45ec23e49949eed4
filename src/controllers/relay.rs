//! Keeps the values of all processes level: told on a change, compared now and then.
//!
//! A change runs along the random graph of links, as a delta, and each process passes it on once.
//! What is lost on the way is found by comparing digests; see docs/DESIGN.md, "Configuration".

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

/// How often a process compares its revisions with one peer, in milliseconds.
pub(crate) const COMPARE_PERIOD_MS: u64 = 1_000;
/// How far below its own highest revision a process asks for changes that it missed between newer ones, before it
/// asks for all.
const RECENT_REVISIONS: u64 = 64;
/// From how many peers a starting process takes what they hold.
const START_PEERS: usize = 3;
/// The most values that are asked for at once.
const MAX_WANTED: usize = 1_024;

/// Returns the peers of this process, without those that are suspected.
pub(crate) fn peers(control: &ControlPlane) -> Vec<Ipv4Addr> {
    let now_ms = control.now_ms();
    let me = control.settings.host;
    let suspicion = control.suspicion.borrow();
    let trusted = |host| !suspicion.is_suspected(host, now_ms);
    let links = membership::select_peers(control.store.borrow().hosts(), me, trusted);
    if !links.is_empty() {
        return links;
    }
    let mut known = control.settings.seeds.clone();
    known.extend(control.inbound_link_hosts());
    known.retain(|host| *host != me && trusted(*host));
    known
}

/// Tells the value in force to all peers, each as a change against the revision it had.
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

/// Tells one peer, and once more against its own revision where the first change did not fit.
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

fn update_for(control: &ControlPlane, name: &str, have: Revision) -> Option<ValueUpdate> {
    control.store.borrow().update_for(name, have)
}

fn suspect(control: &ControlPlane, host: Ipv4Addr, error: &crate::error::Error) {
    log::debug!("event=peer_silent host={host} error={error}");
    let now_ms = control.now_ms();
    control.suspicion.borrow_mut().suspect(host, now_ms);
}

/// Compares with one random peer and takes what is newer there.
pub(crate) async fn compare_once(control: &Rc<ControlPlane>) -> bool {
    let links = peers(control);
    let Some(host) = links.choose(&mut rand::rng()).copied() else {
        return false;
    };
    let result = compare_with(control, host).await;
    if let Err(error) = &result {
        suspect(control, host, error);
    }
    result.is_ok()
}

pub(crate) async fn compare_with(control: &Rc<ControlPlane>, host: Ipv4Addr) -> Result<()> {
    let mine = control.store.borrow().digest();
    let theirs = control.peers.compare(host, mine).await?;
    if theirs == mine {
        return Ok(());
    }
    // Most often only what is newer is missing: a hundred bytes, beside two thousand for the last revisions.
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

/// Takes from a peer what has a revision above `floor` and is news here.
pub(crate) async fn pull(
    control: &Rc<ControlPlane>,
    host: Ipv4Addr,
    floor: Revision,
) -> Result<()> {
    let started_ms = control.now_ms();
    let states = control.peers.changes(host, floor).await?;
    let mut wanted = wanted(&control.store.borrow(), states);
    while !wanted.is_empty() {
        let asked = wanted.len().min(MAX_WANTED);
        let (updates, handled) = control.peers.fetch(host, &wanted[..asked]).await?;
        if handled == 0 {
            return Ok(());
        }
        wanted.drain(..handled.min(asked));
        // A rejection is counted and kept in the store; the other values still count.
        for name in control.accept_updates(&updates) {
            push_to_peers(control, name);
        }
    }
    let took_ms = control.now_ms().saturating_sub(started_ms);
    let metrics = &control.metrics.opaque;
    metrics.pull_seconds.observe(took_ms as f64 / 1_000.0);
    Ok(())
}

/// Returns the names of the values that are news here, each with the revision that is held of it.
fn wanted(store: &ConfigStore, states: Vec<(String, VersionStamp)>) -> Vec<(String, Revision)> {
    let news = states
        .into_iter()
        .filter(|(name, stamp)| store.is_new_state(name, *stamp));
    news.map(|(name, _)| {
        let held = store.revision(&name);
        (name, held)
    })
    .collect()
}

/// Takes what several peers hold, before this process serves; returns how many answered.
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

/// Asks a host whose packet showed a higher revision, at most one ask at a time.
pub(crate) struct RevisionPuller {
    control: Rc<ControlPlane>,
    asking: Rc<Cell<bool>>,
}

impl RevisionPuller {
    pub(crate) fn new(control: &Rc<ControlPlane>) -> Self {
        Self {
            control: control.clone(),
            asking: Rc::default(),
        }
    }

    /// Notes the revision on a packet from `host`.
    pub(crate) fn observe(&self, host: Ipv4Addr, revision: Revision) {
        let mine = self.control.store.borrow().digest().highest;
        if revision <= mine || self.asking.replace(true) {
            return;
        }
        let control = self.control.clone();
        let asking = self.asking.clone();
        compio::runtime::spawn(async move {
            if let Err(error) = pull(&control, host, mine).await {
                suspect(&control, host, &error);
            }
            asking.set(false);
        })
        .detach();
    }
}
