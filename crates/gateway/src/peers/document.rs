//! The document, served to peers and fetched from them.
//!
//! A peer that has one of the last few revisions gets only what has changed since.

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

/// Time within which a document has to arrive whole.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Earlier revisions that are kept to send differences from.
const MAX_EARLIER: usize = 2;

/// A revision of the document as published.
#[derive(Clone, Debug)]
struct Revision {
    number: u64,
    bytes: Bytes,
}

/// The documents that peers may fetch from this instance.
#[derive(Clone, Debug)]
pub(super) struct Served {
    newest: Revision,
    sha256: [u8; 32],
    earlier: Vec<Revision>,
}

impl Served {
    /// Serves `bytes` as the newest revision; `before` becomes the latest earlier one.
    pub(super) fn new(number: u64, bytes: Bytes, before: Option<&Self>) -> Self {
        let mut earlier: Vec<Revision> = before
            .into_iter()
            .flat_map(|before| std::iter::once(&before.newest).chain(&before.earlier))
            .filter(|revision| revision.number < number)
            .cloned()
            .collect();
        earlier.truncate(MAX_EARLIER);
        Self {
            sha256: Sha256::digest(&bytes).into(),
            newest: Revision { number, bytes },
            earlier,
        }
    }

    /// The answer to a peer that can build on the revision `base`: its head, and the bytes.
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

/// Answers a peer that asks for a higher revision than its own.
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
    let base = shared.document.load_full();
    let fetched = timeout(FETCH_TIMEOUT, async {
        let link = link_to(&shared, &from, addr).await?;
        match fetch_over(&link, above_revision, base.as_ref()).await? {
            Fetched::Document(revision, bytes) => Some((revision, bytes)),
            Fetched::Mismatch => fetch_whole(&link, above_revision).await,
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

/// What a peer has sent.
enum Fetched {
    /// A revision and its document.
    Document(u64, Bytes),
    /// Something that does not give the document that the peer has.
    Mismatch,
}

async fn fetch_whole(link: &Rc<Link>, above_revision: u64) -> Option<(u64, Bytes)> {
    match fetch_over(link, above_revision, None).await? {
        Fetched::Document(revision, bytes) => Some((revision, bytes)),
        Fetched::Mismatch => None,
    }
}

async fn fetch_over(
    link: &Rc<Link>,
    above_revision: u64,
    base: Option<&Arc<Served>>,
) -> Option<Fetched> {
    let _guard = RequestGuard::new(link);
    let (mut send, mut receive) = link.connection.open_bi().await.ok()?;
    let request = Request::Document {
        above_revision,
        base_revision: base.map_or(0, |base| base.newest.number),
    };
    send.write_all(&encode_head(&request)?).await.ok()?;
    send.finish().ok()?;
    let head: DocumentHead = read_head(&mut receive).await?;
    link.note_received();
    if head.revision <= above_revision {
        return None;
    }
    let middle = receive.read_to_end(MAX_DOCUMENT_BYTES).await.ok()?;
    link.note_received();
    let base = base.map_or(&[][..], |base| &base.newest.bytes);
    let Some(bytes) = apply_delta(base, head.common, &middle) else {
        return Some(Fetched::Mismatch);
    };
    let is_whole = bytes.len() <= MAX_DOCUMENT_BYTES && Sha256::digest(&bytes)[..] == head.sha256;
    Some(if is_whole {
        Fetched::Document(head.revision, bytes.into())
    } else {
        Fetched::Mismatch
    })
}
