//! endivedyke: a layer-4 load balancer for moving traffic onto a new system while an older one
//! still serves the same site.
//!
//! The library holds everything; the programs `endivedyke-balancer`, `endivedyke-agent` and
//! `endivedyke` call one `run` function each. Decisions are plain structs that are told the time
//! and a random source and do no input or output; around them stand controllers, which keep state,
//! and filters, through which requests pass. See docs/DESIGN.md.

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
pub use crate::decisions::admission::{Admission, Decision, Handed, Opener, RAMP_MS};
pub use crate::decisions::early_openers::{EarlyOpener, EarlyOpeners};
pub use crate::decisions::known_waits::KnownWaits;
pub use crate::decisions::ledger::{
    Begin, KeptAnswer, Ledger, MAX_KEPT_ANSWER_BYTES, MAX_KEPT_BYTES,
};
pub use crate::decisions::load_board::{
    FULL_SHARE_PERMILLE, KnownLoad, LoadBoard, LoadReport, REPORT_MAX_AGE_MS,
};
pub use crate::decisions::move_share::{BusyStanding, MoveShare};
pub use crate::decisions::offers::{Candidate, Offer, TAKES_NONE_MS, choose};
pub use crate::decisions::placement::{Candidates, candidates, ranked};
pub use crate::decisions::retry_budget::RetryBudget;
pub use crate::decisions::service_time::SlotTime;
pub use crate::decisions::slots::{Arrival, Next, Refusal, RequestId, Slots};
pub use crate::decisions::stall::{
    LEAST_SILENCE_MS, LOOK_MS, PROBE_MS as STALL_PROBE_MS, RAMP_MS as STALL_RAMP_MS, Stall,
    StallWatch,
};
pub use crate::decisions::suspicion::{ANSWER_TIMEOUT_MS, SUSPICION_MS, Suspicion};
pub use crate::decisions::wait_queue::{Pace, WaitQueue, Waiting};
pub use crate::decisions::waiting::Prospect;
pub use crate::error::{Error, Result};
pub use crate::explain::{LogLine, explain, parse_log};
pub use crate::links::link_auth::{LinkSide, authenticate};
pub use crate::process::http_client::{call, connect, get};
pub use crate::process::http_server::{serve, serve_connection};
pub use crate::process::log_budget::{LogBudget, dropped_line};
pub use crate::process::timer::{PAUSE_MS, TimerEvent, TimerId, TimerService};
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
pub use crate::quic::steering::{Route, owner, steer};
