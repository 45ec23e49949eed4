//! What backend servers and metrics report about a site.

use std::net::{Ipv4Addr, SocketAddr};

use endivedyke::Result;

use crate::opaque::site::{METRICS_PORT, OpaqueSite};

impl OpaqueSite {
    /// Returns the sorted ids of all requests that backend servers ran, repeated for each run.
    pub fn executed_requests(&self) -> Vec<String> {
        let journals = self.journals.iter();
        let mut ids: Vec<String> = journals
            .flat_map(|journal| journal.borrow().executed_ids.clone())
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the number of openers that backend servers on a host received, without copies.
    pub fn openers_received(&self, index: usize) -> usize {
        self.journals[index].borrow().openers
    }

    /// Returns the number of extra runs of claims that ran more than once.
    pub fn claims_run_twice(&self) -> usize {
        let ids = self.executed_requests();
        let claims: Vec<&String> = ids.iter().filter(|id| id.starts_with("claim")).collect();
        claims.windows(2).filter(|pair| pair[0] == pair[1]).count()
    }

    /// Returns the number of packets at backend servers that were malformed or changed, or openers of
    /// another service.
    pub fn misdelivered_packets(&self) -> u64 {
        let journals = self.journals.iter();
        journals
            .map(|journal| journal.borrow().invalid_packets + journal.borrow().misrouted_openers)
            .sum()
    }

    /// Returns the number of packets that backend servers returned.
    pub fn returned_packets(&self) -> u64 {
        let journals = self.journals.iter();
        journals
            .map(|journal| journal.borrow().returned_packets)
            .sum()
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
