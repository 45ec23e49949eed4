//! endivedyke: a layer-4 load balancer for moving traffic onto a new system while an older one
//! still serves the same site.
//!
//! The programs `endivedyke-balancer`, `endivedyke-agent` and `endivedyke` each call one `run` function of this
//! library. Decisions are plain structs without input or output, which get the time and a random source as
//! arguments. Controllers hold the state around them, and filters process the requests. See docs/DESIGN.md.

mod code;
mod config;
mod controllers;
mod decisions;
mod error;
mod explain;
mod links;
mod process;
mod programs;
mod quic;
#[allow(
    clippy::all,
    clippy::ignored_unit_patterns,
    clippy::needless_pass_by_ref_mut,
    dead_code,
    missing_docs,
    rust_2018_idioms,
    unreachable_pub
)]
#[rustfmt::skip]
mod node_capnp;
pub mod opaque;

pub use crate::code::Code;
pub use crate::config::config_store::{
    AcceptOutcome, ConfigStore, Digest, HOSTS_NAME, KEYS_NAME, TABLE_PREFIX, ValueUpdate,
};
pub use crate::config::delta::Delta;
pub use crate::config::hash::{bytes_hash, name_hash};
pub use crate::config::hosts::{HOSTS_HEADER, Host, HostList, HostRole, HostState};
pub use crate::config::incoming_value::IncomingValue;
pub use crate::config::keys::{CLUSTER_KEY_BYTES, ClusterKey, KEYS_HEADER, KeyRing};
pub use crate::config::membership::{
    PEERS_PER_PROCESS, READERS_PER_ZONE, select_peers, select_readers,
};
pub use crate::config::platform::{PlatformChanges, read_value, watch};
pub use crate::config::revision::Revision;
pub use crate::config::sealed_id::{SEALED_ID_BYTES, SealedBytes, SealedId, SealedIdKind};
pub use crate::config::service_id::ServiceId;
pub use crate::config::settings::Settings;
pub use crate::config::table::{TABLE_HEADER, Table, TableRow, parse_tables};
pub use crate::config::table_diff::{RowChange, TableDiff};
pub use crate::config::version_stamp::VersionStamp;
pub use crate::decisions::admission::{Admission, Decision, Opener, OpenerSource, SLOW_START_MS};
pub use crate::decisions::early_openers::{EarlyOpener, EarlyOpeners};
pub use crate::decisions::ledger::{
    BeginOutcome, KeptAnswer, Ledger, MAX_KEPT_ANSWER_BYTES, MAX_KEPT_BYTES,
};
pub use crate::decisions::moved_fraction::{MovedFraction, SlotLoad};
pub use crate::decisions::offers::{Candidate, Offer, TAKES_NONE_WAIT_MS, next_offer};
pub use crate::decisions::peer_loads::{
    FULL_SHARE_PERMILLE, LoadReport, PeerLoad, PeerLoads, REPORT_MAX_AGE_MS,
};
pub use crate::decisions::placement::{Placement, place_opener, rank_targets};
pub use crate::decisions::reported_waits::ReportedWaits;
pub use crate::decisions::retry_budget::RetryBudget;
pub use crate::decisions::service_time::ServiceTimeEstimator;
pub use crate::decisions::slots::{ArrivalOutcome, Dequeued, Refusal, RequestId, Slots};
pub use crate::decisions::stall::{
    MIN_STALL_SILENCE_MS, RECOVERY_RAMP_MS, STALL_CHECK_INTERVAL_MS, STALL_PROBE_TIMEOUT_MS, Stall,
    StallDetector,
};
pub use crate::decisions::suspicion::{ANSWER_TIMEOUT_MS, SUSPICION_MS, Suspicion};
pub use crate::decisions::wait_estimate::WaitEstimate;
pub use crate::decisions::wait_queue::{QueueParams, QueuedItem, WaitQueue};
pub use crate::error::{Error, Result};
pub use crate::explain::{LogLine, explain, parse_log};
pub use crate::links::link_auth::{LinkSide, authenticate};
pub use crate::process::http_client::{
    connect as http_connect, get as http_get, send_request as send_http_request,
};
pub use crate::process::http_server::{
    serve as serve_http, serve_connection as serve_http_connection,
};
pub use crate::process::log_budget::{LogBudget, format_dropped_count};
pub use crate::process::timer_service::{PAUSE_THRESHOLD_MS, TimerEvent, TimerId, TimerService};
pub use crate::process::udp::bind as bind_udp;
pub use crate::programs::daemon::{
    EXIT_USAGE, run_agent, run_balancer, run_opaque_agent, run_opaque_balancer,
};
pub use crate::programs::operator::run_operator;
pub use crate::quic::envelope::{ENVELOPE_BYTES, Envelope, EnvelopeKey, EnvelopeKind};
pub use crate::quic::health::Health;
pub use crate::quic::packet::{PacketView, parse as parse_packet};
pub use crate::quic::request_spec::{
    CODE_HEADER, REPEATABLE_HEADER, RequestSpec, TICKET_HEADER, TIMEOUT_HEADER,
};
pub use crate::quic::return_path::ReturnPath;
pub use crate::quic::steering::{PacketRoute, owner_host, steer};
