//! What backend servers and metrics show of a site.

use std::net::{Ipv4Addr, SocketAddr};

use endivedyke::Result;

use crate::opaque::site::{METRICS_PORT, OpaqueSite};

impl OpaqueSite {
    /// Returns the ids of all requests that backend servers ran.
    pub fn executed_requests(&self) -> Vec<String> {
        let journals = self.journals.iter();
        let mut ran: Vec<String> = journals
            .flat_map(|journal| journal.borrow().ran.clone())
            .collect();
        ran.sort_unstable();
        ran
    }

    /// Returns how many openers reached a backend server's host.
    pub fn openers_received(&self, index: usize) -> usize {
        self.journals[index].borrow().opened
    }

    /// Returns how many claims ran more than once.
    pub fn claims_run_twice(&self) -> usize {
        let ran = self.executed_requests();
        let claims: Vec<&String> = ran.iter().filter(|id| id.starts_with("claim")).collect();
        claims.windows(2).filter(|pair| pair[0] == pair[1]).count()
    }

    /// Returns how many packets reached backend servers that nobody wrote so, or of other services.
    pub fn misdelivered_packets(&self) -> u64 {
        let journals = self.journals.iter();
        journals
            .map(|journal| journal.borrow().forged + journal.borrow().foreign)
            .sum()
    }

    /// Returns how many packets backend servers handed back.
    pub fn returned_packets(&self) -> u64 {
        let journals = self.journals.iter();
        journals.map(|journal| journal.borrow().returned).sum()
    }

    /// Returns a metric of a process, summed over its labels.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the process does not answer.
    pub async fn metric(&self, host: Ipv4Addr, name: &str) -> Result<f64> {
        let address = SocketAddr::from((host, METRICS_PORT));
        let answer = endivedyke::http_get(address, "/metrics", 2_000).await?;
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        Ok(crate::http_text::metric_sum(&text, name))
    }
}
