//! The counters and gauges of a process, served at `/metrics`.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};

use crate::code::Code;
use crate::process::code_counter::CodeCounter;
use crate::process::opaque_metrics::OpaqueMetrics;

/// All metrics of a balancer or agent; each sets only those that apply to it.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    pub(crate) packets_in: Counter,
    pub(crate) packets_out: Counter,
    pub(crate) packets_dropped: CodeCounter,
    pub(crate) openers: Counter,
    pub(crate) stateless_resets: Counter,
    pub(crate) flows_accepted: Counter,
    pub(crate) flows_deflected: Counter,
    pub(crate) flows_refused: CodeCounter,
    pub(crate) flows_open: Gauge,
    pub(crate) requests: CodeCounter,
    pub(crate) requests_moved: Counter,
    pub(crate) control_calls: Counter,
    pub(crate) control_bytes_sent: Counter,
    pub(crate) control_bytes_received: Counter,
    pub(crate) links_refused: CodeCounter,
    pub(crate) platform_calls: Counter,
    pub(crate) platform_failures: CodeCounter,
    pub(crate) values_accepted: Counter,
    pub(crate) values_rejected: CodeCounter,
    pub(crate) config_revision: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) pauses: Counter,
    pub(crate) services_open: Gauge,
    pub(crate) log_lines_dropped: Counter,
    pub(crate) opaque: OpaqueMetrics,
}

impl Metrics {
    /// Returns the packet counters of a process for its state dump.
    pub(crate) fn packet_counts(&self) -> Value {
        let dropped = [
            Code::PacketShort,
            Code::PacketUnroutable,
            Code::EnvelopeForged,
            Code::ServiceUnknown,
            Code::TokenForeign,
            Code::HostUnknown,
        ];
        let dropped =
            dropped.map(|code| (code.number().to_string(), self.packets_dropped.get(code)));
        json!({
            "in": self.packets_in.get(),
            "out": self.packets_out.get(),
            "openers": self.openers.get(),
            "dropped": dropped.into_iter().collect::<std::collections::BTreeMap<_, _>>(),
        })
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub(crate) fn render(&self) -> String {
        let mut registry = Registry::with_prefix("endivedyke");
        self.register_packets(&mut registry);
        self.register_flows(&mut registry);
        self.register_control(&mut registry);
        self.opaque.register(&mut registry);
        let mut text = String::new();
        match prometheus_client::encoding::text::encode(&mut text, &registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }

    fn register_packets(&self, registry: &mut Registry) {
        let mut counter = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        counter("packets_in", "Datagrams received", &self.packets_in);
        counter("packets_out", "Datagrams sent", &self.packets_out);
        counter("openers", "Datagrams that may open a flow", &self.openers);
        counter(
            "stateless_resets",
            "Stateless resets sent",
            &self.stateless_resets,
        );
        let dropped = self.packets_dropped.family();
        registry.register("packets_dropped", "Datagrams dropped, by code", dropped);
    }

    fn register_flows(&self, registry: &mut Registry) {
        let mut counter = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        counter("flows_accepted", "Flows accepted", &self.flows_accepted);
        counter(
            "flows_deflected",
            "Openers forwarded to a peer",
            &self.flows_deflected,
        );
        counter(
            "requests_moved",
            "Requests run at a peer",
            &self.requests_moved,
        );
        registry.register("flows_open", "Open flows", self.flows_open.clone());
        let refused = self.flows_refused.family();
        registry.register("flows_refused", "Openers refused, by code", refused);
        let requests = self.requests.family();
        registry.register(
            "requests",
            "Requests with a final answer, by code",
            requests,
        );
    }

    fn register_control(&self, registry: &mut Registry) {
        let mut counter = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        counter(
            "control_calls",
            "Calls made over control links",
            &self.control_calls,
        );
        counter(
            "control_bytes_sent",
            "Bytes sent over control links",
            &self.control_bytes_sent,
        );
        counter(
            "control_bytes_received",
            "Bytes received over control links",
            &self.control_bytes_received,
        );
        counter(
            "platform_calls",
            "Calls to the configuration service",
            &self.platform_calls,
        );
        counter(
            "values_accepted",
            "Published values accepted",
            &self.values_accepted,
        );
        counter(
            "pauses",
            "Pauses of this process that its clock detected",
            &self.pauses,
        );
        counter(
            "log_lines_dropped",
            "Log lines dropped because they were over the budget or their reader was stalled",
            &self.log_lines_dropped,
        );
        registry.register(
            "config_revision",
            "Highest revision in force",
            self.config_revision.clone(),
        );
        registry.register(
            "config_version",
            "Version of the routes in force, as set by the operators; 0 if they set none",
            self.config_version.clone(),
        );
        registry.register(
            "services_open",
            "Services whose packets this process accepts",
            self.services_open.clone(),
        );
        let mut by_code = |name: &str, help: &str, counter: &CodeCounter| {
            registry.register(name, help, counter.family());
        };
        by_code(
            "links_refused",
            "Control links refused, by code",
            &self.links_refused,
        );
        by_code(
            "platform_failures",
            "Failed calls to the configuration service, by code",
            &self.platform_failures,
        );
        by_code(
            "values_rejected",
            "Published values rejected, by code",
            &self.values_rejected,
        );
    }
}
