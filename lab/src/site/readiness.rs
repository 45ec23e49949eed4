//! Waits for the processes of a site.

use std::time::Instant;

use endivedyke::{Code, Error, Result};

use crate::site::{POLL, READY_TIMEOUT, Site};

impl Site {
    /// Waits until each backend server takes orders, which daemons do not need in order to be ready.
    pub(super) async fn wait_backends_ready(&self) -> Result<()> {
        for service in 0..self.spec.services.len() {
            for host in 0..self.spec.services[service].targets {
                self.wait_until("a backend server", async |site| {
                    site.backend_command(service, host, "counts").await.is_ok()
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Returns code 5001, naming `what`, where that takes too long.
    pub async fn wait_until(&self, what: &str, holds: impl AsyncFn(&Site) -> bool) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while !holds(self).await {
            if Instant::now() >= until {
                return Err(Error::new(Code::Io, format!("{what}: not in time")));
            }
            compio::time::sleep(POLL).await;
        }
        Ok(())
    }
}
