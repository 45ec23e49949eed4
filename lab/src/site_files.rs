//! The files and values of a site's processes: settings, certificate, host list and tables.

use std::fs;
use std::net::Ipv4Addr;
use std::path::PathBuf;

use endivedyke::{Code, Error, HOSTS_HEADER, Result, TABLE_HEADER};

use crate::site::{CONTROL_PORT, DATAGRAM_PORT, METRICS_PORT, SITE_KEY_BYTE, Site};

impl Site {
    /// Writes the certificate that agents present to callers, and its key.
    pub(crate) fn write_certificate(&self) -> Result<()> {
        let certified = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]);
        let certified = certified
            .map_err(|error| Error::new(Code::Io, format!("certificate for localhost: {error}")))?;
        fs::write(self.file_path("certificate.pem"), certified.cert.pem())?;
        fs::write(
            self.file_path("key.pem"),
            certified.signing_key.serialize_pem(),
        )?;
        Ok(())
    }

    /// Writes the settings file of a daemon and returns its path.
    pub(crate) fn write_settings(&self, name: &str, host: Ipv4Addr, zone: &str) -> Result<PathBuf> {
        let path = self.file_path(name);
        let text = format!(
            "[process]\nhost = {host}\nzone = {zone}\n\n\
             [network]\ncontrol_port = {CONTROL_PORT}\ndatagram_port = {DATAGRAM_PORT}\n\
             metrics_port = {METRICS_PORT}\n\n\
             [balancer]\nbind_ip = {host}\n\n\
             [platform]\naddress = {}\n\n\
             [keys]\ncluster = {}\n\n\
             [agent]\ncertificate_file = {}\nkey_file = {}\ndrain_limit_s = {}\n\n\
             [log]\nlevel = info\nfile = {}\n",
            self.platform_address(),
            hex::encode([SITE_KEY_BYTE; endivedyke::CLUSTER_KEY_BYTES]),
            self.file_path("certificate.pem").display(),
            self.file_path("key.pem").display(),
            self.spec.drain_limit_s,
            self.file_path(&format!("{name}.log")).display(),
        );
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Returns the text of the host list, with the state `leaving` for the hosts in `leaving`.
    pub fn host_list_text(&self, leaving: &[Ipv4Addr]) -> String {
        let zone = |index: usize| &self.spec.zones[index % self.spec.zones.len()];
        let state = |host| {
            if leaving.contains(&host) {
                "leaving"
            } else {
                "live"
            }
        };
        let line = |host, index, role| format!("{host},{},{role},{}\n", zone(index), state(host));
        let entries = (0..self.spec.balancers).map(|i| line(self.balancer_host(i), i, "entry"));
        let backends = (0..self.agent_count()).map(|i| line(self.agent_host(i), i, "backend"));
        format!("{HOSTS_HEADER}\n") + &entries.chain(backends).collect::<String>()
    }

    /// Returns the text of a service's table with one row for each weight. Targets without a weight
    /// are not in the table.
    pub fn table_text(&self, service: usize, weights: &[u32]) -> String {
        let spec = &self.spec.services[service];
        let mut text = format!("{TABLE_HEADER}\n");
        for (host, weight) in weights.iter().enumerate() {
            text += &format!(
                "{},{},t{host},{},{},{weight},{},{}\n",
                spec.name,
                self.service_address(service),
                self.agent_host(host),
                self.backend_address(service, host),
                spec.slots,
                spec.connections,
            );
        }
        text
    }
}
