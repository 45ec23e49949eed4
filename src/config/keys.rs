//! Keys derived from the cluster key in the settings and the epochs that the platform publishes.

use aes::Aes128;
use aes::cipher::KeyInit;
use ring::hmac;

use crate::code::Code;
use crate::error::{Error, Result};

/// The length of the cluster key, in bytes.
pub const CLUSTER_KEY_BYTES: usize = 32;
/// The first line of the published `keys` value.
pub const KEYS_HEADER: &str = "epoch,salt,state";

/// The secret that all hosts share, from the settings.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey([u8; CLUSTER_KEY_BYTES]);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(hidden)")
    }
}

impl ClusterKey {
    /// Creates the key from its bytes.
    pub fn new(bytes: [u8; CLUSTER_KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Derives the key for one purpose, so that no two purposes share a key.
    pub(crate) fn derive(&self, purpose: &str, salt: &str) -> [u8; 32] {
        let key = hmac::Key::new(hmac::HMAC_SHA256, &self.0);
        let mut context = hmac::Context::with_key(&key);
        context.update(purpose.as_bytes());
        context.update(&[0]);
        context.update(salt.as_bytes());
        let mut derived = [0; 32];
        derived.copy_from_slice(context.sign().as_ref());
        derived
    }

    /// Derives a key of 16 bytes, the length of an AES-128 key.
    pub(crate) fn derive_short(&self, purpose: &str, salt: &str) -> [u8; 16] {
        let mut short = [0; 16];
        short.copy_from_slice(&self.derive(purpose, salt)[..16]);
        short
    }

    /// Returns the key that signs stateless resets, the same in every process so that any can reset
    /// a flow.
    pub(crate) fn reset_key(&self) -> hmac::Key {
        hmac::Key::new(hmac::HMAC_SHA256, &self.derive("stateless reset", ""))
    }
}

/// The keys of one epoch.
#[derive(Clone)]
pub(crate) struct EpochKeys {
    pub(crate) epoch: u8,
    pub(crate) token: Aes128,
    pub(crate) ticket: Aes128,
}

/// The keys of all epochs: one seals new tokens and tickets, all open existing ones.
///
/// A rotation publishes the new epoch as `open` first, then as `seal`, and removes the old one when
/// its flows have ended; see docs/OPERATORS.md, "Rotate the token keys".
#[derive(Clone)]
pub struct KeyRing {
    epochs: Vec<EpochKeys>,
    sealing_index: usize,
}

impl std::fmt::Debug for KeyRing {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let epochs: Vec<u8> = self.epochs.iter().map(|keys| keys.epoch).collect();
        write!(
            formatter,
            "KeyRing({epochs:?}, seals with {})",
            self.sealing_keys().epoch
        )
    }
}

impl KeyRing {
    /// Creates the key ring that is used until the platform has published an epoch.
    pub fn initial(cluster_key: &ClusterKey) -> Self {
        Self {
            epochs: vec![epoch_keys(cluster_key, 0, "")],
            sealing_index: 0,
        }
    }

    /// Creates the key ring from the published epochs.
    ///
    /// # Errors
    ///
    /// Returns code 2201 with what is malformed.
    pub fn parse(cluster_key: &ClusterKey, text: &str) -> Result<Self> {
        let mut lines = text.lines();
        if lines.next() != Some(KEYS_HEADER) {
            return Err(Error::new(
                Code::KeysSyntax,
                format!("line 1 is not {KEYS_HEADER:?}"),
            ));
        }
        let mut epochs = Vec::new();
        let mut sealing_epochs = Vec::new();
        for line in lines.filter(|line| !line.trim().is_empty()) {
            let (epoch, salt, seals) = parse_line(line)?;
            epochs.push(epoch_keys(cluster_key, epoch, salt));
            if seals {
                sealing_epochs.push(epoch);
            }
        }
        epochs.sort_by_key(|keys| keys.epoch);
        let distinct = epochs.windows(2).all(|pair| pair[0].epoch != pair[1].epoch);
        let &[sealing_epoch] = sealing_epochs.as_slice() else {
            let message = format!("{} epochs in state seal instead of 1", sealing_epochs.len());
            return Err(Error::new(Code::KeysSyntax, message));
        };
        if !distinct {
            return Err(Error::new(Code::KeysSyntax, "an epoch is listed twice"));
        }
        let sealing_index = epochs.partition_point(|keys| keys.epoch < sealing_epoch);
        Ok(Self {
            epochs,
            sealing_index,
        })
    }

    /// Returns the keys that seal new tokens and tickets.
    pub(crate) fn sealing_keys(&self) -> &EpochKeys {
        &self.epochs[self.sealing_index]
    }

    /// Returns the keys of an epoch that is still published.
    pub(crate) fn get(&self, epoch: u8) -> Option<&EpochKeys> {
        let index = self.epochs.binary_search_by_key(&epoch, |keys| keys.epoch);
        index.ok().map(|index| &self.epochs[index])
    }
}

fn parse_line(line: &str) -> Result<(u8, &str, bool)> {
    let error = || Error::new(Code::KeysSyntax, format!("{line:?}"));
    let fields: Vec<&str> = line.split(',').map(str::trim).collect();
    let &[epoch, salt, state] = fields.as_slice() else {
        return Err(error());
    };
    let epoch = epoch.parse().map_err(|_| error())?;
    match state {
        "seal" => Ok((epoch, salt, true)),
        "open" => Ok((epoch, salt, false)),
        _ => Err(error()),
    }
}

fn epoch_keys(cluster_key: &ClusterKey, epoch: u8, salt: &str) -> EpochKeys {
    let salt = format!("{epoch}:{salt}");
    EpochKeys {
        epoch,
        token: Aes128::new(&cluster_key.derive_short("routing token", &salt).into()),
        ticket: Aes128::new(&cluster_key.derive_short("ticket", &salt).into()),
    }
}
