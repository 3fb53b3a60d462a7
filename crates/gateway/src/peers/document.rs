//! The document, served to peers and fetched from them.

use super::dial::link_to;
use super::handle::Inbound;
use super::link::{Link, RequestGuard};
use super::serve::read_head;
use super::shared::Shared;
use bytes::Bytes;
use carobwheel_core::{document::MAX_DOCUMENT_BYTES, id::InstanceId};
use carobwheel_wire::peer::{encode_head, DocumentHead, Request};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::timeout;

/// Time within which a document has to arrive whole.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The document that peers may fetch from this instance.
#[derive(Clone, Debug)]
pub struct ServedDocument {
    /// Revision of the document.
    pub revision: u64,
    /// The document as published.
    pub bytes: Bytes,
}

/// Answers a peer that asks for a higher revision than its own.
pub(super) async fn serve(shared: &Shared, above_revision: u64, mut send: quinn::SendStream) {
    let served = shared.document.load_full();
    let newer = served.filter(|document| document.revision > above_revision);
    let revision = newer.as_ref().map_or(0, |document| document.revision);
    let bytes = newer.map_or_else(Bytes::new, |document| document.bytes.clone());
    let Ok(length_bytes) = u32::try_from(bytes.len()) else {
        return;
    };
    let head = DocumentHead {
        revision,
        length_bytes,
    };
    let Some(head) = encode_head(&head) else {
        return;
    };
    let answer = async {
        send.write_all(&head).await.ok()?;
        send.write_chunk(bytes).await.ok()?;
        send.finish().ok()?;
        send.stopped().await.ok()
    };
    // A peer that does not take the document in time asks again.
    let _ = timeout(FETCH_TIMEOUT, answer).await;
}

/// Fetches the document from a peer, and delivers it or the failure.
pub(super) async fn fetch(
    shared: Rc<Shared>,
    from: InstanceId,
    addr: SocketAddr,
    above_revision: u64,
) {
    let fetched = timeout(FETCH_TIMEOUT, async {
        let link = link_to(&shared, &from, addr).await?;
        fetch_over(&link, above_revision).await
    });
    let inbound = match fetched.await.unwrap_or_default() {
        Some((revision, bytes)) => Inbound::Document {
            from,
            revision,
            bytes,
        },
        None => Inbound::DocumentFailed { from },
    };
    shared.deliver(inbound);
}

async fn fetch_over(link: &Rc<Link>, above_revision: u64) -> Option<(u64, Bytes)> {
    let _guard = RequestGuard::new(link);
    let (mut send, mut receive) = link.connection.open_bi().await.ok()?;
    let request = encode_head(&Request::Document { above_revision })?;
    send.write_all(&request).await.ok()?;
    send.finish().ok()?;
    let head: DocumentHead = read_head(&mut receive).await?;
    link.note_received();
    if head.revision <= above_revision {
        return None;
    }
    let bytes = receive.read_to_end(MAX_DOCUMENT_BYTES).await.ok()?;
    link.note_received();
    (bytes.len() == head.length_bytes as usize).then(|| (head.revision, bytes.into()))
}
