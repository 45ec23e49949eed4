//! Orders the states of a published value, also after the platform was restored from an older copy.

use crate::config::revision::Revision;

/// Identifies one state of a published value and orders it among the value's other states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionStamp {
    /// The revision that the platform assigned to the state.
    pub revision: Revision,
    /// The version that the state's writer assigned to it, higher with each change; 0 if the writer
    /// assigns none.
    pub version: u64,
}

impl VersionStamp {
    /// Returns whether this state replaces `other`.
    ///
    /// Within one era the platform's revisions decide. Across eras they can't: a platform restored
    /// from an older copy shows states as new that were replaced long ago. The writer's versions
    /// decide then, if both states have one, so that a restore does not undo an accepted
    /// configuration.
    pub fn supersedes(self, other: Self) -> bool {
        let is_same_era = self.revision.era() == other.revision.era();
        let is_versioned = self.version > 0 && other.version > 0;
        if is_same_era || !is_versioned || self.version == other.version {
            return self.revision > other.revision;
        }
        self.version > other.version
    }
}

/// Creates the stamp of a state whose writer assigns no versions.
impl<R: Into<Revision>> From<R> for VersionStamp {
    fn from(revision: R) -> Self {
        Self {
            revision: revision.into(),
            version: 0,
        }
    }
}
