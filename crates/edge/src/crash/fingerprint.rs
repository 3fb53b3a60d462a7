//! Identity of a request that callers repeat under new ids.

use crate::pipeline::RequestMeta;
use bytes::Bytes;
use carobwheel_core::crash::PartId;
use hyper::{Method, Uri};
use sha2::{Digest as _, Sha256};
use std::{cell::OnceCell, sync::Arc};

/// Fingerprint of account, route, method, path, query and body, without the headers; computed when it
/// is first needed. It is a digest cut to 64 bits, so no account can find a request that shares the
/// fingerprint of another account's.
#[derive(Debug)]
pub struct Fingerprint {
    account: Arc<str>,
    route: Arc<str>,
    method: Method,
    uri: Uri,
    body: Bytes,
    value: OnceCell<PartId>,
}

impl Fingerprint {
    /// Fingerprint of a request with this metadata. The account is empty on routes without a key.
    pub fn new(meta: &RequestMeta, method: &Method, uri: &Uri, body: &Bytes) -> Self {
        Self {
            account: Arc::clone(&meta.account),
            route: Arc::clone(&meta.route),
            method: method.clone(),
            uri: uri.clone(),
            body: body.clone(),
            value: OnceCell::new(),
        }
    }

    /// The fingerprint, equal on all instances.
    pub fn value(&self) -> PartId {
        *self.value.get_or_init(|| {
            let path = self.uri.path_and_query().map_or("", |path| path.as_str());
            let mut hasher = Sha256::new();
            for field in [&*self.account, &*self.route, self.method.as_str(), path] {
                hasher.update((field.len() as u64).to_le_bytes());
                hasher.update(field);
            }
            hasher.update(&self.body);
            let digest = hasher.finalize();
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&digest[..8]);
            PartId::from_le_bytes(bytes)
        })
    }
}
