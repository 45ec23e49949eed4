//! A periodic task that runs only while there is something to wait for.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The interval between ticks: well below the shortest timeout that ticks check.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a periodic task only while it has something to wait for, so that an idle process is not
/// woken up.
#[derive(Debug, Default)]
pub(crate) struct Ticker {
    is_running: Cell<bool>,
}

impl Ticker {
    /// Calls `tick` periodically until `is_waiting` returns false; does nothing if the ticker
    /// already runs.
    pub(crate) fn start(
        self: &Rc<Self>,
        is_waiting: impl Fn() -> bool + 'static,
        tick: impl Fn() + 'static,
    ) {
        if !is_waiting() || self.is_running.replace(true) {
            return;
        }
        let ticker = self.clone();
        compio::runtime::spawn(async move {
            while is_waiting() {
                compio::time::sleep(TICK_INTERVAL).await;
                tick();
            }
            ticker.is_running.set(false);
        })
        .detach();
    }
}
