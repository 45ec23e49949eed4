//! Line-based deltas of published values, so that an edit of one row sends one row.

use crate::code::Code;
use crate::config::hash;
use crate::error::{Error, Result};

/// A change of a text: one run of lines is replaced by another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The number of unchanged lines at the start.
    pub kept_lines: u32,
    /// The number of lines removed after them.
    pub removed_lines: u32,
    /// The lines inserted in their place, with line ends.
    pub text: String,
    /// The hash of the whole new text.
    pub digest: u64,
}

impl Delta {
    /// Returns the delta from `old` to `new`.
    pub fn between(old: &str, new: &str) -> Delta {
        let old_lines: Vec<&str> = old.split_inclusive('\n').collect();
        let new_lines: Vec<&str> = new.split_inclusive('\n').collect();
        let pairs = old_lines.iter().zip(&new_lines);
        let kept = pairs.take_while(|(a, b)| a == b).count();
        let tails = old_lines[kept..]
            .iter()
            .rev()
            .zip(new_lines[kept..].iter().rev());
        let tail = tails.take_while(|(a, b)| a == b).count();
        Delta {
            kept_lines: kept as u32,
            removed_lines: (old_lines.len() - kept - tail) as u32,
            text: new_lines[kept..new_lines.len() - tail].concat(),
            digest: hash::bytes_hash(new.as_bytes()),
        }
    }

    /// Applies the delta to `old`.
    ///
    /// # Errors
    ///
    /// Returns code 2302 if the delta was made against another text.
    pub fn apply(&self, old: &str) -> Result<String> {
        let mismatch = || {
            let message = format!(
                "it keeps the first {} lines and replaces the next {}",
                self.kept_lines, self.removed_lines
            );
            Error::new(Code::DeltaMismatch, message)
        };
        let lines: Vec<&str> = old.split_inclusive('\n').collect();
        let kept = self.kept_lines as usize;
        let tail = kept.saturating_add(self.removed_lines as usize);
        if tail > lines.len() {
            return Err(mismatch());
        }
        let mut new = lines[..kept].concat();
        new.push_str(&self.text);
        new.push_str(&lines[tail..].concat());
        if hash::bytes_hash(new.as_bytes()) != self.digest {
            return Err(mismatch());
        }
        Ok(new)
    }
}
