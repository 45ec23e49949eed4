//! Revisions of the platform, ordered also across its restores from older copies.

use std::fmt;

/// The number of bits of a packed revision that hold its number.
///
/// At 400 writes a second, the rate of the users' platform, the numbers last for 22,000 years. The
/// remaining bits of the revision count up to 65,535 restores.
const NUMBER_BITS: u32 = 48;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// A revision of the platform, unique to one change.
///
/// The platform numbers its changes. When it is restored from an older copy, it reuses numbers for
/// other changes, so that a number alone neither identifies a change nor orders two of them. The
/// *era* counts the restores, and all revisions of a later era are higher than those of earlier
/// ones.
///
/// A revision is packed into 64 bits, so that the era adds no bytes to messages. A plain number is
/// a revision of era 0, as from a platform that shows no era. See docs/OPAQUE.md, "When the
/// platform comes back from an older copy".
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(u64);

impl Revision {
    /// The revision before the first change.
    pub const ZERO: Self = Self(0);

    /// Packs an era and a number; `None` if one of them does not fit its bits.
    pub fn new(era: u64, number: u64) -> Option<Self> {
        let fits = era <= MAX_ERA && number <= MAX_NUMBER;
        fits.then_some(Self((era << NUMBER_BITS) | number))
    }

    /// Returns how often the platform had been restored from an older copy.
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the platform's number of the change, which is unique only within the era.
    pub fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// Returns the revision `changes` before this one, at least number 0 of the same era.
    pub(crate) fn saturating_sub(self, changes: u64) -> Self {
        Self(self.0 - self.number().min(changes))
    }

    /// Returns the era and number packed, as they are sent in messages.
    pub(crate) fn bits(self) -> u64 {
        self.0
    }
}

/// Converts from the packed form, as it is sent in messages.
impl From<u64> for Revision {
    fn from(bits: u64) -> Self {
        Self(bits)
    }
}

/// Writes the same as `Display`, since the packed bits of a later era are unreadable.
impl fmt::Debug for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Writes the number, preceded by the era if that is above 0.
impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(formatter, "{}", self.number()),
            era => write!(formatter, "{era}.{}", self.number()),
        }
    }
}
