//! The order in which a platform took changes, across its returns from older copies.

use std::fmt;

/// How many bits of a packed revision hold its number: at the 400 writes a second that the users' platform takes these
/// last for 22,000 years, and leave room for 65,535 returns.
const NUMBER_BITS: u32 = 48;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// A revision of the platform, which no two changes share.
///
/// The platform numbers its changes. Where it comes back from an older copy, the numbers go back and are given out
/// again, to other changes: alone they neither name a change nor order two of them. The *era* counts those returns, and
/// a revision of a later era is after all of the eras before.
///
/// It fits 64 bits, so that messages between processes are no longer for it, and a plain number is a revision of era 0,
/// as of a platform that tells no era. See docs/OPAQUE.md, "When the platform comes back from an older copy".
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(u64);

impl Revision {
    /// The revision before all changes.
    pub const ZERO: Self = Self(0);

    /// Makes a revision of an era and a number; `None` where one of them is too large to be told apart.
    pub fn new(era: u64, number: u64) -> Option<Self> {
        let fits = era <= MAX_ERA && number <= MAX_NUMBER;
        fits.then_some(Self((era << NUMBER_BITS) | number))
    }

    /// Returns how often the platform had come back from an older copy.
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the platform's number of the change, which is its own within the era alone.
    pub fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// Returns the revision this many changes before, or the first of the era.
    pub(crate) fn saturating_sub(self, changes: u64) -> Self {
        Self(self.0 - self.number().min(changes))
    }

    /// Returns the era and the number packed, as they travel.
    pub(crate) fn bits(self) -> u64 {
        self.0
    }
}

/// Takes a packed revision, as it travels.
impl From<u64> for Revision {
    fn from(bits: u64) -> Self {
        Self(bits)
    }
}

/// Writes what `Display` does: the packed bits of a later era can't be read.
impl fmt::Debug for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Writes the number, and the era before it where there was a return.
impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(formatter, "{}", self.number()),
            era => write!(formatter, "{era}.{}", self.number()),
        }
    }
}
