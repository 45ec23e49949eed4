//! A proxy before the control port of an agent, which harms the links of others to it.

use std::net::SocketAddr;

use endivedyke::Result;

use super::{AGENT_TEMPLATE, OpaqueSite, PEER_PORT};
use crate::opaque::ProxyHandle;

/// The control port of an agent behind a proxy.
const INNER_PORT: u16 = 7_730;

impl OpaqueSite {
    /// Starts an agent anew behind a proxy that takes the links of other processes to it.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where it can't be started.
    pub async fn restart_agent_behind_proxy(&mut self, index: usize) -> Result<ProxyHandle> {
        self.agents[index] = None;
        let host = self.agent_host(index);
        let service = self.spec.services[self.service_of[index]].name.clone();
        let settings = self.settings(AGENT_TEMPLATE, host, &service);
        let outer = format!("control_port = {PEER_PORT}");
        let settings = settings.replace(&outer, &format!("control_port = {INNER_PORT}"));
        let process = self.spawn("endivedyke-platform-agent", host, &settings)?;
        self.agents[index] = Some(process);
        let address = |port| SocketAddr::from((host, port));
        ProxyHandle::start(address(PEER_PORT), address(INNER_PORT)).await
    }
}
