//! The metrics of opaque flows; see docs/OPERATIONS.md, "Metrics".

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::process::code_counter::CodeCounter;

/// Histogram buckets: the bounds double from a millisecond to about eight seconds, the longest
/// timeout of the users' requests.
const FIRST_BUCKET_BOUND_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 14;

/// Counters, gauges and histograms; clones share their values.
#[derive(Debug, Clone)]
pub struct OpaqueMetrics {
    pub(crate) openers_taken: Counter,
    pub(crate) openers_handed_on: Counter,
    pub(crate) openers_declined: Counter,
    pub(crate) openers_dropped: Counter,
    pub(crate) openers_unanswered: Counter,
    pub(crate) retries_known: Counter,
    pub(crate) packets_shown: Counter,
    pub(crate) flows_reset: CodeCounter,
    pub(crate) flows_open: Gauge,
    pub(crate) requests_busy: Gauge,
    pub(crate) request_seconds: Histogram,
    pub(crate) requests_lost: Counter,
    pub(crate) requests_shed: Counter,
    pub(crate) requests_held_back: Counter,
    pub(crate) requests_given_up: Counter,
    pub(crate) openers_offered: Counter,
    pub(crate) openers_queued: Counter,
    pub(crate) openers_refused: Counter,
    pub(crate) openers_waiting: Gauge,
    pub(crate) opener_wait_seconds: Histogram,
    pub(crate) backend_stalls: Counter,
    pub(crate) packets_returned: Counter,
    pub(crate) lookups_started: Counter,
    pub(crate) lookups_found: Counter,
    pub(crate) lookups_given_up: Counter,
    pub(crate) lookups_partial: Counter,
    pub(crate) ends_proved_by_backend: Counter,
    pub(crate) agents_heard: Gauge,
    pub(crate) hints_right: Counter,
    pub(crate) hints_wrong: Counter,
    pub(crate) hints_held: Gauge,
    pub(crate) values_age_seconds: Gauge<f64, AtomicU64>,
    pub(crate) platform_read_seconds: Histogram,
    pub(crate) relay_pull_seconds: Histogram,
    pub(crate) hosts_suspected: Counter,
    pub(crate) entries_unusable: Gauge,
    pub(crate) zones_evacuated: Gauge,
    pub(crate) platform_era: Gauge,
    pub(crate) values_dropped: Counter,
}

impl Default for OpaqueMetrics {
    fn default() -> Self {
        let seconds_histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_BOUND_S, 2.0, BUCKET_COUNT));
        Self {
            openers_taken: Counter::default(),
            openers_handed_on: Counter::default(),
            openers_declined: Counter::default(),
            openers_dropped: Counter::default(),
            openers_unanswered: Counter::default(),
            retries_known: Counter::default(),
            packets_shown: Counter::default(),
            flows_reset: CodeCounter::default(),
            flows_open: Gauge::default(),
            requests_busy: Gauge::default(),
            request_seconds: seconds_histogram(),
            requests_lost: Counter::default(),
            requests_shed: Counter::default(),
            requests_held_back: Counter::default(),
            requests_given_up: Counter::default(),
            openers_offered: Counter::default(),
            openers_queued: Counter::default(),
            openers_refused: Counter::default(),
            openers_waiting: Gauge::default(),
            opener_wait_seconds: seconds_histogram(),
            backend_stalls: Counter::default(),
            packets_returned: Counter::default(),
            lookups_started: Counter::default(),
            lookups_found: Counter::default(),
            lookups_given_up: Counter::default(),
            lookups_partial: Counter::default(),
            ends_proved_by_backend: Counter::default(),
            agents_heard: Gauge::default(),
            hints_right: Counter::default(),
            hints_wrong: Counter::default(),
            hints_held: Gauge::default(),
            values_age_seconds: Gauge::default(),
            entries_unusable: Gauge::default(),
            zones_evacuated: Gauge::default(),
            platform_era: Gauge::default(),
            values_dropped: Counter::default(),
            platform_read_seconds: seconds_histogram(),
            relay_pull_seconds: seconds_histogram(),
            hosts_suspected: Counter::default(),
        }
    }
}

