//! Reads the platform, where this process is one of its zone's few readers.

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

/// How long one watch waits for a change, in milliseconds.
const WATCH_WAIT_MS: u64 = 10_000;
/// How long a process that is no reader waits before it looks again, in milliseconds.
const IDLE_MS: u64 = 500;
/// The shortest wait after a failed call, in milliseconds; it doubles up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: u64 = 250;
const MAX_BACKOFF_MS: u64 = 4_000;
/// The longest wait of a starting process, which peers may reach in the meantime.
const MAX_START_BACKOFF_MS: u64 = 500;
/// How long without any peer before a process reads for itself, in milliseconds.
const ALONE_MS: u64 = 5_000;

/// Tells whether this process should watch the platform now.
pub(crate) struct ReaderRole {
    last_peer_ms: Cell<u64>,
}

impl ReaderRole {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            last_peer_ms: Cell::new(0),
        })
    }

    /// Notes that a peer answered.
    pub(crate) fn record_peer_answer(&self, now_ms: u64) {
        self.last_peer_ms.set(now_ms);
    }

    fn is_reader(&self, control: &ControlPlane) -> bool {
        let now_ms = control.now_ms();
        if now_ms.saturating_sub(self.last_peer_ms.get()) > ALONE_MS {
            return true;
        }
        let suspicion = control.suspicion.borrow();
        let trusted = |host| !suspicion.is_suspected(host, now_ms);
        let store = control.store.borrow();
        let zone = &control.settings.zone;
        membership::select_readers(store.hosts(), zone, trusted).contains(&control.settings.host)
    }
}

/// Brings the process up: the host list from the platform, the rest from peers if they have it.
///
/// Returns when either a peer or the platform has answered, since serving before that could mean
/// an older configuration than one that was accepted.
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

/// Watches the platform forever, while this process is a reader.
pub(crate) async fn run(control: Rc<ControlPlane>, reader_role: Rc<ReaderRole>) {
    let mut since = Revision::ZERO;
    let mut backoff_ms = MIN_BACKOFF_MS;
    loop {
        if !reader_role.is_reader(&control) {
            compio::time::sleep(Duration::from_millis(IDLE_MS)).await;
            continue;
        }
        match read_changes(&control, since, WATCH_WAIT_MS).await {
            Ok(seen) => {
                since = seen;
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

/// Waits for changes above `since`, takes them and returns up to where they were seen.
async fn read_changes(
    control: &Rc<ControlPlane>,
    since: Revision,
    wait_ms: u64,
) -> Result<Revision> {
    control.metrics.platform_calls.inc();
    let changes = platform::watch(control.settings.platform, since, wait_ms).await;
    let changes = changes.inspect_err(|error| failed(control, error))?;
    let mine = control.store.borrow().digest().highest;
    if changes.highest < mine.max(since) {
        let message = format!("revision {} after {}", changes.highest, mine.max(since));
        let error = Error::new(Code::PlatformStale, message);
        failed(control, &error);
        return Err(error);
    }
    for (name, revision) in &changes.entries {
        if control.store.borrow().is_new_state(name, *revision) {
            read_one(control, name).await?;
        }
    }
    answered(control);
    if changes.highest.era() > since.era() {
        // What changed between was numbered anew, so that the changes above a number of before are not all.
        log::warn!("event=platform_restored revision={}", changes.highest);
        return Ok(Revision::new(changes.highest.era(), 0).unwrap_or_default());
    }
    Ok(changes.highest)
}

/// Reads one value, takes it if it is news and tells it on.
async fn read_one(control: &Rc<ControlPlane>, name: &str) -> Result<()> {
    control.metrics.platform_calls.inc();
    let value = platform::read_value(control.settings.platform, name).await;
    let (revision, text) = value.inspect_err(|error| failed(control, error))?;
    // A rejected value is counted and kept as rejected; reading goes on with the next one.
    if control.accept(name, revision, &text) == Ok(AcceptOutcome::Accepted) {
        relay::push_to_peers(control, name);
    }
    Ok(())
}

fn answered(control: &ControlPlane) {
    if !control.platform_answers.replace(true) {
        log::info!("event=platform_answers");
    }
}

fn failed(control: &ControlPlane, error: &Error) {
    control.metrics.platform_failures.inc(error.code);
    if control.platform_answers.replace(false) {
        log::warn!("event=platform_fails error={error}");
    }
}
