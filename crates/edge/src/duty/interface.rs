//! Interface by which the adapter of a deployment encodes the calls of duties.

use super::{DutyCall, DutyOutcome};
use hyper::header::HeaderName;

/// Request of a call, without its headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyRequest {
    /// Path.
    pub path: &'static str,
    /// JSON body. The same call always has the same bytes.
    pub body: Vec<u8>,
}

/// Encoding of the calls, and the keys of the store.
#[derive(Clone, Debug)]
pub struct DutyInterface {
    /// Header with the name of the holder.
    pub holder: HeaderName,
    /// Header with the fencing token.
    pub token: HeaderName,
    /// Encodes a call.
    pub encode: fn(&DutyCall) -> DutyRequest,
    /// Decodes the status of a response.
    pub decode: fn(u16) -> DutyOutcome,
    /// Key of the lease for usage reports.
    pub usage_key: &'static str,
    /// Prefix of the keys of the leases for the number of engines, by region.
    pub scale_prefix: &'static str,
    /// Key of the usage counts that holders hand on.
    pub usage_state_key: &'static str,
}
