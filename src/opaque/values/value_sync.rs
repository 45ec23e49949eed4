//! Keeps the published values of a process up to date, from the platform and from peers.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use crate::code::Code;
use crate::config::backend_entry::GONE_TEXT;
use crate::config::hash;
use crate::config::incoming_value::IncomingValue;
use crate::config::revision::Revision;
use crate::controllers::control_plane::ControlPlane;
use crate::controllers::relay;
use crate::error::Result;
use crate::opaque::packets::message::{Message, SETTLE_UNIT_MS, UNKNOWN_AGE_MS};
use crate::opaque::values::batch_diff::{dropped_values, new_values, removed_names};
use crate::opaque::values::freshness::{
    self, Freshness, ProcessLocation, RelayPosition, WATCH_WAIT_MS,
};
use crate::opaque::values::published_entry::LAPSE_GRACE_MS;
use crate::opaque::values::restoration::{RestorationEvent, RestorationTracker};
use crate::opaque::values::settle_state::SettleState;
use crate::opaque::values::source::{Batch, PlatformRead, PlatformSource, check_era};
use crate::opaque::values::startup_backoff::StartupBackoff;

/// The first wait after a failed read, in milliseconds.
const MIN_BACKOFF_MS: u64 = 200;
/// The longest wait after a failed read, in milliseconds: half of the time within which entries
/// that lapsed during an outage of the platform are published again.
const MAX_BACKOFF_MS: u64 = 1_000;
/// The interval at which a starting process asks its seeds for a configuration, in milliseconds.
const SEED_ASK_INTERVAL_MS: u64 = 200;
/// The interval at which a starting process checks whether it has a configuration, in milliseconds.
const START_POLL_MS: u64 = 10;
/// The interval at which a process that does not read checks whether it should, in milliseconds.
const READ_CHECK_INTERVAL_MS: u64 = 100;
/// The pause of a reader after a change, in milliseconds, so that a burst of changes costs one
/// call.
const WATCH_PAUSE_MS: u64 = 150;
/// The most consecutive beats that a host may leave unanswered before it is suspected.
const MAX_MISSED_BEATS: u32 = 2;

/// Reads the platform when this process has to, and pulls newer values from peers.
pub(crate) struct ValueSync {
    control: Rc<ControlPlane>,
    source: PlatformSource,
    freshness: RefCell<Freshness>,
    /// The revision up to which the platform has been read; zero if everything must be read.
    seen_revision: Cell<Revision>,
    restoration: RefCell<RestorationTracker>,
    /// The host that beats go to, and how many of them it has not answered.
    awaited_beats: Cell<Option<(Ipv4Addr, u32)>>,
    is_pulling: Rc<Cell<bool>>,
    settle_state: RefCell<SettleState>,
    startup_backoff: RefCell<StartupBackoff>,
}

impl ValueSync {
    pub(crate) fn new(control: &Rc<ControlPlane>, source: PlatformSource) -> Rc<Self> {
        let settings = &control.settings;
        let is_seed = settings.seeds.contains(&settings.host);
        let startup_backoff = StartupBackoff::new(is_seed, control.now_ms());
        Rc::new(Self {
            startup_backoff: RefCell::new(startup_backoff),
            control: control.clone(),
            source,
            freshness: RefCell::default(),
            seen_revision: Cell::default(),
            restoration: RefCell::default(),
            awaited_beats: Cell::new(None),
            is_pulling: Rc::default(),
            settle_state: RefCell::default(),
        })
    }

    /// Returns once a configuration is in force, from the platform or from a peer.
    ///
    /// Reads the platform and polls the seeds concurrently, with retries: when a whole site starts,
    /// most peers do not run yet and the platform may be unreachable. `ask_seed` sends a request
    /// to a seed.
    pub(crate) async fn wait_for_configuration(self: &Rc<Self>, ask_seed: impl Fn(Ipv4Addr)) {
        let value_sync = self.clone();
        let read_task = compio::runtime::spawn(async move { value_sync.read_at_start().await });
        let mut waited_ms = 0;
        while !self.has_routes() {
            if waited_ms % SEED_ASK_INTERVAL_MS == 0 {
                self.control
                    .settings
                    .seeds
                    .iter()
                    .copied()
                    .for_each(&ask_seed);
            }
            compio::time::sleep(Duration::from_millis(START_POLL_MS)).await;
            waited_ms += START_POLL_MS;
        }
        drop(read_task);
        self.settle_state
            .borrow_mut()
            .record_in_force(self.control.now_ms());
        if self.settle_state.borrow().has_first_read_failed() {
            self.unsettle(LAPSE_GRACE_MS);
        }
    }

