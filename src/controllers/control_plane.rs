//! The state that every daemon has: values in force, control links, timers and the state dump.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;

use serde_json::{Value, json};

use crate::config::config_store::{
    AcceptOutcome, ConfigStore, HOSTS_NAME, StoredValue, ValueUpdate,
};
use crate::config::hosts::HostRole;
use crate::config::incoming_value::IncomingValue;
use crate::config::revision::Revision;
use crate::config::route_table::ROUTES_NAME;
use crate::config::settings::Settings;
use crate::config::version_stamp::VersionStamp;
use crate::decisions::suspicion::Suspicion;
use crate::error::Result;
use crate::links::peer_client::PeerClient;
use crate::process::clock::{self, Clock};
use crate::process::metrics::Metrics;
use crate::process::timers::Timers;

/// The most hosts with inbound links that are remembered.
const MAX_INBOUND_LINK_HOSTS: usize = 64;

/// The most values put into force together that are logged one by one; for more, one line gives
/// their count.
///
/// A starting process accepts a value for each backend server, which would use up the budget of log
/// lines.
const MAX_LOGGED_VALUES: usize = 4;

type ChangeAction = Rc<dyn Fn(&[&str])>;

/// A process's part of the control plane, on which its controllers and filters build.
pub(crate) struct ControlPlane {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) incarnation: u32,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) timers: Timers,
    pub(crate) peers: PeerClient,
    pub(crate) store: RefCell<ConfigStore>,
    pub(crate) suspicion: RefCell<Suspicion>,
    pub(crate) platform_answers: Cell<bool>,
    /// Whether changes are pushed over control links; if not, peers are only notified of them, and
    /// pull.
    pub(crate) pushes_changes: Cell<bool>,
    inbound_link_hosts: RefCell<Vec<Ipv4Addr>>,
    entry_hosts: RefCell<Rc<[Ipv4Addr]>>,
    on_change: RefCell<Vec<ChangeAction>>,
}

