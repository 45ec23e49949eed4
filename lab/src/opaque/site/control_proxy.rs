//! A proxy in front of the control port of an agent, to inject faults into links to it.

use std::net::SocketAddr;

use endivedyke::Result;

use super::{AGENT_TEMPLATE, OpaqueSite, PEER_PORT};
use crate::opaque::ProxyHandle;

/// The control port of an agent that runs behind a proxy.
const INNER_PORT: u16 = 7_730;

impl OpaqueSite {
    /// Restarts an agent behind a proxy that accepts the links of other processes to it.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if it can't be started.
    pub async fn restart_agent_behind_proxy(&mut self, index: usize) -> Result<ProxyHandle> {
        self.agents[index] = None;
        let host = self.agent_host(index);
        let service = self.spec.services[self.backend_services[index]]
            .name
            .clone();
        let settings = self.settings(AGENT_TEMPLATE, host, &service);
        let outer_port = format!("control_port = {PEER_PORT}");
        let settings = settings.replace(&outer_port, &format!("control_port = {INNER_PORT}"));
        let process = self.spawn("endivedyke-platform-agent", host, &settings)?;
        self.agents[index] = Some(process);
        let address = |port| SocketAddr::from((host, port));
        ProxyHandle::start(address(PEER_PORT), address(INNER_PORT)).await
    }
}
