//! An HTTP/1.1 server without TLS, for example for `/metrics`.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;

/// Accepts connections of `listener` forever and answers their requests with `handler`.
pub async fn serve<H, F, B>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let handler = handler.clone();
        let connection = serve_connection(stream, move |request| handler(request));
        compio::runtime::spawn(connection).detach();
    }
}

/// Answers the requests of one connection with `handler` until it closes.
pub async fn serve_connection<H, F, B>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .serve_connection(HyperStream::new_plain(stream), service);
    // A failed connection affects only its client, which gets the error too.
    let _ = connection.await;
}
