//! Measures the cost of the control plane: the traffic and processor time of idle daemons and of
//! daemons under weight changes, and the memory of the configuration.

use std::time::Duration;

use endivedyke::{
    CLUSTER_KEY_BYTES, ClusterKey, ConfigStore, HOSTS_HEADER, HOSTS_NAME, Result, TABLE_HEADER,
};

use crate::control_traffic;
use crate::proc_stat;
use crate::site::{Site, SiteBuilder};

const SPAN: Duration = Duration::from_secs(10);
const EDITS: u32 = 50;
const ROWS_PER_SERVICE: usize = 12;

/// The control traffic and processor time of all daemons together.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ControlCost {
    pub(crate) daemons: f64,
    pub(crate) bytes: f64,
    pub(crate) calls: f64,
    pub(crate) cpu_ms: f64,
}

/// Returns the cost of an idle span, the cost of a span with [`EDITS`] weight changes, and the
/// number of changes.
pub(crate) async fn measure() -> Result<(ControlCost, ControlCost, u32)> {
    let builder = SiteBuilder::new(3).service("queue-desk", 7, 7, 5);
    let site = builder.start().await?;
    compio::time::sleep(Duration::from_secs(3)).await;
    let start = total_cost(&site).await?;
    compio::time::sleep(SPAN).await;
    let idle = total_cost(&site).await?;
    for edit in 0..EDITS {
        site.set_weights(0, &[100 + edit, 100, 100, 100, 100, 100, 100])
            .await?;
        compio::time::sleep(SPAN / EDITS).await;
    }
    let edited = total_cost(&site).await?;
    Ok((difference(&start, &idle), difference(&idle, &edited), EDITS))
}

/// Returns the cumulative cost of all daemons since their start.
async fn total_cost(site: &Site) -> Result<ControlCost> {
    let mut total = ControlCost::default();
    for (_, id, host) in site.processes() {
        let Some(host) = host else {
            continue;
        };
        total.daemons += 1.0;
        let traffic = control_traffic::read(site, host).await?;
        total.bytes += traffic.bytes;
        total.calls += traffic.calls;
        total.cpu_ms += proc_stat::usage(id)?.cpu_ms as f64;
    }
    Ok(total)
}

fn difference(before: &ControlCost, after: &ControlCost) -> ControlCost {
    ControlCost {
        daemons: after.daemons,
        bytes: after.bytes - before.bytes,
        calls: after.calls - before.calls,
        cpu_ms: after.cpu_ms - before.cpu_ms,
    }
}

/// Returns the size of the published text and the memory of a configuration of this size, in bytes.
pub(crate) fn configuration_memory(rows: usize, hosts: usize) -> Result<(u64, u64)> {
    let before = proc_stat::usage(std::process::id())?.memory_bytes;
    let mut store = ConfigStore::new(&ClusterKey::new([1; CLUSTER_KEY_BYTES]));
    let mut text_bytes = 0;
    let mut revision = 0;
    let mut accept = |name: &str, text: &str| {
        revision += 1;
        text_bytes += text.len() as u64;
        store.accept(name, revision, text).map(|_| ())
    };
    for service in 0..rows.div_ceil(ROWS_PER_SERVICE) {
        accept(
            &format!("table/service-{service}"),
            &service_table_text(service),
        )?;
    }
    accept(HOSTS_NAME, &host_list_text(hosts))?;
    let after = proc_stat::usage(std::process::id())?.memory_bytes;
    drop(store);
    Ok((text_bytes, after.saturating_sub(before)))
}

fn service_table_text(service: usize) -> String {
    let mut text = format!("{TABLE_HEADER}\n");
    for row in 0..ROWS_PER_SERVICE {
        let (high, low) = (service >> 8, service & 0xff);
        text += &format!(
            "service-{service},192.0.2.1:443,target-{row},10.{high}.{low}.{row},\
             10.{high}.{low}.{row}:8080,100,4,2000\n"
        );
    }
    text
}

fn host_list_text(hosts: usize) -> String {
    let mut text = format!("{HOSTS_HEADER}\n");
    for host in 0..hosts {
        let (high, low) = (host >> 8, host & 0xff);
        text += &format!("10.{high}.{low}.1,zone-{},backend,live\n", host % 6);
    }
    text
}
