//! The QUIC endpoint of one target.

use std::fs::File;
use std::io::BufReader;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use compio::net::UdpSocket;
use compio::quic::{
    Endpoint, EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerBuilder, ServerConfig,
    TransportConfig, VarInt,
};

use crate::code::Code;
use crate::config::settings::Settings;
use crate::error::{Error, Result};
use crate::quic::token_generator::TokenGenerator;

/// The idle timeout of a flow, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 30_000;
/// The interval of keep-alive packets on an idle flow, so that a feed without events stays open.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(8);
/// The upper bound of MTU discovery, in bytes: a packet of this size fits an Ethernet frame
/// together with its envelope.
const MAX_MTU_BYTES: u16 = 1_400;
/// The number of requests of one flow that may be open at once.
const MAX_REQUEST_STREAMS: u32 = 256;

/// Opens the endpoint on a local address, which only the flow sockets of this process use.
pub(crate) async fn open(
    settings: &Settings,
    server_config: &ServerConfig,
    token_generator: impl Fn() -> TokenGenerator + Send + Sync + 'static,
) -> Result<Endpoint> {
    let reset_key = settings.cluster_key.reset_key();
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    config.cid_generator(move || Box::new(token_generator()));
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    Ok(Endpoint::new(
        socket,
        config,
        Some(server_config.clone()),
        None,
    )?)
}

/// Reads the certificate and returns the QUIC configuration for callers.
///
/// # Errors
///
/// Returns code 3004 if the settings name no certificate or key, and 5001 if one can't be used.
pub(crate) fn server_config(settings: &Settings) -> Result<ServerConfig> {
    let certificate_file = required(&settings.certificate_file, "certificate_file")?;
    let key_file = required(&settings.key_file, "key_file")?;
    let mut chain = open_file(certificate_file)?;
    let certificates: Vec<_> = rustls_pemfile::certs(&mut chain).collect::<Result<_, _>>()?;
    let key = rustls_pemfile::private_key(&mut open_file(key_file)?)?;
    let unusable =
        |path: &Path, what: &str| Error::new(Code::Io, format!("{}: {what}", path.display()));
    let key = key.ok_or_else(|| unusable(key_file, "no private key"))?;
    let builder = ServerBuilder::new_with_single_cert(certificates, key)
        .map_err(|error| unusable(certificate_file, &error.to_string()))?;
    let mut config = builder.with_alpn_protocols(&["h3"]).build();
    config.transport_config(Arc::new(transport()));
    Ok(config)
}

fn required<'a>(path: &'a Option<PathBuf>, key: &str) -> Result<&'a Path> {
    let missing = || Error::new(Code::SettingsMissing, format!("[agent] {key}"));
    path.as_deref().ok_or_else(missing)
}

fn open_file(path: &Path) -> Result<BufReader<File>> {
    let file = File::open(path);
    file.map(BufReader::new)
        .map_err(|error| Error::new(Code::Io, format!("{}: {error}", path.display())))
}

fn transport() -> TransportConfig {
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_MTU_BYTES);
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.mtu_discovery_config(Some(discovery));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_REQUEST_STREAMS));
    transport
}
