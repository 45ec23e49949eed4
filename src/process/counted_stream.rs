//! A stream that counts its bytes in the metrics, since control traffic has a budget.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::io::{AsyncRead, AsyncWrite};

use crate::process::metrics::Metrics;

/// The TCP stream of a control link, which counts the bytes that it reads and writes.
pub(crate) struct CountedStream {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
    metrics: Rc<Metrics>,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, metrics: &Rc<Metrics>) -> Self {
        Self {
            inner: Box::pin(AsyncStream::new(stream)),
            metrics: metrics.clone(),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = self.inner.as_mut().poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = &result {
            self.metrics.control_bytes_received.inc_by(*bytes as u64);
        }
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = self.inner.as_mut().poll_write(context, buffer);
        if let Poll::Ready(Ok(bytes)) = &result {
            self.metrics.control_bytes_sent.inc_by(*bytes as u64);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_close(context)
    }
}
