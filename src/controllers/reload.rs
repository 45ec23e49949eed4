//! Reloads the settings on a hangup signal.

use std::path::Path;
use std::rc::Rc;

use crate::config::settings::Settings;
use crate::controllers::control_plane::ControlPlane;

const SIGHUP: i32 = 1;

/// Reloads the settings file on each hangup signal, forever.
///
/// The log level is applied at once. Settings of sockets and identity need a restart, which the log
/// line reports. An invalid file changes nothing.
pub(crate) async fn run(control: Rc<ControlPlane>, path: &Path) {
    // A hangup without a listener ends the process, also between two waits of the loop. This
    // listener is registered by its first poll and stays, as it is not polled again.
    let mut listener = std::pin::pin!(compio::signal::unix::signal(SIGHUP));
    let _ = futures_util::poll!(listener.as_mut());
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
