//! Exchanges with large request bodies.
//!
//! An upstream may answer before it has read such a body. If its answer has no length, the end of the
//! connection ends it, and counts only once the body was written; see [`UpstreamStream`]. The HTTP client
//! of the other exchanges gives no access to its connections, so that each of these has one of its own.

use super::{
    client::{self, CONNECT_TIMEOUT},
    exchange::error_of,
    ExchangeError,
};
use bytes::Bytes;
use carobwheel_edge::dispatch::UpstreamStream;
use http_body_util::Full;
use hyper::{
    client::conn::http1,
    header::{HeaderValue, HOST},
    Request, Uri,
};
use hyper_util::rt::TokioIo;
use reqwest::{Body, Response};
use std::io;
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

/// Scheme of the upstreams whose connections are not encrypted.
const PLAIN_SCHEME: &str = "http";
const PLAIN_PORT: u16 = 80;

/// Whether a request to this address with a body of `body_bytes` is such an exchange.
pub(super) fn is_upload(uri: &Uri, body_bytes: usize) -> bool {
    client::is_large(body_bytes) && uri.scheme_str() == Some(PLAIN_SCHEME)
}

/// Sends a request on a new connection, and waits for the head of the response. Dropping the future closes
/// the connection.
pub(super) async fn send(request: Request<Full<Bytes>>) -> Result<Response, ExchangeError> {
    let stream = connect(request.uri()).await?;
    client::set_liveness(&stream).map_err(|err| ExchangeError::NotConnected(err.to_string()))?;
    let io = TokioIo::new(UpstreamStream::new(stream));
    let handshake = http1::handshake(io).await;
    let (mut sender, driver) = handshake.map_err(|err| error_of(&err))?;
    // Errors of the driver are also returned by the request that they affect.
    spawn_local(async move { drop(driver.await) });
    let response = sender.send_request(in_origin_form(request)).await;
    let response = response.map_err(|err| error_of(&err))?;
    Ok(response.map(Body::wrap).into())
}

async fn connect(uri: &Uri) -> Result<TcpStream, ExchangeError> {
    let host = uri.host().unwrap_or_default();
    let address = (
        host.trim_matches(['[', ']']),
        uri.port_u16().unwrap_or(PLAIN_PORT),
    );
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
            Err(ExchangeError::ConnectionRefused)
        }
        Ok(Err(err)) => Err(ExchangeError::NotConnected(err.to_string())),
        Err(_) => Err(ExchangeError::NotConnected("no answer in time".to_owned())),
    }
}

/// Moves the host from the target to its header.
fn in_origin_form(mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let authority = request.uri().authority().map(ToString::to_string);
    let host = authority.and_then(|authority| HeaderValue::try_from(authority).ok());
    if let Some(host) = host {
        request.headers_mut().insert(HOST, host);
    }
    let target = request.uri().path_and_query().cloned();
    *request.uri_mut() = target.map_or_else(Uri::default, Uri::from);
    request
}
