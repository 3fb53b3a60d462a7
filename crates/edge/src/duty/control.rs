//! One call to the control address.

use super::{DutyInterface, DutyOutcome, DutyRequest};
use bytes::Bytes;
use carobwheel_core::duty::DutyToken;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    client::conn::http1,
    header::{CONTENT_TYPE, HOST},
    Request,
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::{cell::Cell, future::Future, io, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Maximum size of the body of a response, in bytes. The body is read and discarded.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// End of a call.
#[derive(Debug)]
pub(super) struct CallReport {
    /// Token with which it was sent; `None` if it was not sent.
    pub(super) token: Option<DutyToken>,
    /// Whether it was not sent since the term had ended.
    pub(super) is_denied: bool,
    /// What is known of it.
    pub(super) outcome: DutyOutcome,
}

/// Makes a call on a connection of its own. `permit` is asked immediately before the first byte is
/// written.
pub(super) async fn call(
    address: &str,
    holder: &str,
    interface: &DutyInterface,
    request: DutyRequest,
    limit: Duration,
    permit: impl FnOnce() -> Option<DutyToken>,
) -> CallReport {
    let token = Cell::new(None);
    let is_denied = Cell::new(false);
    let exchange = async {
        let stream = connect(address).await.map_err(not_sent)?;
        let (mut sender, connection) = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream))
            .await
            .map_err(not_sent)?;
        let Some(permitted) = permit() else {
            is_denied.set(true);
            return Err(not_sent("the term has ended"));
        };
        token.set(Some(permitted));
        let request = Request::post(request.path)
            .header(HOST, address)
            .header(CONTENT_TYPE, "application/json")
            .header(&interface.holder, holder)
            .header(&interface.token, permitted.0)
            .body(Full::new(request.body.into()))
            .map_err(no_response)?;
        // The connection is driven in this task, so that no other task runs between the permit and
        // the write.
        let response = sender.send_request(request);
        let status = async {
            let response = response.await.map_err(no_response)?;
            let status = response.status().as_u16();
            drop(
                Limited::new(response.into_body(), MAX_BODY_BYTES)
                    .collect()
                    .await,
            );
            Ok((interface.decode)(status))
        };
        drive(status, connection).await
    };
    let outcome = match timeout(limit, exchange).await {
        Ok(Ok(outcome) | Err(outcome)) => outcome,
        Err(_) if token.get().is_some() => no_response("timeout"),
        Err(_) => not_sent("timeout"),
    };
    CallReport {
        token: token.get(),
        is_denied: is_denied.get(),
        outcome,
    }
}

fn not_sent(reason: impl ToString) -> DutyOutcome {
    DutyOutcome::NotSent(reason.to_string())
}

fn no_response(reason: impl ToString) -> DutyOutcome {
    DutyOutcome::NoResponse(reason.to_string())
}

/// Opens a connection. What is left in its buffers is discarded when it is closed, so that a call that
/// was given up is not transmitted later.
async fn connect(address: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Runs `work` beside the connection that it needs.
async fn drive<T>(work: impl Future<Output = T>, connection: impl Future) -> T {
    tokio::pin!(work, connection);
    let mut is_open = true;
    loop {
        tokio::select! {
            biased;
            result = &mut work => return result,
            _ = &mut connection, if is_open => is_open = false,
        }
    }
}
