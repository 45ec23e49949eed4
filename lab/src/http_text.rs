//! Short text answers of the stand-ins, and short questions to them.

use std::net::SocketAddr;

use bytes::Bytes;
use endivedyke::Result;
use http::{Request, Response, StatusCode};
use http_body_util::Full;

/// How long a stand-in may take to answer, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;

/// Makes an answer of a status and a text.
pub(crate) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Asks a stand-in and returns its answer's text.
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
        .map_err(|error| endivedyke::Error::new(endivedyke::Code::Io, error.to_string()))?;
    let response = endivedyke::send_http_request(address, request, TIMEOUT_MS).await?;
    Ok(String::from_utf8_lossy(response.body()).into_owned())
}

/// Sums the values of a metric over its labels in what a daemon's `/metrics` shows.
pub(crate) fn metric_sum(text: &str, name: &str) -> f64 {
    let prefix = format!("endivedyke_{name}");
    let labelled = format!("{prefix}{{");
    let values = text.lines().filter_map(|line| {
        let (series, value) = line.rsplit_once(' ')?;
        let named = series == prefix || series.starts_with(&labelled);
        named.then(|| value.parse::<f64>().unwrap_or(0.0))
    });
    values.sum()
}
