//! A target of this host: its flows, slots and ledger, and the load of its peers.

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

/// A target of this host.
pub(crate) struct Target {
    pub(crate) service: ServiceId,
    pub(crate) service_name: String,
    pub(crate) name: String,
    pub(crate) host: Ipv4Addr,
    pub(crate) endpoint: Endpoint,
    pub(crate) endpoint_address: SocketAddr,
    pub(crate) backend: Cell<SocketAddr>,
    pub(crate) max_connections: Cell<u32>,
    pub(crate) slots: Rc<SlotQueue>,
    pub(crate) admission: RefCell<Admission>,
    pub(crate) peer_loads: RefCell<PeerLoads>,
    pub(crate) health: RefCell<Health>,
    pub(crate) moved_fraction: RefCell<MovedFraction>,
    pub(crate) ledger: RefCell<Ledger>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) drain_signal: DrainSignal,
    pub(crate) reservations: RefCell<Vec<Reservation>>,
    clock: Clock,
    incarnation: u32,
    report_sequence: Cell<u32>,
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
            max_connections: Cell::new(row.connections),
            slots: SlotQueue::new(row.slots, clock),
            admission: RefCell::new(Admission::new(row.host, clock.now_ms())),
            peer_loads: RefCell::default(),
            health: RefCell::default(),
            moved_fraction: RefCell::default(),
            ledger: RefCell::new(Ledger::new(LEDGER_ENTRIES)),
            retry_budget: RefCell::default(),
            drain_signal: DrainSignal::new(),
            reservations: RefCell::default(),
            clock,
            incarnation,
            report_sequence: Cell::new(0),
        }))
    }

    /// Applies the limits of a changed row, and drains if the row was removed or the host is
    /// leaving. Returns whether a drain started or ended.
    pub(crate) fn apply_row(&self, row: Option<&TableRow>, is_host_leaving: bool) -> bool {
        if let Some(row) = row {
            self.backend.set(row.backend);
            self.max_connections.set(row.connections);
            self.slots.set_limit(row.slots);
        }
        self.set_draining(row.is_none() || is_host_leaving)
    }

    /// Starts or ends the drain, and returns whether this changed anything. Open flows get a
    /// GOAWAY, and none is reset.
    pub(crate) fn set_draining(&self, draining: bool) -> bool {
        let mut admission = self.admission.borrow_mut();
        if admission.is_draining() == draining {
            return false;
        }
        admission.set_draining(draining);
        log::info!("event=drain service={} on={draining}", self.service_name);
        if draining {
            self.drain_signal.start();
        } else {
            self.drain_signal.reset();
        }
        true
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.admission.borrow().is_draining()
    }

    /// Returns the share of its weight that the target takes at present, in thousandths.
    pub(crate) fn share_permille(&self) -> u16 {
        let health_permille = self.health.borrow().share_permille();
        let now_ms = self.clock.now_ms();
        self.admission
            .borrow()
            .share_permille(health_permille, now_ms)
    }

    /// Returns a report of the current load with the next sequence number.
    pub(crate) fn next_report(&self) -> LoadReport {
        self.report_sequence.set(self.report_sequence.get() + 1);
        LoadReport {
            host: self.host,
            incarnation: self.incarnation,
            sequence: self.report_sequence.get(),
            open_flows: self.admission.borrow().open_flows(),
            busy_slots: self.slots.busy_slots().min(u32::from(u16::MAX)) as u16,
            age_cs: 0,
            share_permille: self.share_permille(),
            busy_centislots: (self.moved_fraction.borrow().busy_slots() * 100.0) as u16,
        }
    }

    /// Adjusts the fraction of requests that are moved to peers, according to the busy time of the
    /// slots in the last `period_ms`.
    pub(crate) fn adjust_moved_fraction(&self, table: &Table, period_ms: u64) {
        let busy_slots = self.slots.take_busy_ms() as f64 / period_ms as f64;
        let weight = table.row_on(self.host).map_or(0, |row| row.weight);
        let (_, slot_loads) = self.peer_slot_loads(table);
        let mut moved_fraction = self.moved_fraction.borrow_mut();
        moved_fraction.observe(busy_slots);
        moved_fraction.adjust(f64::from(weight), &slot_loads);
    }

    /// Picks a random peer for a moved request, weighted by how far its busy slots are below the
    /// mean.
    pub(crate) fn pick_peer(&self, table: &Table) -> Option<Ipv4Addr> {
        let weight = table.row_on(self.host)?.weight;
        let (hosts, slot_loads) = self.peer_slot_loads(table);
        let moved_fraction = self.moved_fraction.borrow();
        let index = moved_fraction.pick_peer(f64::from(weight), &slot_loads, &mut rand::rng())?;
        Some(hosts[index])
    }

    /// Returns the hosts of the peers with a fresh load report, and their slot loads in the same
    /// order.
    fn peer_slot_loads(&self, table: &Table) -> (Vec<Ipv4Addr>, Vec<SlotLoad>) {
        let peer_loads = self.peer_loads.borrow();
        let now_ms = self.clock.now_ms();
        let slot_load = |row: &TableRow| {
            let report = peer_loads.fresh_load(row.host, now_ms)?.report;
            let weight = f64::from(row.weight) * f64::from(report.share_permille) / 1_000.0;
            let busy_slots = f64::from(report.busy_centislots) / 100.0;
            Some((row.host, SlotLoad { busy_slots, weight }))
        };
        let others = table.rows.iter().filter(|row| row.host != self.host);
        others.filter_map(slot_load).unzip()
    }

    /// Frees the slots of accepted offers whose request did not arrive in time.
    pub(crate) fn remove_expired_reservations(&self) {
        let now_ms = self.clock.now_ms();
        let mut reservations = self.reservations.borrow_mut();
        let all = std::mem::take(&mut *reservations);
        let (kept, expired): (Vec<_>, Vec<_>) = all
            .into_iter()
            .partition(|reservation| reservation.expires_ms > now_ms);
        *reservations = kept;
        drop(reservations);
        // Freeing a slot may wake a queued request, so it is done after the borrow has ended.
        drop(expired);
    }

    /// Returns the part of the state dump for this target.
    pub(crate) fn state(&self) -> Value {
        let now_ms = self.clock.now_ms();
        json!({
            "service": self.service_name,
            "target": self.name,
            "backend": self.backend.get(),
            "open_flows": self.admission.borrow().open_flows(),
            "busy_slots": self.slots.busy_slots(),
            "queued": self.slots.queued_requests(),
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