    async fn read_at_start(&self) {
        loop {
            let read = self.read(PlatformRead::Recent).await;
            self.settle_state
                .borrow_mut()
                .record_first_read(read.is_ok());
            if let Ok(batch) = read {
                self.apply_batch(&batch);
            }
            if self.has_routes() {
                return;
            }
            log::warn!("event=waiting_for_configuration");
            self.startup_backoff
                .borrow_mut()
                .record_failure(self.control.now_ms());
            while !self.startup_backoff.borrow().is_due(self.control.now_ms()) {
                compio::time::sleep(Duration::from_millis(START_POLL_MS)).await;
            }
        }
    }

    /// Returns whether a backend server that is not published may be treated as gone.
    pub(crate) fn is_settled(&self) -> bool {
        let now_ms = self.control.now_ms();
        let clock_ms = self.lapse_clock_ms();
        self.settle_state.borrow().is_settled(clock_ms, now_ms)
    }

    /// Returns the clock by which lapses are measured: the time at which the values were last known
    /// to be the newest.
    ///
    /// The return of a lapsed entry after that time may not have been read yet.
    pub(crate) fn lapse_clock_ms(&self) -> u64 {
        let now_ms = self.control.now_ms();
        now_ms - self.freshness.borrow().age_ms(now_ms)
    }

    fn unsettle(&self, for_ms: u64) {
        let now_ms = self.control.now_ms();
        let clock_ms = self.lapse_clock_ms();
        let mut settle_state = self.settle_state.borrow_mut();
        settle_state.unsettle(for_ms, clock_ms, now_ms);
    }

    /// Returns the time until this process is settled, in milliseconds.
    fn settle_remaining_ms(&self) -> u64 {
        let settle_state = self.settle_state.borrow();
        let is_starting_without_platform =
            !self.has_routes() && settle_state.has_first_read_failed();
        if is_starting_without_platform {
            return LAPSE_GRACE_MS;
        }
        settle_state.settle_remaining_ms(self.lapse_clock_ms())
    }

    /// Returns whether a configuration is in force.
    pub(crate) fn has_routes(&self) -> bool {
        self.control
            .store
            .borrow()
            .revision(crate::opaque::ROUTES_NAME)
            > Revision::ZERO
    }

