//! A process of callers of a running site, and the check of the claims that it reports.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use endivedyke::{Code, Error, Result};

use crate::caller_stats::CallerStats;
use crate::claim_check;
use crate::process::Process;
use crate::site::Site;

const FINISH_TIMEOUT: Duration = Duration::from_secs(90);

/// The load of a process of callers.
#[derive(Debug, Clone, Copy)]
pub struct CallerLoad {
    /// The number of feeds, each of which stays open for the whole run.
    pub feeds: u64,
    /// The number of clients, each of which sends one request after another.
    pub clients: u64,
    /// The duration of the run, in seconds.
    pub seconds: u64,
    /// The mean pause of a client between two requests, in milliseconds.
    pub think_ms: u64,
    /// The interval between the events of a feed, in milliseconds.
    pub feed_period_ms: u64,
}

/// A process of callers of one service.
#[derive(Debug)]
pub struct CallerProcess {
    process: Process,
    service: usize,
    report: PathBuf,
}

impl CallerProcess {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the process can't be started.
    pub fn start(site: &Site, service: usize, load: &CallerLoad) -> Result<Self> {
        let prefix = format!("s{service}-{:08x}", rand::random::<u32>());
        let report = site.file_path(&format!("{prefix}.json"));
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

    /// Waits until the callers finish, and compares the claims they report with those that the
    /// backend servers executed.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the callers do not finish in time or a backend server does not answer.
    pub async fn finish(mut self, site: &Site) -> Result<CallerStats> {
        self.process.wait(FINISH_TIMEOUT).await?;
        let text = fs::read_to_string(&self.report)?;
        let stats: std::result::Result<CallerStats, _> = serde_json::from_str(&text);
        let mut stats = stats
            .map_err(|error| Error::new(Code::Io, format!("report {:?}: {error}", self.report)))?;
        let mut executed = site.executed_claims(self.service).await?;
        claim_check::count_claim_errors(&mut stats, &mut executed);
        Ok(stats)
    }
}
