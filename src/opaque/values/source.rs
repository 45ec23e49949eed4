//! The interface through which published values are read; the adapter of a platform implements it.

use futures_util::future::LocalBoxFuture;

use crate::code::Code;
use crate::config::revision::Revision;
use crate::config::version_stamp::VersionStamp;
use crate::error::{Error, Result};

/// One state of a published value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedValue {
    /// The name of the value.
    pub name: String,
    /// The revision and version of this state.
    pub stamp: VersionStamp,
    /// The text in the product's format; `None` if the value is no longer published.
    pub text: Option<String>,
}

impl PublishedValue {
    /// Returns this state with the era set, for platforms that report the era separately from
    /// values.
    pub fn with_era(mut self, era: u64) -> Self {
        let number = self.stamp.revision.number();
        self.stamp.revision = Revision::new(era, number).unwrap_or_default();
        self
    }
}

/// The result of one read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The revision up to which the batch is complete.
    pub revision: Revision,
    /// The values, in the order in which they were read.
    pub values: Vec<PublishedValue>,
    /// Whether the batch contains all published values, and not only changes.
    pub is_whole: bool,
}

/// A kind of read of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRead {
    /// Reads all values, as they were at some time in the last seconds: the cheapest read.
    Recent,
    /// Reads all values as they are now.
    Whole,
    /// Waits for changes after a revision and reads them.
    Changes {
        /// The revision after which changes are read.
        after: Revision,
        /// The longest wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

type ReadFuture = LocalBoxFuture<'static, Result<Batch>>;

/// The read operations of one platform.
///
/// A read fails with code 5005 if the platform no longer has the changes after the requested
/// revision, and with code 5002 if it does not answer.
pub struct PlatformSource {
    /// Performs a read.
    pub read: Box<dyn Fn(PlatformRead) -> ReadFuture>,
}

/// Returns the batch of a read unless it belongs to another era than the one that was asked for.
///
/// # Errors
///
/// Returns code 5005 for changes after a revision of another era: changes since the platform was
/// restored from an older copy may have lower numbers, which a watch from that revision skips.
pub(crate) fn check_era(read: PlatformRead, batch: Batch) -> Result<Batch> {
    match read {
        PlatformRead::Changes { after, .. } if after.era() != batch.revision.era() => {
            Err(history_forgotten_error(format!(
                "asked for changes after revision {after}, got revision {} of another era",
                batch.revision
            )))
        }
        _ => Ok(batch),
    }
}

/// Returns the error for a platform that no longer has the requested changes.
pub fn history_forgotten_error(message: impl Into<String>) -> Error {
    Error::new(Code::PlatformForgot, message)
}