    /// Runs forever; reads the platform whenever this process should.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut backoff_ms = MIN_BACKOFF_MS;
        loop {
            self.update_restoration();
            let now_ms = self.control.now_ms();
            let position = self.relay_position();
            if !self.freshness.borrow().should_read(position, now_ms) {
                compio::time::sleep(Duration::from_millis(READ_CHECK_INTERVAL_MS)).await;
                continue;
            }
            if self.read_once(now_ms).await {
                backoff_ms = MIN_BACKOFF_MS;
                continue;
            }
            let jitter_ms = rand::random_range(0..=backoff_ms / 2);
            compio::time::sleep(Duration::from_millis(backoff_ms + jitter_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Reads the changes after `seen_revision`, or everything if it is zero; returns whether the
    /// caller may read on without a backoff.
    async fn read_once(&self, now_ms: u64) -> bool {
        let after = self.seen_revision.get();
        let is_stale = self.freshness.borrow().age_ms(now_ms) > WATCH_WAIT_MS;
        let read = match after {
            Revision::ZERO => PlatformRead::Whole,
            after => PlatformRead::Changes {
                after,
                // Stale values are confirmed without waiting for a change.
                wait_ms: if is_stale { 0 } else { WATCH_WAIT_MS },
            },
        };
        let batch = self.read(read).await;
        match batch.and_then(|batch| check_era(read, batch)) {
            Ok(batch) => {
                self.apply_batch(&batch);
                let confirmed_ms = match read {
                    PlatformRead::Changes { wait_ms: 0, .. } => now_ms,
                    PlatformRead::Changes { .. } => self.control.now_ms(),
                    PlatformRead::Recent | PlatformRead::Whole => now_ms,
                };
                self.freshness.borrow_mut().confirm(confirmed_ms);
                if !batch.values.is_empty() {
                    compio::time::sleep(Duration::from_millis(WATCH_PAUSE_MS)).await;
                }
                true
            }
            Err(error) if error.code == Code::PlatformForgot => {
                log::warn!("event=history_forgotten after={after} error={error}");
                self.seen_revision.set(Revision::ZERO);
                true
            }
            Err(_) => false,
        }
    }

    /// Reads the platform; records the outcome in metrics, the log and the freshness.
    async fn read(&self, read: PlatformRead) -> Result<Batch> {
        self.control.metrics.platform_calls.inc();
        let started_ms = self.control.now_ms();
        let result = (self.source.read)(read).await;
        let took_ms = self.control.now_ms() - started_ms;
        let metrics = &self.control.metrics.opaque;
        metrics
            .platform_read_seconds
            .observe(took_ms as f64 / 1_000.0);
        self.freshness.borrow_mut().set_failing(result.is_err());
        match &result {
            Ok(_) => {
                if !self.control.platform_answers.replace(true) {
                    log::info!("event=platform_answers");
                }
            }
            Err(error) => {
                self.control.metrics.platform_failures.inc(error.code);
                if self.control.platform_answers.replace(false) {
                    log::warn!("event=platform_fails read={read:?} error={error}");
                }
            }
        }
        result
    }

    /// Detects a restore of the platform from an older copy, and the end of the settling time after
    /// it.
    fn update_restoration(&self) {
        let highest = self.control.store.borrow().digest().highest;
        // If all values of a new era were dropped as older, only `seen_revision` shows the era.
        let highest = highest.max(self.seen_revision.get());
        let clock_ms = self.lapse_clock_ms();
        let event = self
            .restoration
            .borrow_mut()
            .observe_era(highest.era(), clock_ms);
        match event {
            None => {}
            // To a starting process any era is new; peers that saw the restore report how long they
            // are unsettled.
            Some(RestorationEvent::Restored) if !self.settle_state.borrow().has_values() => {}
            Some(RestorationEvent::Restored) => {
                log::warn!("event=platform_restored revision={highest}");
                self.unsettle(LAPSE_GRACE_MS);
            }
            Some(RestorationEvent::Settled) => {
                log::info!("event=platform_settled revision={highest}");
                let era = self.restoration.borrow().era();
                self.control.store.borrow_mut().mark_era_settled(era);
                // Values that were rejected while the era was unsettled are read again.
                self.seen_revision.set(Revision::ZERO);
            }
        }
    }

    /// Counts and logs values of a batch that are dropped, since values with a higher revision are
    /// in force.
    fn report_dropped(&self, batch: &Batch) {
        let store = self.control.store.borrow();
        let dropped = dropped_values(&store, batch);
        let metrics = &self.control.metrics.opaque;
        metrics.values_dropped.inc_by(dropped.len() as u64);
        let Some(first) = dropped.first() else {
            return;
        };
        log::warn!(
            "event=values_dropped count={} first={} revision={} held_revision={}",
            dropped.len(),
            first.name,
            first.revision,
            first.held_revision
        );
    }

    /// Puts the new values of a batch into force, and marks values that the batch no longer contains
    /// as gone.
    fn apply_batch(&self, batch: &Batch) {
        self.report_dropped(batch);
        let removed = removed_names(&self.control.store.borrow(), batch);
        let mut incoming = {
            let store = self.control.store.borrow();
            new_values(&store, batch)
        };
        let removals = removed.iter().map(|name| IncomingValue {
            name,
            stamp: batch.revision.into(),
            text: GONE_TEXT,
        });
        incoming.extend(removals);
        self.control.accept_all(&incoming);
        if batch.revision > self.seen_revision.get() {
            self.seen_revision.set(batch.revision);
        }
        self.update_restoration();
    }

    /// Returns the position of this process in the relay order of the hosts that are not suspected.
    fn relay_position(&self) -> RelayPosition {
        let now_ms = self.control.now_ms();
        let suspicion = self.control.suspicion.borrow();
        let store = self.control.store.borrow();
        let own_host = self.control.settings.host;
        let location = ProcessLocation {
            host: own_host,
            zone: &self.control.settings.zone,
        };
        let is_trusted = |host| !suspicion.is_suspected(host, now_ms);
        let mut position = freshness::relay_position(store.hosts(), location, is_trusted);
        // While no backend server is published, the seeds read and the others poll them.
        let seeds = &self.control.settings.seeds;
        if position.parent.is_none() && position.rank > 0 && !seeds.contains(&own_host) {
            let first = hash::host_hash(own_host) as usize % seeds.len().max(1);
            let mut from_first = seeds[first..].iter().chain(&seeds[..first]).copied();
            position.parent = from_first.find(|seed| is_trusted(*seed));
        }
        position
    }

    /// Sets the fields of a message that describe the state of its sender's values.
    pub(crate) fn fill_in_state(&self, message: &mut Message) {
        let now_ms = self.control.now_ms();
        message.settle_remaining_ms = self.settle_remaining_ms() as u16;
        message.digest = self.control.store.borrow().digest();
        let age_ms = self.freshness.borrow().reported_age_ms(now_ms);
        message.age_ms = age_ms.map_or(UNKNOWN_AGE_MS, |age_ms| age_ms as u32);
    }

    /// Returns the host that the next beat goes to, and suspects it if it did not answer earlier
    /// ones.
    pub(crate) fn next_beat(&self) -> Option<Ipv4Addr> {
        let now_ms = self.control.now_ms();
        let age_ms = self.freshness.borrow().age_ms(now_ms);
        let metrics = &self.control.metrics.opaque;
        metrics.values_age_seconds.set(age_ms as f64 / 1_000.0);
        let parent = self.relay_position().parent?;
        let missed_beats = match self.awaited_beats.get() {
            Some((host, missed_beats)) if host == parent => missed_beats + 1,
            _ => 0,
        };
        self.awaited_beats.set(Some((parent, missed_beats)));
        if missed_beats > MAX_MISSED_BEATS {
            self.control.metrics.opaque.hosts_suspected.inc();
            log::info!("event=host_suspected host={parent} missed_beats={missed_beats}");
            self.control.suspicion.borrow_mut().suspect(parent, now_ms);
            self.awaited_beats.set(None);
        }
        Some(parent)
    }

    /// Handles the reply to a beat; pulls from the sender if its values differ.
    pub(crate) fn handle_beat_reply(self: &Rc<Self>, from: Ipv4Addr, message: &Message) {
        let Message { digest, age_ms, .. } = *message;
        let now_ms = self.control.now_ms();
        if self.control.settings.seeds.contains(&from) {
            self.startup_backoff.borrow_mut().record_seed_answer(now_ms);
        }
        if self
            .awaited_beats
            .get()
            .is_some_and(|(host, _)| host == from)
        {
            self.awaited_beats.set(Some((from, 0)));
        }
        self.control.suspicion.borrow_mut().record_answer(from);
        let is_failing = age_ms == UNKNOWN_AGE_MS;
        self.freshness.borrow_mut().set_parent_failing(is_failing);
        if digest == self.control.store.borrow().digest() {
            if !is_failing {
                let confirmed_ms = now_ms.saturating_sub(u64::from(age_ms));
                self.freshness.borrow_mut().confirm(confirmed_ms);
            }
            return;
        }
        self.pull(from);
    }

    /// Handles the state of the sender's values that each message carries; pulls newer values from
    /// the sender.
    ///
    /// Changes spread with the traffic that they affect this way.
    pub(crate) fn handle_peer_state(self: &Rc<Self>, from: Ipv4Addr, message: &Message) {
        // Subtract what rounding up added, so that two processes can't keep each other unsettled.
        let settle_remaining_ms =
            u64::from(message.settle_remaining_ms.saturating_sub(SETTLE_UNIT_MS));
        if settle_remaining_ms > 0 {
            let now_ms = self.control.now_ms();
            let clock_ms = self.lapse_clock_ms();
            let mut settle_state = self.settle_state.borrow_mut();
            settle_state.unsettle_with_peer(settle_remaining_ms, clock_ms, now_ms);
        }
        let digest = message.digest;
        if digest.highest > self.control.store.borrow().digest().highest {
            if !self.has_routes() {
                self.startup_backoff
                    .borrow_mut()
                    .record_peer_configuration();
            }
            if !self.has_routes() && !self.is_pulling.get() {
                log::info!(
                    "event=configuration_from_peer host={from} revision={}",
                    digest.highest
                );
            }
            self.pull(from);
        }
    }

    /// Pulls newer values from a host that holds other revisions, unless another pull runs.
    fn pull(self: &Rc<Self>, host: Ipv4Addr) {
        if self.is_pulling.replace(true) {
            return;
        }
        let value_sync = self.clone();
        compio::runtime::spawn(async move {
            if let Err(error) = relay::compare_with(&value_sync.control, host).await {
                log::debug!("event=pull_failed host={host} error={error}");
            }
            value_sync.is_pulling.set(false);
        })
        .detach();
    }
}
