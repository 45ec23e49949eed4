//! Reads the platform while this process is one of the readers of its availability zone.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::code::Code;
use crate::config::config_store::{AcceptOutcome, HOSTS_NAME};
use crate::config::membership;
use crate::config::platform;
use crate::config::revision::Revision;
use crate::controllers::control_plane::ControlPlane;
use crate::controllers::relay;
use crate::error::{Error, Result};

/// The time that one watch waits for a change, in milliseconds.
const WATCH_WAIT_MS: u64 = 10_000;
/// The period at which a process that is not a reader checks whether it has become one, in
/// milliseconds.
const ROLE_CHECK_PERIOD_MS: u64 = 500;
/// The first backoff after a failed call, in milliseconds; it doubles up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: u64 = 250;
const MAX_BACKOFF_MS: u64 = 4_000;
/// The longest backoff of a starting process, in milliseconds; it is short because peers may become
/// reachable.
const MAX_START_BACKOFF_MS: u64 = 500;
/// The time without an answer from any peer after which a process reads the platform itself, in
/// milliseconds.
const NO_PEER_TIMEOUT_MS: u64 = 5_000;

/// Decides whether this process watches the platform.
pub(crate) struct ReaderRole {
    last_peer_ms: Cell<u64>,
}

impl ReaderRole {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            last_peer_ms: Cell::new(0),
        })
    }

    /// Records that a peer answered.
    pub(crate) fn record_peer_answer(&self, now_ms: u64) {
        self.last_peer_ms.set(now_ms);
    }

    fn is_reader(&self, control: &ControlPlane) -> bool {
        let now_ms = control.now_ms();
        if now_ms.saturating_sub(self.last_peer_ms.get()) > NO_PEER_TIMEOUT_MS {
            return true;
        }
        let suspicion = control.suspicion.borrow();
        let is_trusted = |host| !suspicion.is_suspected(host, now_ms);
        let store = control.store.borrow();
        let zone = &control.settings.zone;
        membership::select_readers(store.hosts(), zone, is_trusted).contains(&control.settings.host)
    }
}

/// Gets the first configuration of a starting process: the host list from the platform, then all
/// values from peers and from the platform.
///
/// Returns when a peer or the platform has answered, since a process that serves before that might
/// use an older configuration than the one that is in force elsewhere.
pub(crate) async fn start(control: &Rc<ControlPlane>, reader_role: &ReaderRole) {
    let mut backoff_ms = MIN_BACKOFF_MS;
    loop {
        let hosts = read_one(control, HOSTS_NAME).await;
        let answered = relay::pull_at_start(control).await;
        if answered > 0 {
            reader_role.record_peer_answer(control.now_ms());
        }
        let read = match hosts {
            Ok(()) => read_changes(control, Revision::ZERO, 0).await.map(|_| ()),
            Err(error) => Err(error),
        };
        if answered > 0 || read.is_ok() {
            return;
        }
        log::warn!("event=waiting_for_configuration retry_ms={backoff_ms}");
        compio::time::sleep(Duration::from_millis(backoff_ms)).await;
        backoff_ms = (backoff_ms * 2).min(MAX_START_BACKOFF_MS);
    }
}

/// Watches the platform whenever this process is a reader; runs forever.
pub(crate) async fn run(control: Rc<ControlPlane>, reader_role: Rc<ReaderRole>) {
    let mut since = Revision::ZERO;
    let mut backoff_ms = MIN_BACKOFF_MS;
    loop {
        if !reader_role.is_reader(&control) {
            compio::time::sleep(Duration::from_millis(ROLE_CHECK_PERIOD_MS)).await;
            continue;
        }
        match read_changes(&control, since, WATCH_WAIT_MS).await {
            Ok(read_up_to) => {
                since = read_up_to;
                backoff_ms = MIN_BACKOFF_MS;
            }
            Err(_) => {
                let jitter_ms = rand::random_range(0..=backoff_ms / 2);
                compio::time::sleep(Duration::from_millis(backoff_ms + jitter_ms)).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

/// Waits for changes above `since` and accepts them; returns the revision up to which changes were
/// read.
async fn read_changes(
    control: &Rc<ControlPlane>,
    since: Revision,
    wait_ms: u64,
) -> Result<Revision> {
    control.metrics.platform_calls.inc();
    let changes = platform::watch(control.settings.platform, since, wait_ms).await;
    let changes = changes.inspect_err(|error| record_failure(control, error))?;
    let mine = control.store.borrow().digest().highest;
    if changes.highest < mine.max(since) {
        let message = format!("revision {} after {}", changes.highest, mine.max(since));
        let error = Error::new(Code::PlatformStale, message);
        record_failure(control, &error);
        return Err(error);
    }
    for (name, revision) in &changes.entries {
        if control.store.borrow().is_new_state(name, *revision) {
            read_one(control, name).await?;
        }
    }
    record_answer(control);
    if changes.highest.era() > since.era() {
        // The platform was restored and reuses numbers, so changes above the old number are not all
        // changes: read the era from its start.
        log::warn!("event=platform_restored revision={}", changes.highest);
        return Ok(Revision::new(changes.highest.era(), 0).unwrap_or_default());
    }
    Ok(changes.highest)
}

/// Reads one value and accepts it; pushes it to the peers if it was put into force.
async fn read_one(control: &Rc<ControlPlane>, name: &str) -> Result<()> {
    control.metrics.platform_calls.inc();
    let value = platform::read_value(control.settings.platform, name).await;
    let (revision, text) = value.inspect_err(|error| record_failure(control, error))?;
    // A rejection is counted and kept in the store; it does not keep other values from being read.
    if control.accept(name, revision, &text) == Ok(AcceptOutcome::Accepted) {
        relay::push_to_peers(control, name);
    }
    Ok(())
}

fn record_answer(control: &ControlPlane) {
    if !control.platform_answers.replace(true) {
        log::info!("event=platform_answers");
    }
}

fn record_failure(control: &ControlPlane, error: &Error) {
    control.metrics.platform_failures.inc(error.code);
    if control.platform_answers.replace(false) {
        log::warn!("event=platform_fails error={error}");
    }
}
