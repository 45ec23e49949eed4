//! The HTTP endpoint of the platform's readiness checks.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::TcpListener;
use http::{Response, StatusCode};
use http_body_util::Full;

use crate::controllers::control_plane::ControlPlane;
use crate::error::Result;
use crate::process::http_server;

/// Whether a process takes traffic, shared with the endpoint.
pub(crate) type ReadyFlag = Rc<Cell<bool>>;

/// Starts the endpoint at the configured address, if there is one; it answers 503 until the flag is
/// set.
pub(crate) async fn serve(control: &ControlPlane) -> Result<ReadyFlag> {
    let ready = ReadyFlag::default();
    let Some(address) = control.settings.opaque.ready else {
        return Ok(ready);
    };
    let listener = TcpListener::bind(address).await?;
    let answered = ready.clone();
    let answer = move |_request| {
        let status = if answered.get() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let mut response = Response::new(Full::<Bytes>::default());
        *response.status_mut() = status;
        std::future::ready(response)
    };
    compio::runtime::spawn(http_server::serve(listener, answer)).detach();
    Ok(ready)
}

/// Marks the process as ready and logs it.
pub(crate) fn set_ready(control: &ControlPlane, ready: &ReadyFlag) {
    ready.set(true);
    let revision = control.store.borrow().digest().highest;
    log::info!("event=ready revision={revision}");
}
