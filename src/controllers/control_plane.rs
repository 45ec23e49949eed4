//! What every daemon shares: the values in force, its links, its timers and its dump of state.

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

/// How many hosts that made links to this process are remembered.
const MAX_LINKING_HOSTS: usize = 64;

/// How many values that come into force together are logged one by one; of more, one line tells.
///
/// A process that starts takes a value for each backend server, which would use up the budget of lines.
const LOGGED_VALUES: usize = 4;

type ChangeAction = Rc<dyn Fn(&[&str])>;

/// The parts of a process on which its controllers and filters build.
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
    /// Whether changes are told along links; without it peers ask, and are told that there is one.
    pub(crate) pushes_changes: Cell<bool>,
    linking: RefCell<Vec<Ipv4Addr>>,
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
            linking: RefCell::default(),
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

    /// Takes a value that the platform published.
    pub(crate) fn accept(
        &self,
        name: &str,
        stamp: impl Into<VersionStamp>,
        text: &str,
    ) -> Result<AcceptOutcome> {
        let stamp = stamp.into();
        let result = self.store.borrow_mut().accept(name, stamp, text);
        if self.judge(name, stamp.revision, &result) {
            self.in_force(&[(name, stamp)]);
        }
        result
    }

    /// Takes values that the platform published together; a rejected one is counted and logged.
    pub(crate) fn accept_all(&self, values: &[IncomingValue<'_>]) {
        self.conclude(values.iter().map(|&IncomingValue { name, stamp, text }| {
            let result = self.store.borrow_mut().accept(name, stamp, text);
            (name, stamp, result)
        }));
    }

    /// Takes a value that a peer sent.
    pub(crate) fn accept_update(&self, update: &ValueUpdate) -> Result<AcceptOutcome> {
        let result = self.store.borrow_mut().accept_update(update);
        if self.judge(&update.name, update.stamp.revision, &result) {
            self.in_force(&[(&update.name, update.stamp)]);
        }
        result
    }

    /// Takes values that a peer sent together, and returns the names of those that came into force.
    pub(crate) fn accept_updates<'a>(&self, updates: &'a [ValueUpdate]) -> Vec<&'a str> {
        self.conclude(updates.iter().map(|update| {
            let result = self.store.borrow_mut().accept_update(update);
            (update.name.as_str(), update.stamp, result)
        }))
    }

    /// Judges what became of values that came together, tells of those in force, and returns their names.
    fn conclude<'a>(
        &self,
        results: impl Iterator<Item = (&'a str, VersionStamp, Result<AcceptOutcome>)>,
    ) -> Vec<&'a str> {
        let judged =
            results.filter(|(name, stamp, result)| self.judge(name, stamp.revision, result));
        let accepted: Vec<(&str, VersionStamp)> =
            judged.map(|(name, stamp, _)| (name, stamp)).collect();
        self.in_force(&accepted);
        accepted.into_iter().map(|(name, _)| name).collect()
    }

    /// Notes that the process on `host` made a control link to this one and proved itself.
    ///
    /// A process that starts while the platform is silent has no host list; those that link to it
    /// are then the peers that it can ask.
    pub(crate) fn record_inbound_link(&self, host: Ipv4Addr) {
        self.suspicion.borrow_mut().answered(host);
        let mut linking = self.linking.borrow_mut();
        if linking.len() < MAX_LINKING_HOSTS
            && let Err(index) = linking.binary_search(&host)
        {
            linking.insert(index, host);
        }
    }

    /// Returns the hosts that made control links to this process.
    pub(crate) fn inbound_link_hosts(&self) -> Vec<Ipv4Addr> {
        self.linking.borrow().clone()
    }

    /// Counts what became of a value; tells whether it came into force.
    fn judge(&self, name: &str, revision: Revision, result: &Result<AcceptOutcome>) -> bool {
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

    /// Tells of values that came into force together, each with its revision.
    fn in_force(&self, values: &[(&str, VersionStamp)]) {
        if values.is_empty() {
            return;
        }
        let highest = self.store.borrow().digest().highest;
        self.metrics.config_revision.set(highest.number() as i64);
        self.metrics.opaque.platform_era.set(highest.era() as i64);
        if values.len() > LOGGED_VALUES {
            let count = values.len();
            log::info!("event=values_in_force count={count} revision={highest}");
        } else {
            for (name, VersionStamp { revision, version }) in values {
                log::info!(
                    "event=value_in_force name={name} revision={revision} version={version}"
                );
            }
        }
        // Several states of one value may come together; the last one is in force.
        let routes = self.store.borrow().get(ROUTES_NAME).map(StoredValue::stamp);
        let version = routes.map_or(0, |stamp| stamp.version);
        self.metrics.config_version.set(version as i64);
        let names: Vec<&str> = values.iter().map(|(name, _)| *name).collect();
        if names.contains(&HOSTS_NAME) {
            self.keep_entry_hosts();
        }
        let actions = self.on_change.borrow().clone();
        actions.iter().for_each(|action| action(&names));
    }

    /// Returns the entry hosts of the list, to which answers may go.
    pub(crate) fn entry_hosts(&self) -> Rc<[Ipv4Addr]> {
        self.entry_hosts.borrow().clone()
    }

    /// Keeps the entry hosts at hand, since each answer asks for them.
    fn keep_entry_hosts(&self) {
        let store = self.store.borrow();
        let entries = store.hosts().with_role(HostRole::Entry);
        *self.entry_hosts.borrow_mut() = entries.map(|host| host.address).collect();
    }

    /// Returns the part of the state dump that all daemons have.
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
            "suspected": self.suspicion.borrow().suspected(now_ms),
        })
    }
}
