//! A plain HTTP/1.1 server, as for `/metrics`.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;

/// Serves every connection of `listener` with `answer`, forever.
pub async fn serve<A, F, B>(listener: TcpListener, answer: A)
where
    A: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
{
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let answer = answer.clone();
        let served = serve_connection(stream, move |request| answer(request));
        compio::runtime::spawn(served).detach();
    }
}

/// Serves one connection with `answer` until it closes.
pub async fn serve_connection<A, F, B>(stream: TcpStream, answer: A)
where
    A: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let response = answer(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .serve_connection(HyperStream::new_plain(stream), service);
    // A failed connection concerns its client alone, which sees it too.
    let _ = connection.await;
}