impl ControlPlane {
    pub(crate) fn new(settings: Settings, metrics: Rc<Metrics>) -> Rc<Self> {
        let clock = Clock::start();
        Rc::new(Self {
            clock,
            incarnation: clock::incarnation(),
            timers: Timers::new(clock),
            peers: PeerClient::new(
                settings.host,
                &settings.cluster_key,
                settings.control_port,
                &metrics,
            ),
            store: RefCell::new(ConfigStore::new(&settings.cluster_key)),
            suspicion: RefCell::default(),
            platform_answers: Cell::new(false),
            pushes_changes: Cell::new(true),
            inbound_link_hosts: RefCell::default(),
            entry_hosts: RefCell::new(Rc::default()),
            on_change: RefCell::default(),
            metrics,
            settings,
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Calls `action` with the names of values that come into force together.
    pub(crate) fn on_change(&self, action: impl Fn(&[&str]) + 'static) {
        self.on_change.borrow_mut().push(Rc::new(action));
    }

    /// Accepts a value that was read from the platform.
    pub(crate) fn accept(
        &self,
        name: &str,
        stamp: impl Into<VersionStamp>,
        text: &str,
    ) -> Result<AcceptOutcome> {
        let stamp = stamp.into();
        let result = self.store.borrow_mut().accept(name, stamp, text);
        if self.record_result(name, stamp.revision, &result) {
            self.announce_in_force(&[(name, stamp)]);
        }
        result
    }

    /// Accepts values that were read together from the platform; rejected ones are counted and
    /// logged.
    pub(crate) fn accept_all(&self, values: &[IncomingValue<'_>]) {
        self.record_results(values.iter().map(|&IncomingValue { name, stamp, text }| {
            let result = self.store.borrow_mut().accept(name, stamp, text);
            (name, stamp, result)
        }));
    }

    /// Accepts a value that a peer sent.
    pub(crate) fn accept_update(&self, update: &ValueUpdate) -> Result<AcceptOutcome> {
        let result = self.store.borrow_mut().accept_update(update);
        if self.record_result(&update.name, update.stamp.revision, &result) {
            self.announce_in_force(&[(&update.name, update.stamp)]);
        }
        result
    }

    /// Accepts values that a peer sent together; returns the names of those put into force.
    pub(crate) fn accept_updates<'a>(&self, updates: &'a [ValueUpdate]) -> Vec<&'a str> {
        self.record_results(updates.iter().map(|update| {
            let result = self.store.borrow_mut().accept_update(update);
            (update.name.as_str(), update.stamp, result)
        }))
    }

    /// Records the results of values received together, announces those put into force, and returns
    /// their names.
    fn record_results<'a>(
        &self,
        results: impl Iterator<Item = (&'a str, VersionStamp, Result<AcceptOutcome>)>,
    ) -> Vec<&'a str> {
        let recorded = results
            .filter(|(name, stamp, result)| self.record_result(name, stamp.revision, result));
        let accepted: Vec<(&str, VersionStamp)> =
            recorded.map(|(name, stamp, _)| (name, stamp)).collect();
        self.announce_in_force(&accepted);
        accepted.into_iter().map(|(name, _)| name).collect()
    }

    /// Records that the process on `host` opened an authenticated control link to this one.
    ///
    /// A process that starts while the platform does not answer has no host list; it then pulls
    /// values from these hosts and from its seeds.
    pub(crate) fn record_inbound_link(&self, host: Ipv4Addr) {
        self.suspicion.borrow_mut().record_answer(host);
        let mut hosts = self.inbound_link_hosts.borrow_mut();
        if hosts.len() < MAX_INBOUND_LINK_HOSTS
            && let Err(index) = hosts.binary_search(&host)
        {
            hosts.insert(index, host);
        }
    }

    /// Returns the hosts that opened control links to this process.
    pub(crate) fn inbound_link_hosts(&self) -> Vec<Ipv4Addr> {
        self.inbound_link_hosts.borrow().clone()
    }

    /// Counts the result of a received value and logs a rejection; returns whether the value was put
    /// into force.
    fn record_result(
        &self,
        name: &str,
        revision: Revision,
        result: &Result<AcceptOutcome>,
    ) -> bool {
        match result {
            Ok(AcceptOutcome::Stale) => false,
            Ok(AcceptOutcome::Accepted) => {
                self.metrics.values_accepted.inc();
                true
            }
            Err(error) if error.code == crate::code::Code::DeltaMismatch => false,
            Err(error) => {
                self.metrics.values_rejected.inc(error.code);
                log::warn!("event=value_rejected name={name} revision={revision} error={error}");
                false
            }
        }
    }

    /// Logs values that were put into force together, updates metrics and runs the registered
    /// actions.
    fn announce_in_force(&self, values: &[(&str, VersionStamp)]) {
        if values.is_empty() {
            return;
        }
        let highest = self.store.borrow().digest().highest;
        self.metrics.config_revision.set(highest.number() as i64);
        self.metrics.opaque.platform_era.set(highest.era() as i64);
        if values.len() > MAX_LOGGED_VALUES {
            let count = values.len();
            log::info!("event=values_in_force count={count} revision={highest}");
        } else {
            for (name, VersionStamp { revision, version }) in values {
                log::info!(
                    "event=value_in_force name={name} revision={revision} version={version}"
                );
            }
        }
        // Several states of one value may be accepted together; the last one is in force.
        let routes = self.store.borrow().get(ROUTES_NAME).map(StoredValue::stamp);
        let version = routes.map_or(0, |stamp| stamp.version);
        self.metrics.config_version.set(version as i64);
        let names: Vec<&str> = values.iter().map(|(name, _)| *name).collect();
        if names.contains(&HOSTS_NAME) {
            self.cache_entry_hosts();
        }
        let actions = self.on_change.borrow().clone();
        actions.iter().for_each(|action| action(&names));
    }

    /// Returns the entry hosts of the host list, to which answers may be sent.
    pub(crate) fn entry_hosts(&self) -> Rc<[Ipv4Addr]> {
        self.entry_hosts.borrow().clone()
    }

    /// Caches the entry hosts, since each answer packet needs them.
    fn cache_entry_hosts(&self) {
        let store = self.store.borrow();
        let entries = store.hosts().with_role(HostRole::Entry);
        *self.entry_hosts.borrow_mut() = entries.map(|host| host.address).collect();
    }

    /// Returns the part of the state dump that all daemons share.
    pub(crate) fn state(&self, role: &str) -> Value {
        let now_ms = self.now_ms();
        let store = self.store.borrow();
        let values = store.values().iter().map(|value| {
            json!({
                "name": value.name,
                "revision": value.revision.number(),
                "era": value.revision.era(),
                "version": value.version,
                "bytes": value.text.len(),
                "rejected_revision": value.rejected().map(|rejected| rejected.revision.number()),
                "rejected_because": value.rejected().map(|rejected| rejected.error.to_string()),
            })
        });
        let tables: Vec<Value> = store.tables().map(|table| json!(table)).collect();
        json!({
            "role": role,
            "version": env!("CARGO_PKG_VERSION"),
            "host": self.settings.host,
            "zone": self.settings.zone,
            "incarnation": self.incarnation,
            "uptime_ms": now_ms,
            "revision": store.digest().highest.number(),
            "era": store.digest().highest.era(),
            "platform_answers": self.platform_answers.get(),
            "values": values.collect::<Vec<_>>(),
            "tables": tables,
            "hosts": store.hosts(),
            "links": self.peers.linked_hosts(),
            "suspected": self.suspicion.borrow().suspected_hosts(now_ms),
        })
    }
}
