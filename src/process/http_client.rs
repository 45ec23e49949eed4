//! Plain HTTP/1.1 requests, as towards the configuration service.

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

/// The longest answer that is taken, in bytes: a page of the users' platform holds about a megabyte, of which the
/// last value may bring another one, and both grow by a third as base64.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Opens a connection on which requests can be sent.
///
/// # Errors
///
/// Returns code 5001 where the connection can't be made.
pub async fn connect<B>(address: SocketAddr) -> Result<http1::SendRequest<B>>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
{
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(HyperStream::new_plain(stream)).await;
    let (sender, connection) = handshake.map_err(io_error)?;
    compio::runtime::spawn(async move {
        // The sender sees the same failure, so it is reported there.
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}

/// Sends a request with an empty or whole body and reads the whole answer.
///
/// # Errors
///
/// Returns code 5001 for a failure and after `timeout_ms`.
pub async fn send_request(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout_ms: u64,
) -> Result<Response<Bytes>> {
    let exchange = async {
        let mut sender = connect(address).await?;
        let response = sender.send_request(request).await.map_err(io_error)?;
        collect(response).await
    };
    let result = compio::time::timeout(Duration::from_millis(timeout_ms), exchange).await;
    result.unwrap_or_else(|_| Err(Error::new(Code::Io, format!("{address}: timed out"))))
}

/// Gets a path and reads the whole answer.
///
/// # Errors
///
/// Returns code 5001 for a failure and after `timeout_ms`.
pub async fn get(address: SocketAddr, path: &str, timeout_ms: u64) -> Result<Response<Bytes>> {
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::default());
    let request = request.map_err(|error| Error::new(Code::Io, error.to_string()))?;
    send_request(address, request, timeout_ms).await
}

async fn collect(response: Response<Incoming>) -> Result<Response<Bytes>> {
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

/// Makes an error of the HTTP library one of ours.
pub(crate) fn io_error(error: hyper::Error) -> Error {
    Error::new(Code::Io, error.to_string())
}
