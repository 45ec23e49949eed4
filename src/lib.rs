//! endivedyke: a layer-4 load balancer for moving traffic onto a new system while an older one
//! still serves the same site.
//!
//! The library holds everything; the programs `endivedyke-balancer`, `endivedyke-agent` and
//! `endivedyke` call one `run` function each. Decisions are plain structs that are told the time
//! and a random source and do no input or output; around them stand controllers, which keep state,
//! and filters, through which requests pass. See docs/DESIGN.md.

mod admission;
mod agent;
mod agent_datagrams;
mod answer;
mod backend;
mod balancer;
mod caller_body;
mod clock;
mod code;
mod config_store;
mod control;
mod counted_stream;
mod daemon;
mod delta;
mod drain_signal;
mod envelope;
mod error;
mod explain;
mod flow;
mod flow_history;
mod flow_socket;
mod hash;
mod health;
mod hosts;
mod http_client;
mod http_server;
mod keys;
mod ledger;
mod link;
mod link_auth;
mod load_board;
mod load_exchange;
mod local_run;
mod log_budget;
mod log_output;
mod logging;
mod membership;
mod metrics;
mod move_request;
mod move_share;
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
mod node_codec;
mod node_server;
pub mod opaque;
mod operator;
mod packet;
mod peer_request;
mod peer_service;
mod peers;
mod placement;
mod platform;
mod platform_reader;
mod quic_endpoint;
mod relay;
mod reload;
mod repeatable;
mod request;
mod request_spec;
mod retry_budget;
mod return_path;
mod run_once;
mod sealed_id;
mod service_id;
mod settings;
mod slot_queue;
mod slots;
mod state_view;
mod stateless_reset;
mod steering;
mod suspicion;
mod table;
mod table_diff;
mod target;
mod timer;
mod timers;
mod token_source;
mod udp;

pub use crate::admission::{Admission, Decision, Handed, Opener, RAMP_MS};
pub use crate::code::Code;
pub use crate::config_store::{
    Acceptance, ConfigStore, Digest, HOSTS_NAME, KEYS_NAME, TABLE_PREFIX, ValueUpdate,
};
pub use crate::daemon::{
    EXIT_USAGE, run_agent, run_balancer, run_opaque_agent, run_opaque_balancer,
};
pub use crate::delta::Delta;
pub use crate::envelope::{ENVELOPE_BYTES, Envelope, EnvelopeKey, EnvelopeKind};
pub use crate::error::{Error, Result};
pub use crate::explain::{LogLine, explain, parse_log};
pub use crate::hash::{bytes_hash, name_hash};
pub use crate::health::Health;
pub use crate::hosts::{HOSTS_HEADER, Host, HostList, HostRole, HostState};
pub use crate::http_client::{call, connect, get};
pub use crate::http_server::{serve, serve_connection};
pub use crate::keys::{CLUSTER_KEY_BYTES, ClusterKey, KEYS_HEADER, KeyRing};
pub use crate::ledger::{Begin, KeptAnswer, Ledger, MAX_KEPT_ANSWER_BYTES, MAX_KEPT_BYTES};
pub use crate::link_auth::{LinkSide, authenticate};
pub use crate::load_board::{
    FULL_SHARE_PERMILLE, KnownLoad, LoadBoard, LoadReport, REPORT_MAX_AGE_MS,
};
pub use crate::log_budget::LogBudget;
pub use crate::membership::{PEER_LINKS, READERS_PER_ZONE, links, readers};
pub use crate::move_share::{BusyStanding, MoveShare};
pub use crate::operator::run_operator;
pub use crate::packet::{PacketView, parse as parse_packet};
pub use crate::placement::{Candidates, candidates, ranked};
pub use crate::platform::{PlatformChanges, read_value, watch};
pub use crate::request_spec::{
    CODE_HEADER, REPEATABLE_HEADER, RequestSpec, TICKET_HEADER, TIMEOUT_HEADER,
};
pub use crate::retry_budget::RetryBudget;
pub use crate::return_path::ReturnPath;
pub use crate::sealed_id::{Purpose, SEALED_ID_BYTES, SealedBytes, SealedId};
pub use crate::service_id::ServiceId;
pub use crate::settings::Settings;
pub use crate::slots::{Arrival, Next, Refusal, RequestId, Slots};
pub use crate::steering::{Route, owner, steer};
pub use crate::suspicion::{ANSWER_TIMEOUT_MS, SUSPICION_MS, Suspicion};
pub use crate::table::{Row, TABLE_HEADER, Table, parse_tables};
pub use crate::table_diff::{RowChange, TableDiff};
pub use crate::timer::{PAUSE_MS, TimerEvent, TimerId, TimerService};
pub use crate::udp::bind as bind_udp;