impl OpaqueMetrics {
    /// Registers all metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        for (name, help, counter) in self.counters() {
            registry.register(name, help, counter.clone());
        }
        for (name, help, gauge) in self.gauges() {
            registry.register(name, help, gauge.clone());
        }
        let reset = self.flows_reset.family();
        registry.register("flows_reset", "Flows ended by this process, by code", reset);
        registry.register(
            "values_age_seconds",
            "Age of the published values",
            self.values_age_seconds.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from a request to the first byte of its answer, at the backend server",
            self.request_seconds.clone(),
        );
        registry.register(
            "opener_wait_seconds",
            "Time for which openers waited at their agent for a slot",
            self.opener_wait_seconds.clone(),
        );
        registry.register(
            "relay_pull_seconds",
            "Time from a request to a peer for newer values until they are in force here",
            self.relay_pull_seconds.clone(),
        );
        registry.register(
            "platform_read_seconds",
            "Duration of a read of the platform, waits for changes included",
            self.platform_read_seconds.clone(),
        );
    }

    fn counters(&self) -> [(&'static str, &'static str, &Counter); 25] {
        [
            (
                "packets_shown",
                "Packets sent to agents to find their flow, while there was no configuration",
                &self.packets_shown,
            ),
            (
                "retries_known",
                "Openers recognized as retries of failed attempts",
                &self.retries_known,
            ),
            (
                "openers_taken",
                "Openers passed to the backend server",
                &self.openers_taken,
            ),
            (
                "openers_handed_on",
                "Openers passed to another agent",
                &self.openers_handed_on,
            ),
            (
                "openers_declined",
                "Openers declined in favor of a less loaded agent",
                &self.openers_declined,
            ),
            (
                "openers_offered",
                "Openers that a balancer offered to an agent, which may decline them",
                &self.openers_offered,
            ),
            (
                "openers_queued",
                "Openers that waited for a slot of the backend server",
                &self.openers_queued,
            ),
            (
                "openers_refused",
                "Openers refused because no backend server takes them in time",
                &self.openers_refused,
            ),
            (
                "openers_dropped",
                "Openers dropped for lack of room, which their callers may send again",
                &self.openers_dropped,
            ),
            (
                "openers_unanswered",
                "Openers that no agent confirmed in time",
                &self.openers_unanswered,
            ),
            (
                "requests_lost",
                "Requests that ended without an answer from their backend server",
                &self.requests_lost,
            ),
            (
                "requests_shed",
                "Requests that the backend server refused because its slots were busy",
                &self.requests_shed,
            ),
            (
                "requests_held_back",
                "Requests on open flows that waited for a slot of the backend server",
                &self.requests_held_back,
            ),
            (
                "requests_given_up",
                "Requests whose callers left while they waited for a slot",
                &self.requests_given_up,
            ),
            (
                "backend_stalls",
                "Times that the backend server took requests and served none",
                &self.backend_stalls,
            ),
            (
                "packets_returned",
                "Packets that the backend server returned",
                &self.packets_returned,
            ),
            (
                "lookups_started",
                "Lookups of the holder of a flow at all agents",
                &self.lookups_started,
            ),
            (
                "lookups_found",
                "Lookups answered by the holder",
                &self.lookups_found,
            ),
            (
                "lookups_given_up",
                "Lookups given up without answers of all agents",
                &self.lookups_given_up,
            ),
            (
                "lookups_partial",
                "Lookups that query only some agents of a large site, which can't prove that a flow is gone",
                &self.lookups_partial,
            ),
            (
                "ends_proved_by_backend",
                "Flows ended because the backend server where they had opened returned a packet",
                &self.ends_proved_by_backend,
            ),
            (
                "hints_right",
                "Packets sent to the agent that a hint named",
                &self.hints_right,
            ),
            (
                "hints_wrong",
                "Hints that an agent corrected",
                &self.hints_wrong,
            ),
            (
                "hosts_suspected",
                "Hosts suspected of failure after missed answers",
                &self.hosts_suspected,
            ),
            (
                "values_dropped",
                "Values read from the platform and dropped, as they differ from those in force and are older",
                &self.values_dropped,
            ),
        ]
    }

    fn gauges(&self) -> [(&'static str, &'static str, &Gauge); 8] {
        [
            (
                "opaque_flows_open",
                "Flows open at the backend server",
                &self.flows_open,
            ),
            (
                "requests_busy",
                "Requests that run or wait at the backend server",
                &self.requests_busy,
            ),
            (
                "openers_waiting",
                "Openers that wait for a slot of the backend server",
                &self.openers_waiting,
            ),
            (
                "hints_held",
                "Flows for which a balancer holds a hint to their agent",
                &self.hints_held,
            ),
            (
                "entries_unusable",
                "Published entries that name no usable backend server",
                &self.entries_unusable,
            ),
            (
                "agents_heard",
                "Agents found while there was no configuration",
                &self.agents_heard,
            ),
            (
                "zones_evacuated",
                "Availability zones whose backend servers get no new flows",
                &self.zones_evacuated,
            ),
            (
                "platform_era",
                "Number of restores of the platform from an older copy, according to the values in force",
                &self.platform_era,
            ),
        ]
    }
}
