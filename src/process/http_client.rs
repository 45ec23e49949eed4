//! An HTTP/1.1 client without TLS, for the configuration service and backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;

use crate::code::Code;
use crate::error::{Error, Result};

/// The longest response body: a page of the users' platform holds about a megabyte, its last value
/// may add another megabyte, and base64 adds a third to both.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Opens an HTTP/1.1 connection and returns its request sender.
///
/// # Errors
///
/// Returns code 5001 if the connection fails.
pub async fn connect<B>(address: SocketAddr) -> Result<http1::SendRequest<B>>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
{
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(HyperStream::new_plain(stream)).await;
    let (sender, connection) = handshake.map_err(io_error)?;
    compio::runtime::spawn(async move {
        // The sender returns the same error, so it is not reported here.
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}

/// Sends a request on a connection of its own and reads the whole response.
///
/// # Errors
///
/// Returns code 5001 if the exchange fails or exceeds `timeout_ms`, and code 5006 if the response
/// is too large.
pub async fn send_request(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout_ms: u64,
) -> Result<Response<Bytes>> {
    let exchange = async {
        let mut sender = connect(address).await?;
        let response = sender.send_request(request).await.map_err(io_error)?;
        read_body(response).await
    };
    let result = compio::time::timeout(Duration::from_millis(timeout_ms), exchange).await;
    result.unwrap_or_else(|_| {
        Err(Error::new(
            Code::Io,
            format!("{address}: no answer within {timeout_ms} ms"),
        ))
    })
}

/// Sends a GET request for `path` and reads the whole response.
///
/// # Errors
///
/// Returns the errors of [`send_request`].
pub async fn get(address: SocketAddr, path: &str, timeout_ms: u64) -> Result<Response<Bytes>> {
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::default());
    let request =
        request.map_err(|error| Error::new(Code::Io, format!("GET {path:?}: {error}")))?;
    send_request(address, request, timeout_ms).await
}

async fn read_body(response: Response<Incoming>) -> Result<Response<Bytes>> {
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| {
        let code = match error.is::<LengthLimitError>() {
            true => Code::AnswerTooLarge,
            false => Code::Io,
        };
        Error::new(code, error.to_string())
    })?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}

/// Converts an error of the HTTP library to code 5001.
pub(crate) fn io_error(error: hyper::Error) -> Error {
    Error::new(Code::Io, error.to_string())
}
