//! The controller that keeps the published values of a process new.

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
use crate::opaque::values::source::{Batch, PlatformRead, PlatformSource, of_one_history};
use crate::opaque::values::startup_backoff::StartupBackoff;

/// How long a process waits after a failed read before the next one, at first, in milliseconds.
const MIN_BACKOFF_MS: u64 = 200;
/// The longest wait after a failed read, in milliseconds: half of the time in which values that
/// lapsed while the platform was away are back.
const MAX_BACKOFF_MS: u64 = 1_000;
/// How often a starting process asks its seeds, in milliseconds.
const START_ASK_MS: u64 = 200;
/// How often a starting process looks whether it has a configuration, in milliseconds.
const START_LOOK_MS: u64 = 10;
/// How often a process that does not read looks whether it should, in milliseconds.
const LOOK_MS: u64 = 100;
/// How long a reader waits after a change before it watches again, in milliseconds: changes that come
/// in a row cost one call.
const WATCH_PAUSE_MS: u64 = 150;
/// How long a beat may stay unanswered before its receiver is suspected, in beats.
const MISSED_BEATS: u32 = 2;
/// What a process knows of how new its values are.
pub(crate) struct ValueSync {
    control: Rc<ControlPlane>,
    source: PlatformSource,
    freshness: RefCell<Freshness>,
    seen_revision: Cell<Revision>,
    restoration: RefCell<RestorationTracker>,
    asked: Cell<Option<(Ipv4Addr, u32)>>,
    pulling: Rc<Cell<bool>>,
    settling: RefCell<SettleState>,
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
            asked: Cell::new(None),
            pulling: Rc::default(),
            settling: RefCell::default(),
        })
    }

    /// Brings the process up: returns once a configuration is in force, from the platform or a peer.
    ///
    /// Both are asked at once and again and again, and neither waits for the other: in a site that
    /// starts whole most peers are not there yet, and the platform may be silent.
    pub(crate) async fn start(self: &Rc<Self>, ask: impl Fn(Ipv4Addr)) {
        let values = self.clone();
        let reading = compio::runtime::spawn(async move { values.read_at_start().await });
        let mut waited_ms = 0;
        while !self.has_routes() {
            if waited_ms % START_ASK_MS == 0 {
                self.control.settings.seeds.iter().copied().for_each(&ask);
            }
            compio::time::sleep(Duration::from_millis(START_LOOK_MS)).await;
            waited_ms += START_LOOK_MS;
        }
        drop(reading);
        self.settling.borrow_mut().start(self.control.now_ms());
        if self.settling.borrow().has_missed_platform() {
            self.unsettle(LAPSE_GRACE_MS);
        }
    }

    async fn read_at_start(&self) {
        loop {
            let read = self.read(PlatformRead::Recent).await;
            self.settling.borrow_mut().note_read(read.is_ok());
            if let Ok(batch) = read {
                self.take(&batch);
            }
            if self.has_routes() {
                return;
            }
            log::warn!("event=waiting_for_configuration");
            self.startup_backoff
                .borrow_mut()
                .record_failure(self.control.now_ms());
            while !self.startup_backoff.borrow().is_due(self.control.now_ms()) {
                compio::time::sleep(Duration::from_millis(START_LOOK_MS)).await;
            }
        }
    }

    /// Tells whether a backend server that is not published may be taken for gone.
    pub(crate) fn is_settled(&self) -> bool {
        let now_ms = self.control.now_ms();
        let clock_ms = self.lapse_clock_ms();
        self.settling.borrow().is_settled(clock_ms, now_ms)
    }

    /// Returns the time up to which entries that came back have been seen: when the values were last
    /// known to be the newest.
    pub(crate) fn lapse_clock_ms(&self) -> u64 {
        let now_ms = self.control.now_ms();
        now_ms - self.freshness.borrow().age_ms(now_ms)
    }

    fn unsettle(&self, for_ms: u64) {
        let now_ms = self.control.now_ms();
        let clock_ms = self.lapse_clock_ms();
        let mut settling = self.settling.borrow_mut();
        settling.unsettle(for_ms, clock_ms, now_ms);
    }

    /// Returns for how long this process will be unsettled, in milliseconds.
    fn unsettled_ms(&self) -> u64 {
        let settling = self.settling.borrow();
        let waits = !self.has_routes() && settling.has_missed_platform();
        if waits {
            return LAPSE_GRACE_MS;
        }
        settling.unsettled_ms(self.lapse_clock_ms())
    }

    /// Tells whether a configuration is in force.
    pub(crate) fn has_routes(&self) -> bool {
        self.control
            .store
            .borrow()
            .revision(crate::opaque::ROUTES_NAME)
            > Revision::ZERO
    }

    /// Reads the platform forever, while this process should.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut backoff_ms = MIN_BACKOFF_MS;
        loop {
            self.look_at_era();
            let now_ms = self.control.now_ms();
            let relay_position = self.relay_position();
            if !self.freshness.borrow().should_read(relay_position, now_ms) {
                compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
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

    /// Reads what changed, or everything where that is not known; says whether it succeeded.
    async fn read_once(&self, now_ms: u64) -> bool {
        let after = self.seen_revision.get();
        let stale = self.freshness.borrow().age_ms(now_ms) > WATCH_WAIT_MS;
        let read = match after {
            Revision::ZERO => PlatformRead::Whole,
            after => PlatformRead::Changes {
                after,
                // What may be old already is confirmed at once.
                wait_ms: if stale { 0 } else { WATCH_WAIT_MS },
            },
        };
        let batch = self.read(read).await;
        match batch.and_then(|batch| of_one_history(read, batch)) {
            Ok(batch) => {
                self.take(&batch);
                let read_ms = match read {
                    PlatformRead::Changes { wait_ms: 0, .. } => now_ms,
                    PlatformRead::Changes { .. } => self.control.now_ms(),
                    PlatformRead::Recent | PlatformRead::Whole => now_ms,
                };
                self.freshness.borrow_mut().confirm(read_ms);
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

    async fn read(&self, read: PlatformRead) -> Result<Batch> {
        self.control.metrics.platform_calls.inc();
        let started_ms = self.control.now_ms();
        let result = (self.source.read)(read).await;
        let took_ms = self.control.now_ms() - started_ms;
        let metrics = &self.control.metrics.opaque;
        metrics.read_seconds.observe(took_ms as f64 / 1_000.0);
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

    /// Notes where the platform came back from an older copy, and where it has settled again.
    fn look_at_era(&self) {
        let highest = self.control.store.borrow().digest().highest;
        // All that was read in a new era may be older than what is in force.
        let highest = highest.max(self.seen_revision.get());
        let clock_ms = self.lapse_clock_ms();
        let step = self
            .restoration
            .borrow_mut()
            .observe_era(highest.era(), clock_ms);
        match step {
            None => {}
            // To a process that starts any era is new; those that saw the return tell it how long ago that was.
            Some(RestorationEvent::Restored) if !self.settling.borrow().is_started() => {}
            Some(RestorationEvent::Restored) => {
                log::warn!("event=platform_restored revision={highest}");
                self.unsettle(LAPSE_GRACE_MS);
            }
            Some(RestorationEvent::Settled) => {
                log::info!("event=platform_settled revision={highest}");
                let era = self.restoration.borrow().era();
                self.control.store.borrow_mut().mark_era_settled(era);
                // What was not believed until now is read again.
                self.seen_revision.set(Revision::ZERO);
            }
        }
    }

    /// Says so where values are dropped since others are in force with a higher revision.
    fn note_dropped(&self, batch: &Batch) {
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

    fn take(&self, batch: &Batch) {
        self.note_dropped(batch);
        let vanished = removed_names(&self.control.store.borrow(), batch);
        let mut news = {
            let store = self.control.store.borrow();
            new_values(&store, batch)
        };
        let gone = vanished.iter().map(|name| IncomingValue {
            name,
            stamp: batch.revision.into(),
            text: GONE_TEXT,
        });
        news.extend(gone);
        self.control.accept_all(&news);
        if batch.revision > self.seen_revision.get() {
            self.seen_revision.set(batch.revision);
        }
        self.look_at_era();
    }

    fn relay_position(&self) -> RelayPosition {
        let now_ms = self.control.now_ms();
        let suspicion = self.control.suspicion.borrow();
        let store = self.control.store.borrow();
        let me = self.control.settings.host;
        let asker = ProcessLocation {
            host: me,
            zone: &self.control.settings.zone,
        };
        let trusted = |host| !suspicion.is_suspected(host, now_ms);
        let mut relay_position = freshness::relay_position(store.hosts(), asker, trusted);
        // While nobody is published the seeds read, and the others ask them.
        let seeds = &self.control.settings.seeds;
        if relay_position.parent.is_none() && relay_position.rank > 0 && !seeds.contains(&me) {
            let first = hash::host_hash(me) as usize % seeds.len().max(1);
            let mut from_first = seeds[first..].iter().chain(&seeds[..first]).copied();
            relay_position.parent = from_first.find(|seed| trusted(*seed));
        }
        relay_position
    }

    /// Fills in what every message tells about its sender's values.
    pub(crate) fn sign(&self, message: &mut Message) {
        let now_ms = self.control.now_ms();
        message.settle_remaining_ms = self.unsettled_ms() as u16;
        message.digest = self.control.store.borrow().digest();
        let age_ms = self.freshness.borrow().reported_age_ms(now_ms);
        message.age_ms = age_ms.map_or(UNKNOWN_AGE_MS, |age_ms| age_ms as u32);
    }

    /// Returns whom to ask now, and suspects who did not answer before.
    pub(crate) fn beat(&self) -> Option<Ipv4Addr> {
        let now_ms = self.control.now_ms();
        let age_ms = self.freshness.borrow().age_ms(now_ms);
        let metrics = &self.control.metrics.opaque;
        metrics.values_age_seconds.set(age_ms as f64 / 1_000.0);
        let parent = self.relay_position().parent?;
        let missed = match self.asked.get() {
            Some((host, missed)) if host == parent => missed + 1,
            _ => 0,
        };
        self.asked.set(Some((parent, missed)));
        if missed > MISSED_BEATS {
            self.control.metrics.opaque.hosts_suspected.inc();
            log::info!("event=host_suspected host={parent} missed_beats={missed}");
            self.control.suspicion.borrow_mut().suspect(parent, now_ms);
            self.asked.set(None);
        }
        Some(parent)
    }

    /// Takes the answer to a beat.
    pub(crate) fn beat_answered(self: &Rc<Self>, from: Ipv4Addr, message: &Message) {
        let Message { digest, age_ms, .. } = *message;
        let now_ms = self.control.now_ms();
        if self.control.settings.seeds.contains(&from) {
            self.startup_backoff.borrow_mut().record_seed_answer(now_ms);
        }
        if self.asked.get().is_some_and(|(host, _)| host == from) {
            self.asked.set(Some((from, 0)));
        }
        self.control.suspicion.borrow_mut().answered(from);
        let failing = age_ms == UNKNOWN_AGE_MS;
        self.freshness.borrow_mut().set_parent_failing(failing);
        if digest == self.control.store.borrow().digest() {
            if !failing {
                let confirmed_ms = now_ms.saturating_sub(u64::from(age_ms));
                self.freshness.borrow_mut().confirm(confirmed_ms);
            }
            return;
        }
        self.pull(from);
    }

    /// Notes what the sender of a packet holds, which may be newer: so a change travels with the
    /// traffic that it is about.
    pub(crate) fn noticed(self: &Rc<Self>, from: Ipv4Addr, message: &Message) {
        // Less by what rounding added, so that two can't keep each other unsettled.
        let unsettled_ms = u64::from(message.settle_remaining_ms.saturating_sub(SETTLE_UNIT_MS));
        if unsettled_ms > 0 {
            let now_ms = self.control.now_ms();
            let clock_ms = self.lapse_clock_ms();
            let mut settling = self.settling.borrow_mut();
            settling.wait_with(unsettled_ms, clock_ms, now_ms);
        }
        let digest = message.digest;
        if digest.highest > self.control.store.borrow().digest().highest {
            if !self.has_routes() {
                self.startup_backoff
                    .borrow_mut()
                    .record_peer_configuration();
            }
            if !self.has_routes() && !self.pulling.get() {
                log::info!(
                    "event=configuration_from_peer host={from} revision={}",
                    digest.highest
                );
            }
            self.pull(from);
        }
    }

    /// Asks a host that holds other revisions for what is newer there, one ask at a time.
    fn pull(self: &Rc<Self>, host: Ipv4Addr) {
        if self.pulling.replace(true) {
            return;
        }
        let values = self.clone();
        compio::runtime::spawn(async move {
            if let Err(error) = relay::compare_with(&values.control, host).await {
                log::debug!("event=pull_failed host={host} error={error}");
            }
            values.pulling.set(false);
        })
        .detach();
    }
}
