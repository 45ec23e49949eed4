//! The settings of a process: an INI file in which every key must be known and valid.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use ini::Ini;

use crate::code::Code;
use crate::config::keys::{CLUSTER_KEY_BYTES, ClusterKey};
use crate::config::table;
use crate::error::{Error, Result};

/// All sections and keys of a settings file; see docs/OPERATORS.md, "Settings".
const KNOWN_KEYS: &[(&str, &str)] = &[
    ("agent", "certificate_file"),
    ("agent", "drain_limit_s"),
    ("agent", "key_file"),
    ("balancer", "bind_ip"),
    ("keys", "cluster"),
    ("log", "file"),
    ("log", "level"),
    ("network", "control_port"),
    ("network", "datagram_port"),
    ("network", "metrics_port"),
    ("opaque", "backend"),
    ("opaque", "flow_lifetime_s"),
    ("opaque", "fresh_site"),
    ("opaque", "listen"),
    ("opaque", "outbound"),
    ("opaque", "ready"),
    ("opaque", "service"),
    ("peers", "seeds"),
    ("platform", "address"),
    ("process", "host"),
    ("process", "zone"),
];

/// The settings of a daemon or of the operators' client.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The address of the host on which the process runs.
    pub host: Ipv4Addr,
    /// The availability zone of that host.
    pub zone: String,
    /// The TCP port for control links, the same on all hosts.
    pub control_port: u16,
    /// The UDP port for envelopes, the same on all hosts.
    pub datagram_port: u16,
    /// The TCP port for `/metrics`.
    pub metrics_port: u16,
    /// The address at which a balancer binds the services' ports, if not the services' own
    /// addresses.
    pub bind_ip: Option<Ipv4Addr>,
    /// The secret that all hosts share.
    pub cluster_key: ClusterKey,
    /// The address of the platform's configuration service.
    pub platform: SocketAddr,
    /// The peers to ask before a host list is known, while the configuration service does not
    /// answer.
    pub seeds: Vec<Ipv4Addr>,
    /// The certificate chain that an agent presents to callers, as a PEM file.
    pub certificate_file: Option<PathBuf>,
    /// The certificate's private key, as a PEM file.
    pub key_file: Option<PathBuf>,
    /// The longest time that a leaving agent waits for its flows to end, in seconds.
    pub drain_limit_s: u64,
    /// The settings for flows of opaque packets.
    pub opaque: OpaqueSettings,
    /// The lowest level of log lines that are written.
    pub log_level: log::LevelFilter,
    /// The log file; standard error if `None`.
    pub log_file: Option<PathBuf>,
}

/// The settings of the section `opaque`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OpaqueSettings {
    /// The address at which a balancer receives callers' packets; answers go to the same port of
    /// the callers.
    pub listen: Option<SocketAddr>,
    /// The address of the readiness probe, at which the platform asks whether this process takes
    /// traffic.
    pub ready: Option<SocketAddr>,
    /// The address at which an agent's backend server receives packets.
    pub backend: Option<SocketAddrV4>,
    /// The address to which that backend server sends its packets.
    pub outbound: Option<SocketAddrV4>,
    /// The service of that backend server.
    pub service: Option<String>,
    /// The longest lifetime of a flow, in seconds; its state may be dropped afterwards.
    pub flow_lifetime_s: u64,
    /// Whether the whole site starts for the first time, so that no flow is older than this
    /// process.
    pub fresh_site: bool,
}

impl OpaqueSettings {
    /// Returns the longest lifetime of a flow in milliseconds.
    pub(crate) fn flow_lifetime_ms(&self) -> u64 {
        const MS_PER_S: u64 = 1_000;
        self.flow_lifetime_s * MS_PER_S
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the file can't be read, and 3001 to 3004 if its contents are invalid.
    pub fn load(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::new(Code::Io, format!("{}: {error}", path.display())))?;
        Settings::parse(&text)
    }

    /// Returns whether the host, zone, platform, ports or `opaque` settings changed, which only a
    /// restart applies.
    pub(crate) fn needs_restart(&self, new: &Settings) -> bool {
        let identity = |settings: &Settings| {
            (
                (settings.host, settings.zone.clone(), settings.platform),
                (
                    settings.control_port,
                    settings.datagram_port,
                    settings.metrics_port,
                ),
                settings.opaque.clone(),
            )
        };
        identity(self) != identity(new)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns a code from 3001 to 3004 whose message names the line.
    pub fn parse(text: &str) -> Result<Settings> {
        let ini = Ini::load_from_str(text)
            .map_err(|error| Error::new(Code::SettingsSyntax, error.to_string()))?;
        let reader = SettingsReader { ini: &ini, text };
        reader.check_known()?;
        Ok(Settings {
            host: reader.required("process", "host", "an IPv4 address")?,
            zone: reader.zone()?,
            control_port: reader.port("control_port", 4700)?,
            datagram_port: reader.port("datagram_port", 4701)?,
            metrics_port: reader.port("metrics_port", 4702)?,
            bind_ip: reader.optional("balancer", "bind_ip", "an IPv4 address")?,
            cluster_key: reader.cluster_key()?,
            platform: reader.required("platform", "address", "IP:PORT")?,
            seeds: reader.seeds()?,
            certificate_file: reader.optional("agent", "certificate_file", "a path")?,
            key_file: reader.optional("agent", "key_file", "a path")?,
            drain_limit_s: reader.number("agent", "drain_limit_s", 43_200, 1..=604_800)?,
            opaque: reader.opaque()?,
            log_level: reader.log_level()?,
            log_file: reader.optional("log", "file", "a path")?,
        })
    }
}

/// Reads typed values from a settings file.
struct SettingsReader<'a> {
    ini: &'a Ini,
    text: &'a str,
}

