//! Body of a request, handed past Rocket to the handler, which reads it once the caller is known.

use hyper::body::Incoming;
use rocket::Request;
use std::sync::{Mutex, PoisonError};

/// Body of a request that has not been read.
pub(crate) struct IncomingBody(Mutex<Option<Incoming>>);

impl IncomingBody {
    /// Attaches `body` to `request`.
    pub(super) fn attach(request: &Request<'_>, body: Incoming) {
        request.local_cache(|| Self(Mutex::new(Some(body))));
    }

    /// Takes the body of `request`; `None` if it was taken before.
    pub(crate) fn take(request: &Request<'_>) -> Option<Incoming> {
        let attached = request.local_cache(|| Self(Mutex::new(None)));
        attached
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}
