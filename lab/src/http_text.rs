//! HTTP requests and responses with short text bodies, as the stand-ins use them.

use std::net::SocketAddr;

use bytes::Bytes;
use endivedyke::Result;
use http::{Request, Response, StatusCode};
use http_body_util::Full;

const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// Returns a response with a status and a text body.
pub(crate) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Sends a request and returns the text of the response body.
pub(crate) async fn request_text(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<String> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::from(body.to_owned()))
        .map_err(|error| {
            endivedyke::Error::new(endivedyke::Code::Io, format!("{method} {path:?}: {error}"))
        })?;
    let response = endivedyke::send_http_request(address, request, REQUEST_TIMEOUT_MS).await?;
    Ok(String::from_utf8_lossy(response.body()).into_owned())
}

/// Returns the sum of a metric's values over its labels, from the text of a daemon's `/metrics`.
pub(crate) fn metric_sum(text: &str, name: &str) -> f64 {
    let prefix = format!("endivedyke_{name}");
    let labelled = format!("{prefix}{{");
    let values = text.lines().filter_map(|line| {
        let (series, value) = line.rsplit_once(' ')?;
        let is_match = series == prefix || series.starts_with(&labelled);
        is_match.then(|| value.parse::<f64>().unwrap_or(0.0))
    });
    values.sum()
}
