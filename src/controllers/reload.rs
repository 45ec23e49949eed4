//! Reads the settings again when the process is told that they have changed.

use std::path::Path;
use std::rc::Rc;

use crate::config::settings::Settings;
use crate::controllers::control_plane::ControlPlane;

const SIGHUP: i32 = 1;

/// Reads the settings file again on each hangup signal, forever.
///
/// The level of log lines is taken at once; what is bound to sockets or identity needs a restart, and
/// the line says so. A file that can't be used changes nothing.
pub(crate) async fn run(control: Rc<ControlPlane>, path: &Path) {
    // Without any listener a hangup ends the process, also between two waits of the loop. This one is
    // registered by its first poll and never completes, as it is not polled again.
    let mut held = std::pin::pin!(compio::signal::unix::signal(SIGHUP));
    let _ = futures_util::poll!(held.as_mut());
    loop {
        if let Err(error) = compio::signal::unix::signal(SIGHUP).await {
            log::error!("event=no_signals signal={SIGHUP} error={error}");
            return;
        }
        match Settings::load(path) {
            Ok(settings) => apply(&control.settings, &settings),
            Err(error) => log::error!("event=reload outcome=rejected error={error}"),
        }
    }
}

fn apply(old: &Settings, new: &Settings) {
    log::set_max_level(new.log_level);
    let outcome = if old.needs_restart(new) {
        "restart_needed"
    } else {
        "in_force"
    };
    log::info!("event=reload outcome={outcome} log_level={}", new.log_level);
}
