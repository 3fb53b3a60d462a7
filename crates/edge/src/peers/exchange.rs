//! HTTP exchange with another instance, on a QUIC stream of its own.

use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1, Request, Response};
use hyper_util::rt::TokioIo;

/// Maximum size of the read buffer of an exchange, in bytes.
pub(super) const READ_BYTES: usize = 32 * 1024;

/// Reason why an exchange yielded no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// Nothing was sent.
    NotSent,
    /// The exchange broke; the other instance may have received the request.
    Broken(String),
}

/// Sends a request to an instance and waits for the head of the response.
pub(crate) async fn exchange(
    node: &Node,
    member: &str,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, ExchangeError> {
    let link = node
        .links
        .connection(member)
        .ok_or(ExchangeError::NotSent)?;
    let guard = link.exchange_guard();
    let (send, receive) = tokio::select! {
        opened = link.connection.open_bi() => opened.map_err(|_| ExchangeError::NotSent)?,
        () = link.silent() => return Err(ExchangeError::NotSent),
    };
    let io = TokioIo::new(tokio::io::join(receive, send));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BYTES);
    let (mut sender, driver) = builder
        .handshake(io)
        .await
        .map_err(|_| ExchangeError::NotSent)?;
    tokio::task::spawn_local(async move {
        // Errors of the driver are also returned by the request that they affect.
        drop(driver.await);
        drop(guard);
    });
    tokio::select! {
        response = sender.send_request(request) => {
            response.map_err(|err| ExchangeError::Broken(err.to_string()))
        }
        () = link.silent() => Err(ExchangeError::Broken("the link is silent".to_owned())),
    }
}
