//! The lifecycle of an agent: its timers, the targets that the tables assign to it, and its drain.

use std::rc::Rc;
use std::time::Duration;

use crate::config::config_store::{HOSTS_NAME, KEYS_NAME, TABLE_PREFIX};
use crate::config::hosts::HostState;
use crate::config::table::{Table, TableRow};
use crate::error::Result;
use crate::quic::agent::Agent;
use crate::quic::flow_socket::{FLOW_IDLE_MS, FlowSocket};
use crate::quic::target::Target;
use crate::quic::token_generator::TokenGenerator;
use crate::quic::{flow, load_exchange, quic_endpoint};

/// The interval at which an agent removes expired state, in milliseconds.
const PRUNE_PERIOD_MS: u64 = 1_000;
/// The interval at which the fraction of moved requests is adjusted, in milliseconds.
const ADJUST_PERIOD_MS: u64 = 1_000;
/// The interval at which queued requests and reservations are checked for expiry, in milliseconds.
const EXPIRE_PERIOD_MS: u64 = 20;
/// The interval at which a draining agent checks whether its last flow has ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

impl Agent {
    /// Runs until `stop` completes and the last flow has ended or the drain limit has passed.
    pub(crate) async fn run(self: &Rc<Self>, stop: impl Future<Output = ()>) -> Result<()> {
        self.subscribe();
        self.apply_keys();
        self.sync_targets().await;
        let agent = self.clone();
        let receive_task = compio::runtime::spawn(async move { agent.receive_datagrams().await });
        stop.await;
        self.drain().await;
        drop(receive_task);
        Ok(())
    }

    fn subscribe(self: &Rc<Self>) {
        let agent = self.clone();
        self.control
            .on_change(move |names| agent.clone().apply_changed_values(names));
        let agent = self.clone();
        let timers = &self.control.timers;
        timers.every(PRUNE_PERIOD_MS, move || agent.prune());
        let agent = self.clone();
        timers.every(EXPIRE_PERIOD_MS, move || {
            agent.for_each_target(|target| {
                target.slots.refuse_expired();
                target.remove_expired_reservations();
            });
        });
        let agent = self.clone();
        timers.every(load_exchange::EXCHANGE_PERIOD_MS, move || {
            load_exchange::start_next(&agent)
        });
        let agent = self.clone();
        timers.every(ADJUST_PERIOD_MS, move || agent.adjust_moved_fractions());
        let agent = self.clone();
        timers.on_resume(move || {
            agent.for_each_target(|target| {
                target.slots.refuse_expired();
                target.peer_loads.borrow_mut().clear();
            });
        });
    }

    fn adjust_moved_fractions(&self) {
        let store = self.control.store.borrow();
        self.for_each_target(|target| {
            if let Some(table) = store.table(target.service) {
                target.adjust_moved_fraction(table, ADJUST_PERIOD_MS);
            }
        });
    }

    fn apply_changed_values(self: Rc<Self>, names: &[&str]) {
        if names.contains(&KEYS_NAME) {
            self.apply_keys();
        }
        let affects_targets = |name: &&str| *name == HOSTS_NAME || name.starts_with(TABLE_PREFIX);
        if names.iter().any(affects_targets) {
            compio::runtime::spawn(async move { self.sync_targets().await }).detach();
        }
    }

    fn apply_keys(&self) {
        let key_ring = self.control.store.borrow().key_ring().clone();
        let mut shared_ring = self
            .key_ring
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        *shared_ring = key_ring;
    }

    /// Adds the targets that the tables in force assign to this host, and updates the limits and
    /// drains of all targets from the tables and the host list in force.
    async fn sync_targets(self: &Rc<Self>) {
        for (table, row) in self.local_rows() {
            if self.target(table.service_id()).is_none()
                && let Err(error) = self.add_target(&table, &row).await
            {
                let service = &table.service;
                log::error!("event=target_failed service={service} error={error}");
            }
        }
        let is_leaving = self.is_host_leaving();
        let targets = self.targets.borrow().clone();
        for target in &targets {
            let has_changed = {
                let store = self.control.store.borrow();
                let table = store.table(target.service);
                target.apply_row(
                    table.and_then(|table| table.row_on(target.host)),
                    is_leaving,
                )
            };
            if has_changed {
                // Every peer gets the new state at once, instead of by the next random exchange.
                load_exchange::exchange_with_all_peers(self, target);
            }
        }
    }

    fn local_rows(&self) -> Vec<(Table, TableRow)> {
        let store = self.control.store.borrow();
        let host = self.control.settings.host;
        let with_local_row = |table: &Table| Some((table.clone(), table.row_on(host)?.clone()));
        store.tables().filter_map(with_local_row).collect()
    }

    fn is_host_leaving(&self) -> bool {
        let store = self.control.store.borrow();
        let host = store.hosts().get(self.control.settings.host);
        host.is_some_and(|host| host.state == HostState::Leaving)
    }

    async fn add_target(self: &Rc<Self>, table: &Table, row: &TableRow) -> Result<()> {
        let service = table.service_id();
        let (key_ring, host) = (self.key_ring.clone(), row.host);
        let incarnation = self.control.incarnation;
        let token_generator = move || TokenGenerator {
            key_ring: key_ring.clone(),
            host,
            incarnation,
            service,
        };
        let endpoint =
            quic_endpoint::open(&self.control.settings, &self.server_config, token_generator)
                .await?;
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
        load_exchange::exchange_with_all_peers(self, &target);
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
        let is_idle =
            |flow: &FlowSocket| now_ms.saturating_sub(flow.last_packet_ms.get()) > FLOW_IDLE_MS;
        self.flow_sockets.borrow_mut().retain(|flow| !is_idle(flow));
    }

    async fn drain(self: &Rc<Self>) {
        self.for_each_target(|target| {
            if target.set_draining(true) {
                load_exchange::exchange_with_all_peers(self, target);
            }
        });
        let deadline_ms = self.control.now_ms() + self.control.settings.drain_limit_s * 1_000;
        while self.open_flows() > 0 && self.control.now_ms() < deadline_ms {
            compio::time::sleep(DRAIN_POLL).await;
        }
        log::info!("event=drained open_flows={}", self.open_flows());
    }
}
