//! The flows and openers that a backend server leaves behind when its process ends.

use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::packets::segment::FlowKey;

/// A flow to end towards its caller, with the acknowledgement that the reset carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndedFlow {
    pub(crate) key: FlowKey,
    pub(crate) acknowledgement: u32,
}

/// The flows and openers of a backend server that ended.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct OrphanedFlows {
    /// Flows that it had proved to hold.
    pub(crate) flows: Vec<EndedFlow>,
    /// Openers that it may not have answered.
    pub(crate) openers: Vec<(FlowKey, PendingOpener)>,
}
