//! Receives datagrams, messages and requests on a link.

use super::link::{Link, RequestGuard};
use super::shared::Shared;
use super::{document, forward};
use carobwheel_wire::peer::{
    decode_head, Request, LENGTH_BYTES, MAX_HEAD_BYTES, MAX_MESSAGE_BYTES,
};
use serde::de::DeserializeOwned;
use std::{rc::Rc, time::Duration};
use tokio::{task::spawn_local, time::timeout};

/// Timeout for receiving a complete message or head.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves a link until it closes, then removes it from the table.
pub(super) async fn run_link(shared: Rc<Shared>, link: Rc<Link>) {
    let connection = link.connection.clone();
    loop {
        let is_open = tokio::select! {
            datagram = connection.read_datagram() => datagram
                .map(|bytes| shared.receive(&link, &bytes))
                .is_ok(),
            stream = connection.accept_uni() => stream
                .map(|stream| {
                    spawn_local(receive_message(Rc::clone(&shared), Rc::clone(&link), stream));
                })
                .is_ok(),
            streams = connection.accept_bi() => streams
                .map(|(send, receive)| {
                    spawn_local(serve_request(Rc::clone(&shared), Rc::clone(&link), send, receive));
                })
                .is_ok(),
            () = shared.cancel.cancelled() => false,
        };
        if !is_open {
            break;
        }
    }
    shared.remove_link(&link);
}

async fn receive_message(shared: Rc<Shared>, link: Rc<Link>, mut stream: quinn::RecvStream) {
    let read = timeout(READ_TIMEOUT, stream.read_to_end(MAX_MESSAGE_BYTES)).await;
    if let Ok(Ok(bytes)) = read {
        shared.receive(&link, &bytes);
    }
}

async fn serve_request(
    shared: Rc<Shared>,
    link: Rc<Link>,
    send: quinn::SendStream,
    mut receive: quinn::RecvStream,
) {
    let _guard = RequestGuard::new(&link);
    let read = timeout(READ_TIMEOUT, read_head::<Request>(&mut receive)).await;
    link.record_received();
    match read.unwrap_or_default() {
        Some(Request::Document {
            above_revision,
            base_revision,
        }) => document::serve(&shared, above_revision, base_revision, send).await,
        Some(Request::Forward { head }) => {
            forward::serve(&shared, &link, head, send, receive).await;
        }
        None => {}
    }
}

/// Reads a length-prefixed head. Returns `None` if the stream ends early or the head is too large
/// or invalid.
pub(super) async fn read_head<T: DeserializeOwned>(stream: &mut quinn::RecvStream) -> Option<T> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await.ok()?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_HEAD_BYTES {
        return None;
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.ok()?;
    decode_head(&bytes)
}
