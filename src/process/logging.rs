//! Sets up logging: one line for each change of state, with its time, level and source module.

use std::path::Path;

use prometheus_client::metrics::counter::Counter;

use crate::code::Code;
use crate::error::{Error, Result};
use crate::process::clock::unix_time_ms;
use crate::process::log_output::LogOutput;

/// The modules whose `part` field differs from their name, sorted by module path.
///
/// The field keeps its values when modules are renamed, since operators and tools search log lines
/// by them.
const PART_NAMES: [(&str, &str); 14] = [
    ("endivedyke::controllers::control_plane", "control"),
    ("endivedyke::opaque::flow_agent", "keeper"),
    ("endivedyke::opaque::flow_agent::backend_packets", "answers"),
    (
        "endivedyke::opaque::flow_agent::backend_process",
        "backend_life",
    ),
    ("endivedyke::opaque::flow_agent::hand_on", "handing_on"),
    (
        "endivedyke::opaque::flow_agent::held_back_requests",
        "held_requests",
    ),
    ("endivedyke::opaque::flow_agent::lookups", "questions"),
    ("endivedyke::opaque::flows::flow_table", "flow_book"),
    ("endivedyke::opaque::forwarder::sent_openers", "watched"),
    ("endivedyke::opaque::processes::agent", "side"),
    ("endivedyke::opaque::processes::balancer", "entry"),
    ("endivedyke::opaque::values::settle_state", "settling"),
    ("endivedyke::opaque::values::value_sync", "published"),
    ("endivedyke::quic::agent_lifecycle", "agent_run"),
];

/// Starts logging of lines at `level` and above, to a file or else to standard output.
///
/// # Errors
///
/// Returns code 5001 if the log file can't be opened or logging was already started.
pub(crate) fn start(level: log::LevelFilter, file: Option<&Path>, dropped: &Counter) -> Result<()> {
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Error)
        .level_for("endivedyke", level)
        // The adapter of the platform is a crate of its own.
        .level_for("endivedyke_platform", level)
        .format(|out, message, record| {
            out.finish(format_args!(
                "time_ms={} level={} part={} {message}",
                unix_time_ms(),
                record.level(),
                part_name(record.target())
            ));
        });
    let dispatch = match file {
        Some(path) => dispatch.chain(fern::log_file(path)?),
        None => {
            let output = LogOutput::new(dropped);
            dispatch.chain(fern::Output::call(move |record| output.write(record)))
        }
    };
    let applied = dispatch.apply();
    applied.map_err(|error| Error::new(Code::Io, error.to_string()))
}

/// Returns the `part` field for a module path: its entry in [`PART_NAMES`], else its last segment.
fn part_name(target: &str) -> &str {
    match PART_NAMES.binary_search_by_key(&target, |&(path, _)| path) {
        Ok(index) => PART_NAMES[index].1,
        Err(_) => target.rsplit("::").next().unwrap_or(target),
    }
}
