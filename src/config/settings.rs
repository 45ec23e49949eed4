//! The settings of a process: an INI file whose every key is known and checked.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use ini::Ini;

use crate::code::Code;
use crate::config::keys::{CLUSTER_KEY_BYTES, ClusterKey};
use crate::config::table;
use crate::error::{Error, Result};

/// All sections and keys that a settings file may have; see docs/OPERATORS.md, "Settings".
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

/// The checked settings of a daemon or of the operators' client.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The address of the host on which the process runs.
    pub host: Ipv4Addr,
    /// The availability zone of that host.
    pub zone: String,
    /// The TCP port of control links, the same on all hosts.
    pub control_port: u16,
    /// The UDP port of envelopes, the same on all hosts.
    pub datagram_port: u16,
    /// The TCP port of `/metrics`.
    pub metrics_port: u16,
    /// Where a balancer binds the services' ports, if not at the services' own addresses.
    pub bind_ip: Option<Ipv4Addr>,
    /// The secret that all hosts share.
    pub cluster_key: ClusterKey,
    /// The address of the configuration service.
    pub platform: SocketAddr,
    /// Peers to ask while the configuration service is silent.
    pub seeds: Vec<Ipv4Addr>,
    /// The certificate chain that an agent shows to callers, as a PEM file.
    pub certificate_file: Option<PathBuf>,
    /// The certificate's private key, as a PEM file.
    pub key_file: Option<PathBuf>,
    /// For how long a leaving agent waits for its flows to end, in seconds.
    pub drain_limit_s: u64,
    /// What flows of opaque packets need beside the rest.
    pub opaque: OpaqueSettings,
    /// The least level of log lines.
    pub log_level: log::LevelFilter,
    /// The file of log lines; standard error where absent.
    pub log_file: Option<PathBuf>,
}

/// The settings of the section `opaque`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OpaqueSettings {
    /// Where a balancer receives the packets of callers; answers go to the same port of theirs.
    pub listen: Option<SocketAddr>,
    /// Where the platform asks whether this process takes traffic.
    pub ready: Option<SocketAddr>,
    /// Where an agent's backend server takes packets.
    pub backend: Option<SocketAddrV4>,
    /// Where that backend server sends its packets.
    pub outbound: Option<SocketAddrV4>,
    /// The service for which that backend server was set up.
    pub service: Option<String>,
    /// The longest life of a flow, after which what is known of it may be forgotten, in seconds.
    pub flow_lifetime_s: u64,
    /// Whether the whole site starts for the first time, so that no flow is older than this process.
    pub fresh_site: bool,
}

impl OpaqueSettings {
    /// Returns the longest life of a flow in milliseconds.
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
    /// Returns code 5001 for an unreadable file and 3001 to 3004 for its contents.
    pub fn load(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::new(Code::Io, format!("{}: {error}", path.display())))?;
        Settings::parse(&text)
    }

    /// Tells whether other settings than the level of log lines differ from those of `new`.
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

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns a code from 3001 to 3004 whose message names the line.
    pub fn parse(text: &str) -> Result<Settings> {
        let ini = Ini::load_from_str(text)
            .map_err(|error| Error::new(Code::SettingsSyntax, error.to_string()))?;
        let view = View { ini: &ini, text };
        view.check_known()?;
        Ok(Settings {
            host: view.required("process", "host", "an IPv4 address")?,
            zone: view.zone()?,
            control_port: view.port("control_port", 4700)?,
            datagram_port: view.port("datagram_port", 4701)?,
            metrics_port: view.port("metrics_port", 4702)?,
            bind_ip: view.optional("balancer", "bind_ip", "an IPv4 address")?,
            cluster_key: view.cluster_key()?,
            platform: view.required("platform", "address", "IP:PORT")?,
            seeds: view.seeds()?,
            certificate_file: view.optional("agent", "certificate_file", "a path")?,
            key_file: view.optional("agent", "key_file", "a path")?,
            drain_limit_s: view.number("agent", "drain_limit_s", 43_200, 1..=604_800)?,
            opaque: view.opaque()?,
            log_level: view.log_level()?,
            log_file: view.optional("log", "file", "a path")?,
        })
    }
}

struct View<'a> {
    ini: &'a Ini,
    text: &'a str,
}

impl View<'_> {
    fn get(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key)
    }

    fn check_known(&self) -> Result<()> {
        for (section, properties) in self.ini.iter() {
            for (key, _) in properties.iter() {
                let section = section.unwrap_or("");
                if !KNOWN_KEYS.contains(&(section, key)) {
                    let message = format!("{}: [{section}] {key}", self.place(section, key));
                    return Err(Error::new(Code::SettingsUnknown, message));
                }
            }
        }
        Ok(())
    }

    /// Names the line of a key, which the INI library does not keep.
    fn place(&self, section: &str, key: &str) -> String {
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

    fn invalid(&self, section: &str, key: &str, wanted: &str) -> Error {
        let value = self.get(section, key).unwrap_or("");
        let shown = if section == "keys" {
            "the value"
        } else {
            value
        };
        let place = self.place(section, key);
        let message = format!("{place}: [{section}] {key}: {shown:?} is not {wanted}");
        Error::new(Code::SettingsValue, message)
    }

    fn missing(section: &str, key: &str) -> Error {
        Error::new(Code::SettingsMissing, format!("[{section}] {key}"))
    }

    fn optional<T: std::str::FromStr>(
        &self,
        section: &str,
        key: &str,
        wanted: &str,
    ) -> Result<Option<T>> {
        let Some(value) = self.get(section, key) else {
            return Ok(None);
        };
        let parsed = value.parse();
        parsed
            .map(Some)
            .map_err(|_| self.invalid(section, key, wanted))
    }

    fn required<T: std::str::FromStr>(&self, section: &str, key: &str, wanted: &str) -> Result<T> {
        let value = self.optional(section, key, wanted)?;
        value.ok_or_else(|| Self::missing(section, key))
    }

    fn number(
        &self,
        section: &str,
        key: &str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> Result<u64> {
        let wanted = format!("a whole number from {} to {}", range.start(), range.end());
        let number = self.optional(section, key, &wanted)?.unwrap_or(default);
        if range.contains(&number) {
            Ok(number)
        } else {
            Err(self.invalid(section, key, &wanted))
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
        // All hosts serve control links on one port, so that a port beside an address tells nothing.
        let addresses = names.map(|name| name.split(':').next().unwrap_or(name));
        let seeds: std::result::Result<Vec<Ipv4Addr>, _> = addresses.map(str::parse).collect();
        seeds.map_err(|_| self.invalid("peers", "seeds", "a list of IPv4 addresses"))
    }

    fn log_level(&self) -> Result<log::LevelFilter> {
        let level = self.optional("log", "level", "off, error, warn, info, debug or trace")?;
        Ok(level.unwrap_or(log::LevelFilter::Info))
    }
}
