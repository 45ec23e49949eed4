//! The settings of a site's processes, from the templates in `deploy/`.

use std::net::Ipv4Addr;

use crate::opaque::site::{
    APP_PORT, OUTBOUND_PORT, OpaqueSite, PACKET_PORT, PEER_PORT, PROXY_PORT, READY_PORT, zone,
};

impl OpaqueSite {
    /// Fills in a template, as the platform does.
    pub(super) fn settings(&self, template: &str, host: Ipv4Addr, service: &str) -> String {
        let seeds: Vec<String> = (0..self.spec.balancers.min(3))
            .map(|index| format!("{}:{PEER_PORT}", self.balancer_host(index)))
            .collect();
        let values = [
            ("ip", host.to_string()),
            ("zone", zone(host).to_owned()),
            ("internalPortRange.0", PEER_PORT.to_string()),
            ("listen.datagramAddr", format!("{host}:{PACKET_PORT}")),
            ("listen.ready", format!("{host}:{READY_PORT}")),
            ("listen.outbound", format!("{host}:{OUTBOUND_PORT}")),
            ("app", format!("{host}:{APP_PORT}")),
            ("service", service.to_owned()),
            ("bounds.maxFlowS", "60".to_owned()),
            ("bootstrap", "false".to_owned()),
            ("platform.address", format!("{}:{PROXY_PORT}", self.ip(2))),
            ("seeds", seeds.join(",")),
        ];
        let mut text = template.to_owned();
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if let Some(folder) = &self.spec.log_folder {
            // The log section is the last one of the template.
            text += &format!("file = {}\n", folder.join(format!("{host}.log")).display());
        }
        text
    }
}
