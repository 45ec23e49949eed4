//! A process of callers against a running site, and the check of its claims.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use endivedyke::{Code, Error, Result};

use crate::caller_stats::CallerStats;
use crate::claim_check;
use crate::process::Process;
use crate::site::Site;

const END_TIMEOUT: Duration = Duration::from_secs(90);

/// How many callers do what, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct CallerLoad {
    /// Feeds that stay open.
    pub feeds: u64,
    /// Clients that send one request after another.
    pub clients: u64,
    /// For how long.
    pub seconds: u64,
    /// The mean pause of a client between two requests, in milliseconds.
    pub think_ms: u64,
    /// The time between two events of a feed, in milliseconds.
    pub feed_period_ms: u64,
}

/// Callers of one service in a process of their own.
#[derive(Debug)]
pub struct CallerProcess {
    process: Process,
    service: usize,
    report: PathBuf,
}

impl CallerProcess {
    /// Starts the callers.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the process can't be started.
    pub fn start(site: &Site, service: usize, load: &CallerLoad) -> Result<Self> {
        let prefix = format!("s{service}-{:08x}", rand::random::<u32>());
        let report = site.file(&format!("{prefix}.json"));
        let arguments = [
            ("--address", site.service_address(service).to_string()),
            ("--service", site.service_name(service).to_owned()),
            ("--prefix", prefix),
            ("--feeds", load.feeds.to_string()),
            ("--clients", load.clients.to_string()),
            ("--seconds", load.seconds.to_string()),
            ("--think-ms", load.think_ms.to_string()),
            ("--feed-period-ms", load.feed_period_ms.to_string()),
            ("--report", report.display().to_string()),
        ];
        let pairs = arguments
            .into_iter()
            .flat_map(|(name, value)| [name.to_owned(), value]);
        let arguments: Vec<String> = std::iter::once("callers".to_owned()).chain(pairs).collect();
        Ok(Self {
            process: Process::start("endivedyke-lab", &arguments)?,
            service,
            report,
        })
    }

    /// Waits for the callers' end and checks their claims against the backend servers' journals.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where they do not end or a backend server does not answer.
    pub async fn finish(mut self, site: &Site) -> Result<CallerStats> {
        self.process.wait(END_TIMEOUT).await?;
        let text = fs::read_to_string(&self.report)?;
        let tally: std::result::Result<CallerStats, _> = serde_json::from_str(&text);
        let mut tally = tally.map_err(|error| Error::new(Code::Io, error.to_string()))?;
        let mut journal = site.executed_claims(self.service).await?;
        claim_check::count_claim_errors(&mut tally, &mut journal);
        Ok(tally)
    }
}
