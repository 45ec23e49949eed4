//! Looks at what is awaited while there is something, and sleeps otherwise.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How often what is awaited is looked at: well under the shortest time that is awaited.
const TICK: Duration = Duration::from_millis(20);

/// A loop that runs only while something is awaited, so that an idle process is not woken.
#[derive(Debug, Default)]
pub(crate) struct Ticker {
    running: Cell<bool>,
}

impl Ticker {
    /// Calls `tick` again and again until `is_waiting` says that nothing is awaited any more.
    pub(crate) fn start(
        self: &Rc<Self>,
        is_waiting: impl Fn() -> bool + 'static,
        tick: impl Fn() + 'static,
    ) {
        if !is_waiting() || self.running.replace(true) {
            return;
        }
        let ticker = self.clone();
        compio::runtime::spawn(async move {
            while is_waiting() {
                compio::time::sleep(TICK).await;
                tick();
            }
            ticker.running.set(false);
        })
        .detach();
    }
}
