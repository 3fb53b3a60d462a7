//! Counters of links, transport and messages, readable from any thread.

use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Live counters, written by the link thread.
        #[derive(Debug, Default)]
        pub(super) struct Counters {
            $(pub(super) $name: AtomicU64,)*
        }

        /// Snapshot of the link counters since the start of the process.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct PeerStats {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// Returns a snapshot of all counters.
            pub(super) fn stats(&self) -> PeerStats {
                PeerStats {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }
    };
}

counters!(
    /// Links currently open, both dialled and accepted.
    links,
    /// Connection attempts started by this instance.
    dials,
    /// Connection attempts of this instance that failed.
    failed_dials,
    /// Incoming connections refused: no valid certificate, a name that does not match it, a timeout
    /// or too many links.
    refused_peers,
    /// Links replaced because messages that expect a reply got none.
    silent_links,
    /// Messages sent.
    sent_messages,
    /// Messages received.
    received_messages,
    /// Outgoing messages dropped because a link was full or missing.
    unsent_messages,
    /// Received messages of a kind that this build does not support.
    unknown_messages,
    /// Received messages that could not be decoded.
    invalid_messages,
    /// Received messages and documents that the inbound sink rejected because it was full.
    dropped_inbound,
    /// UDP payload sent on all links, in bytes; updated every second.
    sent_udp_bytes,
    /// UDP payload received on all links, in bytes; updated every second.
    received_udp_bytes,
    /// UDP datagrams sent on all links; updated every second.
    sent_udp_datagrams,
    /// UDP datagrams received on all links; updated every second.
    received_udp_datagrams,
);

/// Increments a counter.
pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
