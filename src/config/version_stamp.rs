//! What tells which of two states of a value is the newer one.

use crate::config::revision::Revision;

/// Where a state of a value stands among all that its name ever had.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionStamp {
    /// Where the platform took it.
    pub revision: Revision,
    /// The version that its writer gave it, rising with each change; 0 where writers give none.
    pub version: u64,
}

impl VersionStamp {
    /// Tells whether this state replaces the other one.
    ///
    /// Within one era the platform's order decides. Across eras it says nothing: a platform that came back from an older
    /// copy shows states as new that were replaced long ago. The writer's versions tell them then, where both have one,
    /// so that an accepted configuration does not go back with the platform.
    pub fn supersedes(self, other: Self) -> bool {
        let is_same_era = self.revision.era() == other.revision.era();
        let is_versioned = self.version > 0 && other.version > 0;
        if is_same_era || !is_versioned || self.version == other.version {
            return self.revision > other.revision;
        }
        self.version > other.version
    }
}

/// A state whose writer gives no versions.
impl<R: Into<Revision>> From<R> for VersionStamp {
    fn from(revision: R) -> Self {
        Self {
            revision: revision.into(),
            version: 0,
        }
    }
}
