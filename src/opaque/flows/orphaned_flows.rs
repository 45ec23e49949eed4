//! What is left of a backend server that ended.

use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::packets::segment::FlowKey;

/// A flow whose backend server has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndedFlow {
    pub(crate) key: FlowKey,
    pub(crate) acknowledgement: u32,
}

/// What was left of a backend server that ended.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct OrphanedFlows {
    /// Flows that it had shown to hold.
    pub(crate) flows: Vec<EndedFlow>,
    /// Openers that it may not have answered.
    pub(crate) openers: Vec<(FlowKey, PendingOpener)>,
}
