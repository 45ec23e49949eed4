//! Answers the platform's question whether this process takes traffic.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::TcpListener;
use http::{Response, StatusCode};
use http_body_util::Full;

use crate::controllers::control_plane::ControlPlane;
use crate::error::Result;
use crate::process::http_server;

/// Whether a process takes traffic.
pub(crate) type Ready = Rc<Cell<bool>>;

/// Binds the address of the settings and answers there from now on.
pub(crate) async fn serve(control: &ControlPlane) -> Result<Ready> {
    let ready = Ready::default();
    let Some(address) = control.settings.opaque.ready else {
        return Ok(ready);
    };
    let listener = TcpListener::bind(address).await?;
    let told = ready.clone();
    let answer = move |_request| {
        let status = if told.get() {
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

/// Says that a process takes traffic from now on.
pub(crate) fn announce(control: &ControlPlane, ready: &Ready) {
    ready.set(true);
    let revision = control.store.borrow().digest().highest;
    log::info!("event=ready revision={revision}");
}
