//! Anti-entropy: repair of differences between two tables by digests.
//!
//! Every packet carries a hash of the sender's table. When two tables differ although no recent
//! change explains it, one side sends a hash per bucket, the other replies with its records in the
//! buckets that differ, and the first returns the records that the other lacks.

use super::size::record_bytes;
use super::table::BUCKETS;
use super::{MemberRecord, Members, PacketBody};
use crate::id::InstanceId;
use crate::time::Millis;
use rand::Rng;
use std::collections::BTreeMap;

/// Minimum time between two digests sent by one instance, in milliseconds.
const SYNC_PERIOD_MS: u64 = 2_000;
/// The same during start-up, in milliseconds.
const STARTING_SYNC_PERIOD_MS: u64 = 300;
/// Minimum time since the last change of the own table before a digest is sent, in milliseconds.
const MIN_UNCHANGED_MS: u64 = 2_000;
/// Time after which a digest is sent even if the table keeps changing, in milliseconds.
const MAX_SYNC_PERIOD_MS: u64 = 15_000;
/// Maximum encoded size of the records in one packet, in bytes.
const MAX_RECORDS_BYTES: usize = 48 * 1_024;
/// Maximum number of records received at once for which the changes are gossiped further.
const MAX_RUMORED_RECORDS: usize = 16;

/// Times of the last digest and of the last table change.
#[derive(Clone, Debug, Default)]
pub(super) struct SyncSchedule {
    last_at: Option<Millis>,
    changed_at: Option<Millis>,
}

impl SyncSchedule {
    pub(super) fn note_change(&mut self, now: Millis) {
        self.changed_at = Some(now);
    }

    fn is_due(&self, is_starting: bool, now: Millis) -> bool {
        let since_last_ms = self.last_at.map_or(u64::MAX, |at| now.since(at));
        let unchanged_ms = self.changed_at.map_or(u64::MAX, |at| now.since(at));
        if is_starting {
            return since_last_ms >= STARTING_SYNC_PERIOD_MS;
        }
        let is_unchanged = unchanged_ms >= MIN_UNCHANGED_MS && since_last_ms >= SYNC_PERIOD_MS;
        is_unchanged || since_last_ms >= MAX_SYNC_PERIOD_MS
    }
}

impl Members {
    /// Compares the sender's table hash with the own one: starts a repair if they differ, and stops
    /// gossiping changes after several equal tables in a row.
    pub(super) fn compare_tables(
        &mut self,
        from: &InstanceId,
        salt: u16,
        table_hash: u32,
        now: Millis,
    ) {
        if table_hash != self.table.hash(salt) {
            self.rumors.note_different_table();
            self.begin_sync(from, now);
        } else {
            self.rumors.note_equal_table();
        }
    }

    /// Sends the hashes per bucket to an instance whose table differs, if a digest is due.
    pub(super) fn begin_sync(&mut self, with: &InstanceId, now: Millis) {
        if !self.sync.is_due(self.is_starting(now), now) {
            return;
        }
        self.sync.last_at = Some(now);
        self.send(
            with,
            PacketBody::Digest {
                buckets: Vec::new(),
            },
            now,
        );
        let Some(sent) = self.out.last_mut() else {
            return;
        };
        let buckets = self.table.bucket_hashes(sent.packet.salt);
        sent.packet.body = PacketBody::Digest { buckets };
    }

    /// Replies to a digest with the records of the buckets that differ.
    pub(super) fn on_digest(&mut self, from: &InstanceId, salt: u16, theirs: &[u16], now: Millis) {
        if theirs.len() != BUCKETS {
            return;
        }
        let ours = self.table.bucket_hashes(salt);
        let differs = |bucket: &usize| ours[*bucket] != theirs[*bucket];
        let differing = (0..BUCKETS)
            .filter(differs)
            .fold(0, |set, bucket| set | 1 << bucket);
        if differing == 0 {
            return;
        }
        let records = self.bounded(self.table.records_in(differing));
        let body = PacketBody::Records {
            differing,
            records,
            wants_reply: true,
        };
        self.send(from, body, now);
    }

    /// Merges the received records, and replies with those that the other side lacks.
    pub(super) fn on_records(
        &mut self,
        from: &InstanceId,
        differing: u64,
        theirs: &[MemberRecord],
        wants_reply: bool,
        now: Millis,
    ) {
        let is_rumor = theirs.len() <= MAX_RUMORED_RECORDS;
        for record in theirs {
            self.apply_record(record, is_rumor, now);
        }
        if !wants_reply {
            return;
        }
        let by_name: BTreeMap<&InstanceId, &MemberRecord> = theirs
            .iter()
            .map(|record| (&record.identity.instance, record))
            .collect();
        let is_missing_there =
            |ours: &MemberRecord| by_name.get(&ours.identity.instance) != Some(&ours);
        let mut records = self.table.records_in(differing);
        records.retain(is_missing_there);
        if records.is_empty() {
            return;
        }
        let records = self.bounded(records);
        let body = PacketBody::Records {
            differing,
            records,
            wants_reply: false,
        };
        self.send(from, body, now);
    }

    /// Limits `records` to those that fit in one packet, starting at a random position so that no
    /// record is omitted every time.
    fn bounded(&self, mut records: Vec<MemberRecord>) -> Vec<MemberRecord> {
        let total: usize = records.iter().map(record_bytes).sum();
        if total <= MAX_RECORDS_BYTES {
            return records;
        }
        let start = self.rng.clone().random_range(0..records.len());
        records.rotate_left(start);
        let mut left = MAX_RECORDS_BYTES;
        records
            .into_iter()
            .take_while(|record| {
                let bytes = record_bytes(record);
                let fits = bytes <= left;
                left = left.saturating_sub(bytes);
                fits
            })
            .collect()
    }
}
