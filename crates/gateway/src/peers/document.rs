//! Serves the configuration document to peers and fetches it from them.
//!
//! A peer that has one of the last few revisions receives only the difference to it.

use super::dial::link_to;
use super::handle::Inbound;
use super::link::{Link, RequestGuard};
use super::serve::read_head;
use super::shared::Shared;
use bytes::Bytes;
use carobwheel_core::{document::MAX_DOCUMENT_BYTES, id::InstanceId};
use carobwheel_wire::peer::{
    apply_delta, changed_middle, common_ends, encode_head, CommonEnds, DocumentHead, Request,
};
use sha2::{Digest, Sha256};
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Timeout for transferring a complete document.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Earlier revisions retained as bases of differences.
const MAX_EARLIER_REVISIONS: usize = 2;

/// One revision of the document, as published.
#[derive(Clone, Debug)]
struct Revision {
    number: u64,
    bytes: Bytes,
}

/// The newest document that peers may fetch from this instance, with earlier revisions.
#[derive(Clone, Debug)]
pub(super) struct ServedDocument {
    newest: Revision,
    sha256: [u8; 32],
    earlier: Vec<Revision>,
}

impl ServedDocument {
    /// Creates the served state for the revision `number`. The newest revision of `before` becomes
    /// the latest earlier one.
    pub(super) fn new(number: u64, bytes: Bytes, before: Option<&Self>) -> Self {
        let mut earlier: Vec<Revision> = before
            .into_iter()
            .flat_map(|before| std::iter::once(&before.newest).chain(&before.earlier))
            .filter(|revision| revision.number < number)
            .cloned()
            .collect();
        earlier.truncate(MAX_EARLIER_REVISIONS);
        Self {
            sha256: Sha256::digest(&bytes).into(),
            newest: Revision { number, bytes },
            earlier,
        }
    }

    /// Returns the head and the bytes to send to a peer that has the revision `base`.
    fn answer(&self, base: u64) -> (DocumentHead, Bytes) {
        let newest = &self.newest;
        let base = self.earlier.iter().find(|earlier| earlier.number == base);
        let common = base.map_or_else(CommonEnds::default, |base| {
            common_ends(&base.bytes, &newest.bytes)
        });
        let head = DocumentHead {
            revision: newest.number,
            sha256: self.sha256,
            common,
        };
        let middle = changed_middle(&newest.bytes, common).unwrap_or_default();
        (head, newest.bytes.slice_ref(middle))
    }
}

/// Answers a peer's request for a document above its own revision.
pub(super) async fn serve(
    shared: &Shared,
    above_revision: u64,
    base_revision: u64,
    mut send: quinn::SendStream,
) {
    let served = shared.document.load_full();
    let newer = served.filter(|served| served.newest.number > above_revision);
    let (head, bytes) = newer.map_or_else(
        || (DocumentHead::default(), Bytes::new()),
        |served| served.answer(base_revision),
    );
    let Some(head) = encode_head(&head) else {
        return;
    };
    let answer = async {
        send.write_all(&head).await.ok()?;
        send.write_chunk(bytes).await.ok()?;
        send.finish().ok()?;
        send.stopped().await.ok()
    };
    // A peer that does not read the document in time repeats its request.
    let _ = timeout(FETCH_TIMEOUT, answer).await;
}

/// Fetches the document from a peer and delivers the document or the failure.
pub(super) async fn fetch(
    shared: Rc<Shared>,
    from: InstanceId,
    addr: SocketAddr,
    above_revision: u64,
) {
    let base = shared.document.load_full();
    let fetched = timeout(FETCH_TIMEOUT, async {
        let link = link_to(&shared, &from, addr).await?;
        match fetch_over(&link, above_revision, base.as_ref()).await? {
            FetchResult::Document(revision, bytes) => Some((revision, bytes)),
            FetchResult::Mismatch => fetch_in_full(&link, above_revision).await,
        }
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

/// Result of one fetch that the peer answered.
enum FetchResult {
    /// Revision number and bytes of the document.
    Document(u64, Bytes),
    /// The difference does not yield a document with the announced hash.
    Mismatch,
}

async fn fetch_in_full(link: &Rc<Link>, above_revision: u64) -> Option<(u64, Bytes)> {
    match fetch_over(link, above_revision, None).await? {
        FetchResult::Document(revision, bytes) => Some((revision, bytes)),
        FetchResult::Mismatch => None,
    }
}

async fn fetch_over(
    link: &Rc<Link>,
    above_revision: u64,
    base: Option<&Arc<ServedDocument>>,
) -> Option<FetchResult> {
    let _guard = RequestGuard::new(link);
    let (mut send, mut receive) = link.connection.open_bi().await.ok()?;
    let request = Request::Document {
        above_revision,
        base_revision: base.map_or(0, |base| base.newest.number),
    };
    send.write_all(&encode_head(&request)?).await.ok()?;
    send.finish().ok()?;
    let head: DocumentHead = read_head(&mut receive).await?;
    link.record_received();
    if head.revision <= above_revision {
        return None;
    }
    let middle = receive.read_to_end(MAX_DOCUMENT_BYTES).await.ok()?;
    link.record_received();
    let base = base.map_or(&[][..], |base| &base.newest.bytes);
    let Some(bytes) = apply_delta(base, head.common, &middle) else {
        return Some(FetchResult::Mismatch);
    };
    let is_complete =
        bytes.len() <= MAX_DOCUMENT_BYTES && Sha256::digest(&bytes)[..] == head.sha256;
    Some(if is_complete {
        FetchResult::Document(head.revision, bytes.into())
    } else {
        FetchResult::Mismatch
    })
}
