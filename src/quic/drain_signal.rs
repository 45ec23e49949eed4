//! Tells the tasks of a target's flows that the target leaves.

use std::cell::RefCell;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

/// Completes when the drain starts.
pub(crate) type DrainStarted = Shared<oneshot::Receiver<()>>;

/// A signal that is given once; flows that open after [`DrainSignal::rearm`] wait for the next.
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
        // Dropping the sender completes the receivers too, and can be done twice.
        self.current.borrow_mut().0 = None;
    }

    pub(crate) fn rearm(&self) {
        *self.current.borrow_mut() = channel();
    }

    pub(crate) fn started(&self) -> DrainStarted {
        self.current.borrow().1.clone()
    }
}
