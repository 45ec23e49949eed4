//! Keys derived from the cluster key of the settings and the epochs that the platform publishes.

use aes::Aes128;
use aes::cipher::KeyInit;
use ring::hmac;

use crate::code::Code;
use crate::error::{Error, Result};

/// The length of the cluster key, in bytes.
pub const CLUSTER_KEY_BYTES: usize = 32;
/// The first line of the published `keys` value.
pub const KEYS_HEADER: &str = "epoch,salt,state";

/// The secret that all hosts share through their settings.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey([u8; CLUSTER_KEY_BYTES]);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(hidden)")
    }
}

impl ClusterKey {
    /// Takes the key from its bytes.
    pub fn new(bytes: [u8; CLUSTER_KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Derives a key for one purpose, so that no two purposes share one.
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

    pub(crate) fn derive_short(&self, purpose: &str, salt: &str) -> [u8; 16] {
        let mut short = [0; 16];
        short.copy_from_slice(&self.derive(purpose, salt)[..16]);
        short
    }

    /// Returns the key with which every process signs a stateless reset for the same flow.
    pub(crate) fn reset_key(&self) -> hmac::Key {
        hmac::Key::new(hmac::HMAC_SHA256, &self.derive("stateless reset", ""))
    }
}

/// The ciphers of one epoch.
#[derive(Clone)]
pub(crate) struct EpochKeys {
    pub(crate) epoch: u8,
    pub(crate) token: Aes128,
    pub(crate) ticket: Aes128,
}

/// All epochs that still open tokens, and the one that seals new ones.
///
/// A rotation publishes the new epoch as `open` first, then as `seal`, and removes the old one when
/// its flows have ended; see docs/OPERATORS.md, "Rotate the token keys".
#[derive(Clone)]
pub struct KeyRing {
    epochs: Vec<EpochKeys>,
    sealing: usize,
}

impl std::fmt::Debug for KeyRing {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let epochs: Vec<u8> = self.epochs.iter().map(|keys| keys.epoch).collect();
        write!(
            formatter,
            "KeyRing({epochs:?}, seals with {})",
            self.sealing().epoch
        )
    }
}

impl KeyRing {
    /// Makes the ring that holds before the platform has published any epoch.
    pub fn initial(cluster: &ClusterKey) -> Self {
        Self {
            epochs: vec![epoch_keys(cluster, 0, "")],
            sealing: 0,
        }
    }

    /// Makes the ring from the published value.
    ///
    /// # Errors
    ///
    /// Returns code 2201 with the line at fault.
    pub fn parse(cluster: &ClusterKey, text: &str) -> Result<Self> {
        let mut lines = text.lines();
        if lines.next() != Some(KEYS_HEADER) {
            return Err(Error::new(Code::KeysSyntax, "line 1 is not the header"));
        }
        let mut epochs = Vec::new();
        let mut sealing_epochs = Vec::new();
        for line in lines.filter(|line| !line.trim().is_empty()) {
            let (epoch, salt, seals) = parse_line(line)?;
            epochs.push(epoch_keys(cluster, epoch, salt));
            if seals {
                sealing_epochs.push(epoch);
            }
        }
        epochs.sort_by_key(|keys| keys.epoch);
        let distinct = epochs.windows(2).all(|pair| pair[0].epoch != pair[1].epoch);
        let &[sealing] = sealing_epochs.as_slice() else {
            let message = format!("{} epochs in state seal", sealing_epochs.len());
            return Err(Error::new(Code::KeysSyntax, message));
        };
        if !distinct {
            return Err(Error::new(Code::KeysSyntax, "an epoch stands twice"));
        }
        let sealing = epochs.partition_point(|keys| keys.epoch < sealing);
        Ok(Self { epochs, sealing })
    }

    pub(crate) fn sealing(&self) -> &EpochKeys {
        &self.epochs[self.sealing]
    }

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

fn epoch_keys(cluster: &ClusterKey, epoch: u8, salt: &str) -> EpochKeys {
    let salt = format!("{epoch}:{salt}");
    EpochKeys {
        epoch,
        token: Aes128::new(&cluster.derive_short("routing token", &salt).into()),
        ticket: Aes128::new(&cluster.derive_short("ticket", &salt).into()),
    }
}
