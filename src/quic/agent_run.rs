//! How an agent runs: its timers, its targets as the tables ask for them, and its end.

use std::rc::Rc;
use std::time::Duration;

use crate::config::config_store::{HOSTS_NAME, KEYS_NAME, TABLE_PREFIX};
use crate::config::hosts::HostState;
use crate::config::table::{Table, TableRow};
use crate::error::Result;
use crate::quic::agent::Agent;
use crate::quic::flow_socket::{FLOW_IDLE_MS, FlowSocket};
use crate::quic::target::Target;
use crate::quic::token_source::TokenSource;
use crate::quic::{flow, load_exchange, quic_endpoint};

/// How often an agent tidies what it remembers, in milliseconds.
const PRUNE_PERIOD_MS: u64 = 1_000;
/// How often the part of the requests that moves is adjusted, in milliseconds.
const BALANCE_PERIOD_MS: u64 = 1_000;
/// How often requests that wait are checked against their deadlines, in milliseconds.
const EXPIRE_PERIOD_MS: u64 = 20;
/// How often a leaving agent looks whether its last flow has ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

impl Agent {
    /// Runs until `stop` completes and the last flow has ended or the drain limit has passed.
    pub(crate) async fn run(self: &Rc<Self>, stop: impl Future<Output = ()>) -> Result<()> {
        self.subscribe();
        self.apply_keys();
        self.sync_targets().await;
        let receiver = self.clone();
        let envelopes = compio::runtime::spawn(async move { receiver.take_envelopes().await });
        stop.await;
        self.drain().await;
        drop(envelopes);
        Ok(())
    }

    fn subscribe(self: &Rc<Self>) {
        let agent = self.clone();
        self.control
            .on_change(move |names| agent.clone().values_changed(names));
        let agent = self.clone();
        let timers = &self.control.timers;
        timers.every(PRUNE_PERIOD_MS, move || agent.prune());
        let agent = self.clone();
        timers.every(EXPIRE_PERIOD_MS, move || {
            agent.for_each_target(|target| {
                target.slots.refuse_expired();
                target.expire_reservations();
            });
        });
        let agent = self.clone();
        timers.every(load_exchange::PERIOD_MS, move || {
            load_exchange::start_next(&agent)
        });
        let agent = self.clone();
        timers.every(BALANCE_PERIOD_MS, move || agent.balance());
        let agent = self.clone();
        timers.on_resume(move || {
            agent.for_each_target(|target| {
                target.slots.refuse_expired();
                target.peer_loads.borrow_mut().clear();
            });
        });
    }

    fn balance(&self) {
        let store = self.control.store.borrow();
        self.for_each_target(|target| {
            if let Some(table) = store.table(target.service) {
                target.balance(table, BALANCE_PERIOD_MS);
            }
        });
    }

    fn values_changed(self: Rc<Self>, names: &[&str]) {
        if names.contains(&KEYS_NAME) {
            self.apply_keys();
        }
        let moves_targets = |name: &&str| *name == HOSTS_NAME || name.starts_with(TABLE_PREFIX);
        if names.iter().any(moves_targets) {
            compio::runtime::spawn(async move { self.sync_targets().await }).detach();
        }
    }

    fn apply_keys(&self) {
        let ring = self.control.store.borrow().key_ring().clone();
        let mut held = self
            .ring
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        *held = ring;
    }

    /// Brings targets, limits and drains in line with the tables and the host list in force.
    async fn sync_targets(self: &Rc<Self>) {
        for (table, row) in self.own_rows() {
            if self.target(table.service_id()).is_none()
                && let Err(error) = self.add_target(&table, &row).await
            {
                let service = &table.service;
                log::error!("event=target_failed service={service} error={error}");
            }
        }
        let leaves = self.host_leaves();
        let targets = self.targets.borrow().clone();
        for target in &targets {
            let changed = {
                let store = self.control.store.borrow();
                let table = store.table(target.service);
                target.apply(table.and_then(|table| table.row_on(target.host)), leaves)
            };
            if changed {
                // Peers learn of a drain now, not when chance picks them.
                load_exchange::introduce(self, target);
            }
        }
    }

    fn own_rows(&self) -> Vec<(Table, TableRow)> {
        let store = self.control.store.borrow();
        let host = self.control.settings.host;
        let own = |table: &Table| Some((table.clone(), table.row_on(host)?.clone()));
        store.tables().filter_map(own).collect()
    }

    fn host_leaves(&self) -> bool {
        let store = self.control.store.borrow();
        let host = store.hosts().get(self.control.settings.host);
        host.is_some_and(|host| host.state == HostState::Leaving)
    }

    async fn add_target(self: &Rc<Self>, table: &Table, row: &TableRow) -> Result<()> {
        let service = table.service_id();
        let (ring, host) = (self.ring.clone(), row.host);
        let incarnation = self.control.incarnation;
        let tokens = move || TokenSource {
            ring: ring.clone(),
            host,
            incarnation,
            service,
        };
        let endpoint = quic_endpoint::open(&self.control.settings, &self.server, tokens).await?;
        let target = Target::new(table, row, endpoint, self.control.clock, incarnation)?;
        let mut targets = self.targets.borrow_mut();
        match targets.binary_search_by_key(&service, |target| target.service) {
            Ok(_) => return Ok(()),
            Err(index) => targets.insert(index, target.clone()),
        }
        self.control.metrics.services_open.set(targets.len() as i64);
        drop(targets);
        log::info!(
            "event=target_open service={} target={}",
            table.service,
            row.target
        );
        load_exchange::introduce(self, &target);
        compio::runtime::spawn(flow::accept_flows(self.clone(), target)).detach();
        Ok(())
    }

    fn prune(&self) {
        let now_ms = self.control.now_ms();
        self.for_each_target(|target| {
            target.admission.borrow_mut().prune(now_ms);
            target.peer_loads.borrow_mut().prune(now_ms);
        });
        self.return_path.borrow_mut().prune(now_ms, FLOW_IDLE_MS);
        let idle = |flow: &FlowSocket| now_ms.saturating_sub(flow.last_ms.get()) > FLOW_IDLE_MS;
        self.flows.borrow_mut().retain(|flow| !idle(flow));
    }

    async fn drain(self: &Rc<Self>) {
        self.for_each_target(|target| {
            if target.set_draining(true) {
                load_exchange::introduce(self, target);
            }
        });
        let limit_ms = self.control.now_ms() + self.control.settings.drain_limit_s * 1_000;
        while self.open_flows() > 0 && self.control.now_ms() < limit_ms {
            compio::time::sleep(DRAIN_POLL).await;
        }
        log::info!("event=drained open_flows={}", self.open_flows());
    }
}
