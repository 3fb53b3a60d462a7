//! Settings of the links.

use carobwheel_core::id::InstanceId;
use carobwheel_wire::peer::VERSIONS;
use std::{net::SocketAddr, ops::RangeInclusive};

/// Time for which a link may carry nothing before it is closed, in milliseconds.
const IDLE_MS: u64 = 120_000;
/// Time without an answer after which a link counts as silent, in milliseconds.
const SILENT_MS: u64 = 900;

/// Certificate, key and authorities, as PEM text.
#[derive(Clone)]
pub struct TlsMaterial {
    /// Certificate chain of this instance, its own certificate first.
    pub cert_pem: String,
    /// Private key of this instance.
    pub key_pem: String,
    /// Certificates of the authorities that peers are verified against.
    pub ca_pem: String,
}

/// Settings of the links of one instance.
#[derive(Clone)]
pub struct PeerSettings {
    /// Name of this instance; its certificate has to name it.
    pub instance: InstanceId,
    /// Local address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Certificate, key and authorities.
    pub tls: TlsMaterial,
    /// Protocol versions offered to peers.
    pub versions: RangeInclusive<u8>,
    /// Time for which a link may carry nothing before it is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time without an answer to at least two messages after which a link counts as silent, in
    /// milliseconds.
    pub reply_timeout_ms: u64,
    /// Commands that may wait for the thread.
    pub max_queued_commands: usize,
}

impl PeerSettings {
    /// Settings with the usual bounds.
    pub fn new(instance: InstanceId, listen: SocketAddr, tls: TlsMaterial) -> Self {
        Self {
            instance,
            listen,
            tls,
            versions: VERSIONS,
            idle_timeout_ms: IDLE_MS,
            reply_timeout_ms: SILENT_MS,
            max_queued_commands: 1_024,
        }
    }
}
