//! Where published values are read, as the adapter of a platform provides it.

use futures_util::future::LocalBoxFuture;

use crate::code::Code;
use crate::config::revision::Revision;
use crate::config::version_stamp::VersionStamp;
use crate::error::{Error, Result};

/// One published value; without a text it is no longer published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedValue {
    /// Its name among the values of the product.
    pub name: String,
    /// Where this state stands among all that the value had.
    pub stamp: VersionStamp,
    /// Its text in the product's format.
    pub text: Option<String>,
}

impl PublishedValue {
    /// Returns this state as one of an era, where its platform tells the era beside what was read.
    pub fn with_era(mut self, era: u64) -> Self {
        let number = self.stamp.revision.number();
        self.stamp.revision = Revision::new(era, number).unwrap_or_default();
        self
    }
}

/// What one read brought.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The revision up to which this tells everything.
    pub revision: Revision,
    /// The values.
    pub values: Vec<PublishedValue>,
    /// Whether these are all values that are published.
    pub is_whole: bool,
}

/// A read of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRead {
    /// All values, as they were at some time in the last seconds: the cheapest read.
    Recent,
    /// All values as they are now.
    Whole,
    /// What changes after a revision, after at most this long.
    Changes {
        /// The revision after which changes count.
        after: Revision,
        /// How long to wait for one, in milliseconds.
        wait_ms: u64,
    },
}

type Reading = LocalBoxFuture<'static, Result<Batch>>;

/// The reads of one platform.
///
/// A read fails with code 5005 where the platform no longer has the changes after that revision,
/// and with 5002 where it does not answer.
pub struct PlatformSource {
    /// Performs a read.
    pub read: Box<dyn Fn(PlatformRead) -> Reading>,
}

/// Passes a batch that belongs to the history of the platform which was asked for.
///
/// # Errors
///
/// Returns code 5005 for changes after a revision of another history: what the platform took since it came back from an
/// older copy may have lower numbers, which a watch from there passes over.
pub(crate) fn of_one_history(read: PlatformRead, batch: Batch) -> Result<Batch> {
    match read {
        PlatformRead::Changes { after, .. } if after.era() != batch.revision.era() => Err(
            history_forgotten_error(format!("after {after} comes {}", batch.revision)),
        ),
        _ => Ok(batch),
    }
}

/// Returns the error of a platform that no longer has the changes that were asked for.
pub fn history_forgotten_error(message: impl Into<String>) -> Error {
    Error::new(Code::PlatformForgot, message)
}
