//! The signal that starts the drain of a target's flows.

use std::cell::RefCell;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

/// A future that completes when the drain starts.
pub(crate) type DrainStarted = Shared<oneshot::Receiver<()>>;

/// A signal that completes once for all flows that wait for it. Flows that open after
/// [`DrainSignal::reset`] wait for the next drain.
pub(crate) struct DrainSignal {
    current: RefCell<(Option<oneshot::Sender<()>>, DrainStarted)>,
}

fn channel() -> (Option<oneshot::Sender<()>>, DrainStarted) {
    let (sender, receiver) = oneshot::channel();
    (Some(sender), receiver.shared())
}

impl DrainSignal {
    pub(crate) fn new() -> Self {
        Self {
            current: RefCell::new(channel()),
        }
    }

    pub(crate) fn start(&self) {
        // Dropping the sender also completes the receivers, and has no effect when repeated.
        self.current.borrow_mut().0 = None;
    }

    pub(crate) fn reset(&self) {
        *self.current.borrow_mut() = channel();
    }

    pub(crate) fn started(&self) -> DrainStarted {
        self.current.borrow().1.clone()
    }
}
