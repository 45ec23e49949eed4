//! Sets up logging: one line for each change of state, with its time, level and source module.

use std::path::Path;

use prometheus_client::metrics::counter::Counter;

use crate::code::Code;
use crate::error::{Error, Result};
use crate::process::clock::unix_time_ms;
use crate::process::log_output::LogOutput;

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
                part(record.target())
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

/// Returns the last segment of a module path.
fn part(target: &str) -> &str {
    target.rsplit("::").next().unwrap_or(target)
}
