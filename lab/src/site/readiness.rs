//! Waits until processes of a site are ready, or until another condition holds.

use std::time::Instant;

use endivedyke::{Code, Error, Result};

use crate::site::{POLL_INTERVAL, READY_TIMEOUT, Site};

impl Site {
    /// Waits until each backend server answers commands. Daemons become ready without their backend
    /// servers, so that [`Site::wait_ready`] does not imply it.
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

    /// Polls a condition until it holds.
    ///
    /// # Errors
    ///
    /// Returns code 5001 with the name `what` if the condition does not hold in time.
    pub async fn wait_until(
        &self,
        what: &str,
        condition: impl AsyncFn(&Site) -> bool,
    ) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !condition(self).await {
            if Instant::now() >= deadline {
                return Err(Error::new(
                    Code::Io,
                    format!("timed out after {READY_TIMEOUT:?} waiting for {what}"),
                ));
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}
