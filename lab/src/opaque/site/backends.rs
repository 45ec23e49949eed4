//! Starts the backend servers of a site and writes their entries.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Instant;

use endivedyke::Result;
use serde_json::json;

use crate::opaque::backend::{BackendHandle, BackendSpec};
use crate::opaque::site::{
    ADDRESS_TIMEOUT, APP_PORT, COLD_MS, OUTBOUND_PORT, OpaqueSite, POLL, zone,
};

impl OpaqueSite {
    /// Starts a backend server on a new host and registers it; returns its index.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if an address is already in use.
    pub async fn add_backend(&mut self, service: usize) -> Result<usize> {
        let index = self.backends.len();
        self.journals.push(Rc::default());
        self.backends.push(None);
        self.agents.push(None);
        self.backend_services.push(service);
        self.start_backend(index, service).await?;
        Ok(index)
    }

    /// Starts a new lifetime of a backend server under a new id and registers it.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if an address is already in use.
    pub async fn start_backend(&mut self, index: usize, service: usize) -> Result<()> {
        let id = format!("i-{:08x}", rand::random::<u32>());
        self.start_backend_with_id(&id, index, service).await
    }

    /// Starts a new lifetime of a backend server under a given id and registers it.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if an address is already in use.
    pub async fn start_backend_with_id(
        &mut self,
        id: &str,
        index: usize,
        service: usize,
    ) -> Result<()> {
        let host = self.agent_host(index);
        let spec = &self.spec.services[service];
        let spec = BackendSpec {
            service: spec.name.clone(),
            address: SocketAddrV4::new(host, APP_PORT),
            outbound: SocketAddrV4::new(host, OUTBOUND_PORT),
            called: self.called_addresses(service),
            slots: spec.slots,
            queue: 4 * spec.slots,
            work_ms: spec.work_ms,
        };
        let backend = self.start_at_free_address(id, &spec, index).await?;
        self.backends[index] = Some(backend);
        self.backend_services[index] = service;
        self.register(index, "ready");
        Ok(())
    }

    /// Starts a server, with retries until the previous one has released its address.
    async fn start_at_free_address(
        &self,
        id: &str,
        spec: &BackendSpec,
        index: usize,
    ) -> Result<BackendHandle> {
        let until = Instant::now() + ADDRESS_TIMEOUT;
        loop {
            match BackendHandle::start(id, spec, &self.journals[index], &self.open_flows).await {
                Err(_) if Instant::now() < until => compio::time::sleep(POLL).await,
                result => return result,
            }
        }
    }

    fn called_addresses(&self, service: usize) -> Vec<SocketAddrV4> {
        let routed = self.routed_services.iter().enumerate();
        let of_service = routed.filter(|(_, routed)| **routed == service);
        of_service
            .map(|(called, _)| self.called_address(called))
            .collect()
    }

    /// Writes the entry of a backend server, if the server runs.
    pub(super) fn register(&self, index: usize, state: &str) {
        if let Some(backend) = &self.backends[index] {
            let entry = json!({
                "service": backend.spec.service,
                "address": backend.spec.address.to_string(),
                "zone": zone(self.agent_host(index)),
                "version": "v1",
                "slots": backend.spec.slots,
                "state": state,
                "coldRemainingMs": COLD_MS,
                "sequence": 1,
                "born": backend.started_unix_ms,
            });
            self.store.put(&format!("servers/{}", backend.id), &entry);
        }
    }
}
