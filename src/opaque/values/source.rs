//! Where published values are read, as the adapter of a platform provides it.

use futures_util::future::LocalBoxFuture;

use crate::error::Result;

/// One published value; without a text it is no longer published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// Its name among the values of the product.
    pub name: String,
    /// The revision of this state.
    pub revision: u64,
    /// Its text in the product's format.
    pub text: Option<String>,
}

/// What one read brought.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The revision up to which this tells everything.
    pub revision: u64,
    /// The values.
    pub values: Vec<Published>,
    /// Whether these are all values that are published.
    pub is_whole: bool,
    /// Which history of the platform this belongs to: it rises when the platform comes back from an older copy.
    pub era: u64,
}

/// A read of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// All values, as they were at some time in the last seconds: the cheapest read.
    Recent,
    /// All values as they are now.
    Whole,
    /// What changes after a revision, after at most this long.
    Changes {
        /// The revision after which changes count.
        after: u64,
        /// How long to wait for one, in milliseconds.
        wait_ms: u64,
    },
}

type Reading = LocalBoxFuture<'static, Result<Batch>>;

/// The reads of one platform.
///
/// A read fails with code 5005 where the platform no longer has the changes after that revision,
/// and with 5002 where it does not answer.
pub struct Source {
    /// Performs a read.
    pub read: Box<dyn Fn(Read) -> Reading>,
}
