//! The state dump of processes that carry opaque flows.

use std::rc::Rc;

use serde_json::{Value, json};

use crate::config::backend_entry::{BACKEND_PREFIX, BackendFields};
use crate::config::evacuation::Evacuation;
use crate::controllers::control_plane::ControlPlane;
use crate::controllers::node_server::{self, NodeHooks};

/// Returns the control link hooks of a process in this role.
pub(crate) fn hooks(control: &Rc<ControlPlane>, role: &'static str) -> NodeHooks {
    let control = control.clone();
    node_server::hooks_without_flows(move || state(&control, role))
}

/// Returns the published backend servers that are not gone.
fn backends(control: &ControlPlane) -> Value {
    let store = control.store.borrow();
    let records = store.values().iter().filter_map(|value| {
        let id = value.name.strip_prefix(BACKEND_PREFIX)?;
        let fields = BackendFields::parse(&value.text)?;
        Some(json!({
            "id": id,
            "service": fields.service,
            "address": fields.address,
            "zone": fields.zone,
            "slots": fields.slots,
            "state": fields.state,
            "started_unix_ms": fields.started_unix_ms,
        }))
    });
    records.collect()
}

/// Returns the evacuated availability zones.
fn evacuated_zones(control: &ControlPlane) -> Value {
    let store = control.store.borrow();
    let evacuations = store
        .values()
        .iter()
        .filter_map(|value| Evacuation::parse(&value.name, &value.text));
    evacuations
        .filter(|evacuation| evacuation.is_in_force)
        .map(|evacuation| evacuation.zone)
        .collect()
}

fn state(control: &ControlPlane, role: &str) -> Value {
    let metrics = &control.metrics;
    let opaque = &metrics.opaque;
    let mut state = control.state(role);
    state["packets"] = metrics.packet_counts();
    state["backends"] = backends(control);
    state["evacuated_zones"] = evacuated_zones(control);
    state["opaque"] = json!({
        "flows_open": opaque.flows_open.get(),
        "requests_busy": opaque.requests_busy.get(),
        "hints_held": opaque.hints_held.get(),
        "hints_wrong": opaque.hints_wrong.get(),
        "openers_taken": opaque.openers_taken.get(),
        "openers_handed_on": opaque.openers_handed_on.get(),
        "openers_declined": opaque.openers_declined.get(),
        "openers_dropped": opaque.openers_dropped.get(),
        "lookups_started": opaque.lookups_started.get(),
        "packets_shown": opaque.packets_shown.get(),
        "retries_known": opaque.retries_known.get(),
        "agents_heard": opaque.agents_heard.get(),
        "lookups_given_up": opaque.lookups_given_up.get(),
        "lookups_partial": opaque.lookups_partial.get(),
        "ends_proved_by_backend": opaque.ends_proved_by_backend.get(),
        "entries_unusable": opaque.entries_unusable.get(),
        "values_age_ms": (opaque.values_age_seconds.get() * 1_000.0) as u64,
    });
    state
}
