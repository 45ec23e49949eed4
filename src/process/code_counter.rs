//! A counter with the result code as its label.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::code::Code;

/// The metric label that holds the number of a result code.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CodeLabel {
    code: u32,
}

/// A family of counters, one for each result code.
#[derive(Debug, Clone, Default)]
pub(crate) struct CodeCounter(Family<CodeLabel, Counter<u64, AtomicU64>>);

impl CodeCounter {
    pub(crate) fn inc(&self, code: Code) {
        let code = u32::from(code.number());
        self.0.get_or_create(&CodeLabel { code }).inc();
    }

    /// Returns a handle to the counters for registration.
    pub(crate) fn family(&self) -> Family<CodeLabel, Counter<u64, AtomicU64>> {
        self.0.clone()
    }

    pub(crate) fn get(&self, code: Code) -> u64 {
        let code = u32::from(code.number());
        self.0.get_or_create(&CodeLabel { code }).get()
    }
}
