//! Where published values are read, as the adapter of a platform provides it.

use futures_util::future::LocalBoxFuture;

use crate::error::Result;
use crate::opaque::backend::DRAINING_SUFFIX;

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
}

impl Batch {
    /// Tells whether a value vanished that had not announced it, as an entry that lapsed.
    ///
    /// A backend server that leaves says so some seconds before, which the same changes show.
    pub fn shows_lapse(&self) -> bool {
        let announced = |at: usize| {
            let earlier = self.values[..at].iter();
            earlier
                .rev()
                .find(|value| value.name == self.values[at].name)
                .and_then(|value| value.text.as_deref())
                .is_some_and(|text| text.ends_with(DRAINING_SUFFIX))
        };
        let came_back = |at: usize| {
            let later = &self.values[at + 1..];
            later.iter().any(|value| value.name == self.values[at].name)
        };
        let vanished = |at: &usize| self.values[*at].text.is_none();
        (0..self.values.len())
            .filter(vanished)
            .any(|at| !announced(at) && !came_back(at))
    }
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