impl SettingsReader<'_> {
    fn get(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key)
    }

    fn check_known(&self) -> Result<()> {
        for (section, properties) in self.ini.iter() {
            for (key, _) in properties.iter() {
                let section = section.unwrap_or("");
                if !KNOWN_KEYS.contains(&(section, key)) {
                    let message = format!("{}: [{section}] {key}", self.line_of(section, key));
                    return Err(Error::new(Code::SettingsUnknown, message));
                }
            }
        }
        Ok(())
    }

    /// Returns the line of a key as text, since the INI library does not keep line numbers.
    fn line_of(&self, section: &str, key: &str) -> String {
        let mut current = "";
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[') {
                current = name.trim_end_matches(']').trim();
            }
            let name = line.split(['=', ':']).next().unwrap_or("").trim();
            if current == section && name == key {
                return format!("line {}", index + 1);
            }
        }
        "no line".to_owned()
    }

    fn invalid(&self, section: &str, key: &str, expected: &str) -> Error {
        let value = self.get(section, key).unwrap_or("");
        // The cluster key must not appear in logs.
        let shown = if section == "keys" {
            "the value"
        } else {
            value
        };
        let line = self.line_of(section, key);
        let message = format!("{line}: [{section}] {key}: {shown:?} is not {expected}");
        Error::new(Code::SettingsValue, message)
    }

    fn missing(section: &str, key: &str) -> Error {
        Error::new(Code::SettingsMissing, format!("[{section}] {key}"))
    }

    fn optional<T: std::str::FromStr>(
        &self,
        section: &str,
        key: &str,
        expected: &str,
    ) -> Result<Option<T>> {
        let Some(value) = self.get(section, key) else {
            return Ok(None);
        };
        let parsed = value.parse();
        parsed
            .map(Some)
            .map_err(|_| self.invalid(section, key, expected))
    }

    fn required<T: std::str::FromStr>(
        &self,
        section: &str,
        key: &str,
        expected: &str,
    ) -> Result<T> {
        let value = self.optional(section, key, expected)?;
        value.ok_or_else(|| Self::missing(section, key))
    }

    fn number(
        &self,
        section: &str,
        key: &str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> Result<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let number = self.optional(section, key, &expected)?.unwrap_or(default);
        if range.contains(&number) {
            Ok(number)
        } else {
            Err(self.invalid(section, key, &expected))
        }
    }

    fn port(&self, key: &str, default: u16) -> Result<u16> {
        let port = self.number("network", key, u64::from(default), 1..=65_535)?;
        Ok(port as u16)
    }

    fn opaque(&self) -> Result<OpaqueSettings> {
        let address = "IP:PORT";
        let flag = "true or false";
        Ok(OpaqueSettings {
            listen: self.optional("opaque", "listen", address)?,
            ready: self.optional("opaque", "ready", address)?,
            backend: self.optional("opaque", "backend", address)?,
            outbound: self.optional("opaque", "outbound", address)?,
            service: self.optional("opaque", "service", "a name")?,
            flow_lifetime_s: self.number("opaque", "flow_lifetime_s", 60, 1..=86_400)?,
            fresh_site: self
                .optional("opaque", "fresh_site", flag)?
                .unwrap_or(false),
        })
    }

    fn zone(&self) -> Result<String> {
        let zone: String = self.required("process", "zone", "a name")?;
        if table::is_valid_name(&zone) {
            Ok(zone)
        } else {
            Err(self.invalid("process", "zone", "1 to 40 of a-z, 0-9 and -"))
        }
    }

    fn cluster_key(&self) -> Result<ClusterKey> {
        let value = self.get("keys", "cluster");
        let value = value.ok_or_else(|| Self::missing("keys", "cluster"))?;
        let mut bytes = [0; CLUSTER_KEY_BYTES];
        hex::decode_to_slice(value, &mut bytes)
            .map_err(|_| self.invalid("keys", "cluster", "64 hexadecimal digits"))?;
        Ok(ClusterKey::new(bytes))
    }

    fn seeds(&self) -> Result<Vec<Ipv4Addr>> {
        let value = self.get("peers", "seeds").unwrap_or("");
        let names = value
            .split(',')
            .map(str::trim)
            .filter(|name| !name.is_empty());
        // All hosts use the same control port, so a port after an address is ignored.
        let addresses = names.map(|name| name.split(':').next().unwrap_or(name));
        let seeds: std::result::Result<Vec<Ipv4Addr>, _> = addresses.map(str::parse).collect();
        seeds.map_err(|_| self.invalid("peers", "seeds", "a list of IPv4 addresses"))
    }

    fn log_level(&self) -> Result<log::LevelFilter> {
        let level = self.optional("log", "level", "off, error, warn, info, debug or trace")?;
        Ok(level.unwrap_or(log::LevelFilter::Info))
    }
}
