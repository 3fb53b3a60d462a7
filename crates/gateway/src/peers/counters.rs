//! Counters of the links, readable from any thread.

use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters as written by the thread of the links.
        #[derive(Debug, Default)]
        pub(super) struct Counters {
            $(pub(super) $name: AtomicU64,)*
        }

        /// Counters of the links since the start.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct PeerStats {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// A copy of all counters.
            pub(super) fn stats(&self) -> PeerStats {
                PeerStats {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }
    };
}

counters!(
    /// Links open now, in both directions.
    links,
    /// Connections dialled.
    dials,
    /// Connections that could not be established.
    failed_dials,
    /// Connections refused for want of a valid certificate or a matching name.
    refused_peers,
    /// Links dropped because nothing arrived although we sent.
    silent_links,
    /// Messages sent.
    sent_messages,
    /// Messages received.
    received_messages,
    /// Messages dropped because a link was full or missing.
    unsent_messages,
    /// Messages of a kind that this build does not know.
    unknown_messages,
    /// Messages that could not be decoded.
    invalid_messages,
    /// Messages that the receiving closure had no room for.
    dropped_inbound,
    /// UDP payload sent on all links, in bytes; renewed every second.
    sent_udp_bytes,
    /// UDP payload received on all links, in bytes; renewed every second.
    received_udp_bytes,
    /// UDP datagrams sent on all links; renewed every second.
    sent_udp_datagrams,
    /// UDP datagrams received on all links; renewed every second.
    received_udp_datagrams,
);

/// Adds one to a counter.
pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
