//! Mutual authentication of the two ends of a control link by the cluster key.

use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use rand::Rng;
use ring::hmac;

use crate::code::Code;
use crate::config::keys::ClusterKey;
use crate::error::{Error, Result};

const NONCE_BYTES: usize = 16;
const PROOF_BYTES: usize = 32;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Which end of the link this process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkSide {
    /// The end that connected.
    Client,
    /// The end that accepted.
    Server,
}

impl LinkSide {
    fn label(self) -> &'static [u8] {
        match self {
            LinkSide::Client => b"client",
            LinkSide::Server => b"server",
        }
    }

    fn other(self) -> Self {
        match self {
            LinkSide::Client => LinkSide::Server,
            LinkSide::Server => LinkSide::Client,
        }
    }
}

/// Exchanges nonces and proofs, before any byte of the control protocol is read.
///
/// # Errors
///
/// Returns code 4007 if the peer does not hold the cluster key, and 4008 if it closes the
/// connection or does not answer in time.
pub async fn authenticate(
    stream: &mut TcpStream,
    cluster_key: &ClusterKey,
    side: LinkSide,
) -> Result<()> {
    let handshake = exchange_proofs(stream, cluster_key, side);
    let result = compio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    result.unwrap_or_else(|_| {
        Err(Error::new(
            Code::LinkClosed,
            format!("no handshake within {HANDSHAKE_TIMEOUT:?}"),
        ))
    })
}

async fn exchange_proofs(
    stream: &mut TcpStream,
    cluster_key: &ClusterKey,
    side: LinkSide,
) -> Result<()> {
    let key = hmac::Key::new(hmac::HMAC_SHA256, &cluster_key.derive("control link", ""));
    let own_nonce: [u8; NONCE_BYTES] = rand::rng().random();
    send(stream, own_nonce.to_vec()).await?;
    let peer_nonce = receive(stream, NONCE_BYTES).await?;
    let own_proof = hmac::sign(&key, &proof_input(side, &own_nonce, &peer_nonce));
    send(stream, own_proof.as_ref().to_vec()).await?;
    let peer_proof = receive(stream, PROOF_BYTES).await?;
    let expected = proof_input(side.other(), &peer_nonce, &own_nonce);
    hmac::verify(&key, &expected, &peer_proof).map_err(|_| {
        Error::new(
            Code::LinkRefused,
            "its HMAC of the exchanged nonces differs",
        )
    })
}

fn proof_input(side: LinkSide, own_nonce: &[u8], peer_nonce: &[u8]) -> Vec<u8> {
    [side.label(), own_nonce, peer_nonce].concat()
}

async fn send(stream: &mut TcpStream, bytes: Vec<u8>) -> Result<()> {
    let BufResult(result, _) = stream.write_all(bytes).await;
    result.map_err(link_closed)
}

async fn receive(stream: &mut TcpStream, count: usize) -> Result<Vec<u8>> {
    let BufResult(result, bytes) = stream.read_exact(Vec::with_capacity(count)).await;
    result.map_err(link_closed)?;
    Ok(bytes)
}

fn link_closed(error: std::io::Error) -> Error {
    Error::new(Code::LinkClosed, error.to_string())
}
