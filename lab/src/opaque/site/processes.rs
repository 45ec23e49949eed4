//! Starts the product's processes in a site and checks their readiness.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Instant;

use endivedyke::{Code, Error, Result};

use crate::opaque::site::{
    AGENT_TEMPLATE, BALANCER_TEMPLATE, OpaqueSite, POLL_INTERVAL, READY_PORT, READY_TIMEOUT,
};
use crate::process::Process;

impl OpaqueSite {
    /// Starts a balancer after ending its previous process, if that still runs.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if it can't be started.
    pub fn restart_balancer(&mut self, index: usize) -> Result<()> {
        self.balancers[index] = None;
        self.start_balancer(index)
    }

    /// Starts an agent after ending its previous process, if that still runs.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if it can't be started.
    pub fn restart_agent(&mut self, index: usize) -> Result<()> {
        self.agents[index] = None;
        self.start_agent(index)
    }

    /// Starts a balancer.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if it can't be started.
    pub fn start_balancer(&mut self, index: usize) -> Result<()> {
        let host = self.balancer_host(index);
        let settings = self.settings(BALANCER_TEMPLATE, host, "");
        let process = self.spawn("endivedyke-platform-balancer", host, &settings)?;
        self.balancers[index] = Some(process);
        Ok(())
    }

    /// Starts an agent on the host of its backend server.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if it can't be started.
    pub fn start_agent(&mut self, index: usize) -> Result<()> {
        let host = self.agent_host(index);
        let service = &self.spec.services[self.backend_services[index]].name;
        let settings = self.settings(AGENT_TEMPLATE, host, service);
        let process = self.spawn("endivedyke-platform-agent", host, &settings)?;
        self.agents[index] = Some(process);
        Ok(())
    }

    pub(super) fn spawn(&self, program: &str, host: Ipv4Addr, settings: &str) -> Result<Process> {
        let path = self.settings_path(host);
        std::fs::write(&path, settings)?;
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        if self.spec.log_to_pipe {
            Process::start_with_unread_output(program, &arguments)
        } else {
            Process::start(program, &arguments)
        }
    }

    /// Returns the path of the settings file of the process on a host.
    pub fn settings_path(&self, host: Ipv4Addr) -> PathBuf {
        self.folder.path().join(format!("{host}.ini"))
    }

    /// Returns the ids of all processes of the product.
    pub fn process_ids(&self) -> Vec<u32> {
        let processes = self.balancers.iter().chain(&self.agents).flatten();
        processes.map(Process::id).collect()
    }

    /// Returns a balancer's process.
    pub fn balancer(&mut self, index: usize) -> Option<&mut Process> {
        self.balancers[index].as_mut()
    }

    /// Returns an agent's process.
    pub fn agent(&mut self, index: usize) -> Option<&mut Process> {
        self.agents[index].as_mut()
    }

    /// Waits until all running balancers are in rotation and all agents are ready.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if that takes too long.
    pub async fn wait_ready(&self) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        let running = self.balancers.iter().flatten().count();
        let mut hosts: Vec<Ipv4Addr> = Vec::new();
        for index in 0..self.agents.len() {
            if self.agents[index].is_some() {
                hosts.push(self.agent_host(index));
            }
        }
        while self.routers.ready_count() < running || !self.are_all_ready(&hosts).await {
            if Instant::now() >= until {
                return Err(Error::new(
                    Code::Io,
                    format!("the site was not ready within {READY_TIMEOUT:?}"),
                ));
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether the processes on all these hosts report that they are ready.
    pub async fn are_all_ready(&self, hosts: &[Ipv4Addr]) -> bool {
        for host in hosts {
            let address = SocketAddr::from((*host, READY_PORT));
            let answer = endivedyke::http_get(address, "/api/readiness", 500).await;
            if !answer.is_ok_and(|answer| answer.status().is_success()) {
                return false;
            }
        }
        true
    }
}
