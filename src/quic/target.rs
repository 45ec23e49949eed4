//! One target of this host: its flows, slots, ledger and what it knows of its peers.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use compio::quic::Endpoint;
use serde_json::{Value, json};

use crate::config::service_id::ServiceId;
use crate::config::table::{Table, TableRow};
use crate::decisions::admission::Admission;
use crate::decisions::ledger::{LEDGER_ENTRIES, Ledger};
use crate::decisions::moved_fraction::{MovedFraction, SlotLoad};
use crate::decisions::peer_loads::{LoadReport, PeerLoads};
use crate::decisions::retry_budget::RetryBudget;
use crate::decisions::slot_queue::SlotQueue;
use crate::process::clock::Clock;
use crate::quic::drain_signal::DrainSignal;
use crate::quic::health::Health;
use crate::quic::reservation::Reservation;

/// A target that this agent serves.
pub(crate) struct Target {
    pub(crate) service: ServiceId,
    pub(crate) service_name: String,
    pub(crate) name: String,
    pub(crate) host: Ipv4Addr,
    pub(crate) endpoint: Endpoint,
    pub(crate) endpoint_address: SocketAddr,
    pub(crate) backend: Cell<SocketAddr>,
    pub(crate) connections: Cell<u32>,
    pub(crate) slots: Rc<SlotQueue>,
    pub(crate) admission: RefCell<Admission>,
    pub(crate) peer_loads: RefCell<PeerLoads>,
    pub(crate) health: RefCell<Health>,
    pub(crate) moved_fraction: RefCell<MovedFraction>,
    pub(crate) ledger: RefCell<Ledger>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) drain: DrainSignal,
    pub(crate) reservations: RefCell<Vec<Reservation>>,
    clock: Clock,
    incarnation: u32,
    sequence: Cell<u32>,
}

impl Target {
    pub(crate) fn new(
        table: &Table,
        row: &TableRow,
        endpoint: Endpoint,
        clock: Clock,
        incarnation: u32,
    ) -> std::io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            service: table.service_id(),
            service_name: table.service.clone(),
            name: row.target.clone(),
            host: row.host,
            endpoint_address: endpoint.local_addr()?,
            endpoint,
            backend: Cell::new(row.backend),
            connections: Cell::new(row.connections),
            slots: SlotQueue::new(row.slots, clock),
            admission: RefCell::new(Admission::new(row.host, clock.now_ms())),
            peer_loads: RefCell::default(),
            health: RefCell::default(),
            moved_fraction: RefCell::default(),
            ledger: RefCell::new(Ledger::new(LEDGER_ENTRIES)),
            budget: RefCell::default(),
            drain: DrainSignal::new(),
            reservations: RefCell::default(),
            clock,
            incarnation,
            sequence: Cell::new(0),
        }))
    }

    /// Takes the limits of a changed row, or drains where the row is gone; says whether a drain
    /// began or ended.
    pub(crate) fn apply(&self, row: Option<&TableRow>, host_leaves: bool) -> bool {
        if let Some(row) = row {
            self.backend.set(row.backend);
            self.connections.set(row.connections);
            self.slots.set_limit(row.slots);
        }
        self.set_draining(row.is_none() || host_leaves)
    }

    /// Starts or ends the drain and says whether that was news; flows that run are told to move, and
    /// none is cut.
    pub(crate) fn set_draining(&self, draining: bool) -> bool {
        let mut admission = self.admission.borrow_mut();
        if admission.is_draining() == draining {
            return false;
        }
        admission.set_draining(draining);
        log::info!("event=drain service={} on={draining}", self.service_name);
        if draining {
            self.drain.start();
        } else {
            self.drain.rearm();
        }
        true
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.admission.borrow().is_draining()
    }

    /// Returns the share of its weight that the target takes now, in thousandths.
    pub(crate) fn share_permille(&self) -> u16 {
        let health_permille = self.health.borrow().share_permille();
        let now_ms = self.clock.now_ms();
        self.admission
            .borrow()
            .share_permille(health_permille, now_ms)
    }

    /// Returns a new report of this target's load, newer than any before.
    pub(crate) fn report(&self) -> LoadReport {
        self.sequence.set(self.sequence.get() + 1);
        LoadReport {
            host: self.host,
            incarnation: self.incarnation,
            sequence: self.sequence.get(),
            open_flows: self.admission.borrow().open_flows(),
            busy_slots: self.slots.busy().min(u32::from(u16::MAX)) as u16,
            age_cs: 0,
            share_permille: self.share_permille(),
            busy_centislots: (self.moved_fraction.borrow().busy_slots() * 100.0) as u16,
        }
    }

    /// Takes the busy time of the last `span_ms` and adjusts which part of the requests moves.
    pub(crate) fn balance(&self, table: &Table, span_ms: u64) {
        let busy_slots = self.slots.take_busy_ms() as f64 / span_ms as f64;
        let weight = table.row_on(self.host).map_or(0, |row| row.weight);
        let (_, standings) = self.busy_peers(table);
        let mut moved_fraction = self.moved_fraction.borrow_mut();
        moved_fraction.observe(busy_slots);
        moved_fraction.adjust(f64::from(weight), &standings);
    }

    /// Draws the peer for a request that moves to level the busy slots.
    pub(crate) fn draw_peer(&self, table: &Table) -> Option<Ipv4Addr> {
        let weight = table.row_on(self.host)?.weight;
        let (hosts, standings) = self.busy_peers(table);
        let moved_fraction = self.moved_fraction.borrow();
        let drawn = moved_fraction.pick_peer(f64::from(weight), &standings, &mut rand::rng())?;
        Some(hosts[drawn])
    }

    /// Returns the hosts of peers whose load is known, and their busy slots in the same order.
    fn busy_peers(&self, table: &Table) -> (Vec<Ipv4Addr>, Vec<SlotLoad>) {
        let peer_loads = self.peer_loads.borrow();
        let now_ms = self.clock.now_ms();
        let standing = |row: &TableRow| {
            let report = peer_loads.fresh_load(row.host, now_ms)?.report;
            let weight = f64::from(row.weight) * f64::from(report.share_permille) / 1_000.0;
            let busy_slots = f64::from(report.busy_centislots) / 100.0;
            Some((row.host, SlotLoad { busy_slots, weight }))
        };
        let others = table.rows.iter().filter(|row| row.host != self.host);
        others.filter_map(standing).unzip()
    }

    /// Frees the slots of offers that were accepted and never used.
    pub(crate) fn expire_reservations(&self) {
        let now_ms = self.clock.now_ms();
        let mut reservations = self.reservations.borrow_mut();
        let all = std::mem::take(&mut *reservations);
        let (kept, expired): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|held| held.expires_ms > now_ms);
        *reservations = kept;
        drop(reservations);
        // Freeing a slot may grant it to a task, so it is done outside the borrow.
        drop(expired);
    }

    pub(crate) fn state(&self) -> Value {
        let now_ms = self.clock.now_ms();
        json!({
            "service": self.service_name,
            "target": self.name,
            "backend": self.backend.get(),
            "open_flows": self.admission.borrow().open_flows(),
            "busy_slots": self.slots.busy(),
            "queued": self.slots.queued(),
            "service_ms": self.slots.service_ms(),
            "share_permille": self.share_permille(),
            "mean_busy_slots": self.moved_fraction.borrow().busy_slots(),
            "moved_fraction": self.moved_fraction.borrow().fraction(),
            "draining": self.is_draining(),
            "ledger_entries": self.ledger.borrow().len(),
            "peers": self.peer_loads.borrow().fresh_reports(now_ms),
        })
    }
}
