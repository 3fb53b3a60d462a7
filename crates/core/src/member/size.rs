//! Encoded sizes of packet parts, to fill a packet up to a limit without encoding it.

use super::{KeyedEntry, MemberRecord, Status, Update};
use std::net::SocketAddr;

/// Encoded size of a variable-length integer (7 bits per byte), in bytes.
pub(super) const fn varint_bytes(value: u64) -> usize {
    let bits = 64 - value.leading_zeros() as usize;
    if bits == 0 {
        1
    } else {
        bits.div_ceil(7)
    }
}

/// Encoded size of a socket address, in bytes.
fn addr_bytes(addr: &SocketAddr) -> usize {
    let ip = if addr.is_ipv4() { 4 } else { 16 };
    1 + ip + varint_bytes(addr.port().into())
}

pub(super) fn text_bytes(text: &str) -> usize {
    text.len() + varint_bytes(text.len() as u64)
}

pub(super) fn status_bytes(status: &Status) -> usize {
    let flags = 2;
    varint_bytes(status.sequence.into()) + varint_bytes(status.revision) + flags
}

pub(super) fn record_bytes(record: &MemberRecord) -> usize {
    let identity = &record.identity;
    let entries: usize = record
        .entries
        .iter()
        .map(|(_, version, bytes)| 1 + varint_bytes(*version) + 2 + bytes.len())
        .sum();
    text_bytes(identity.instance.as_str())
        + varint_bytes(identity.incarnation.0)
        + text_bytes(identity.region.as_str())
        + text_bytes(identity.data_centre.as_str())
        + addr_bytes(&identity.peer_addr)
        + addr_bytes(&identity.caller_addr)
        + status_bytes(&record.status)
        + entries
        + 2
}

pub(super) fn update_bytes(update: &Update) -> usize {
    match update {
        Update::Record(record) => 1 + record_bytes(record),
        Update::Status {
            instance,
            incarnation,
            status,
        } => 1 + text_bytes(instance.as_str()) + varint_bytes(incarnation.0) + status_bytes(status),
    }
}

pub(super) fn entry_bytes(entry: &KeyedEntry) -> usize {
    4 + 1 + varint_bytes(entry.version) + 2 + entry.bytes.len()
}
