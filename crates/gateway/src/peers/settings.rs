//! Settings of the links between instances.

use carobwheel_core::{
    id::InstanceId,
    member::{PROBE_PERIOD_MS, SUSPICION_TIMEOUT_MS},
};
use carobwheel_wire::peer::PROTOCOL_VERSIONS;
use std::{net::SocketAddr, ops::RangeInclusive};

/// Default of [`PeerSettings::idle_timeout_ms`].
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 120_000;
/// Default of [`PeerSettings::reply_timeout_ms`].
const DEFAULT_REPLY_TIMEOUT_MS: u64 = 900;
/// Default of [`PeerSettings::lost_timeout_ms`]: time within which a probed instance that does not
/// answer counts as gone.
const DEFAULT_LOST_TIMEOUT_MS: u64 = PROBE_PERIOD_MS + SUSPICION_TIMEOUT_MS;

/// Certificate, private key and certificate authorities, as PEM text.
#[derive(Clone)]
pub struct TlsMaterial {
    /// Certificate chain of this instance, leaf first.
    pub cert_pem: String,
    /// Private key of this instance.
    pub key_pem: String,
    /// Certificates of the authorities that peers' certificates are verified against.
    pub ca_pem: String,
}

/// Settings of the link thread of one instance.
#[derive(Clone)]
pub struct PeerSettings {
    /// Name of this instance, which its certificate has to contain.
    pub instance: InstanceId,
    /// Local address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Certificate, private key and certificate authorities.
    pub tls: TlsMaterial,
    /// Protocol versions offered in the handshake.
    pub versions: RangeInclusive<u8>,
    /// Time without traffic after which a link is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time without a reply to at least two messages after which a link counts as silent and is
    /// replaced, in milliseconds.
    pub reply_timeout_ms: u64,
    /// Time without a reply after which a link is closed although requests are in progress on it,
    /// in milliseconds.
    pub lost_timeout_ms: u64,
    /// Capacity of the command queue of the link thread.
    pub max_queued_commands: usize,
}

impl PeerSettings {
    /// Creates settings with the default limits.
    pub fn new(instance: InstanceId, listen: SocketAddr, tls: TlsMaterial) -> Self {
        Self {
            instance,
            listen,
            tls,
            versions: PROTOCOL_VERSIONS,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            reply_timeout_ms: DEFAULT_REPLY_TIMEOUT_MS,
            lost_timeout_ms: DEFAULT_LOST_TIMEOUT_MS,
            max_queued_commands: 1_024,
        }
    }
}
