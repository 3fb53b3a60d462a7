//! Audits after a slot has changed its owner: tokens of former owners that may still be spent.
//!
//! A new owner starts every part empty and holds back the part's whole share of the burst. It
//! asks every member that is not confirmed gone how many tokens of earlier epochs that member may
//! still spend. Once all have answered, it holds back the sum of the answers, which only decrease.

use super::charge::{Charge, Reservation, ReservationOrigin};
use super::limiter::{HandedOverLevels, Limiter};
use super::loan::GivenLoan;
use super::message::{Audit, AuditAnswer};
use super::FORMER_OWNER_HOLD_MS;
use crate::id::AccountId;
use crate::slot::{shard_of, Peer, Role, SlotId};
use crate::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Interval between audits of members that have not answered yet, in milliseconds.
const AUDIT_RETRY_MS: u64 = 500;
/// Interval between audits of members that still hold reservations, in milliseconds.
const AUDIT_REFRESH_MS: u64 = 3_000;

/// State of a slot that this instance owns.
#[derive(Clone, Debug)]
pub(super) struct SlotState {
    pub(super) epoch: u64,
    /// The slot is being handed over: its parts must not be used.
    pub(super) is_suspended: bool,
    added_at: Millis,
    /// Members that have not answered the audit.
    unanswered: BTreeSet<Peer>,
    /// Reservations of earlier epochs, as last reported by each member.
    outstanding: BTreeMap<Peer, Vec<(AccountId, u64)>>,
    /// Levels handed over by the former owner; credited once all members have answered.
    inherited_levels: Vec<(AccountId, u64)>,
    last_audit: Option<Millis>,
    /// Highest document revision that any member has reported. The slot's parts are fully held
    /// back until this instance applies it.
    required_revision: u64,
}

impl SlotState {
    /// Amount that an account's part holds back for tokens of earlier owners, in micro-tokens, when
    /// this instance applies `revision`.
    pub(super) fn held_micro(
        &self,
        account: &AccountId,
        cap_micro: u64,
        revision: u64,
        now: Millis,
    ) -> u64 {
        if self.required_revision > revision {
            return cap_micro;
        }
        if self.is_hold_expired(now) {
            return 0;
        }
        if !self.unanswered.is_empty() {
            return cap_micro;
        }
        self.outstanding
            .values()
            .flatten()
            .filter(|(id, _)| id == account)
            .map(|(_, amount_micro)| amount_micro)
            .sum()
    }

    fn is_hold_expired(&self, now: Millis) -> bool {
        now.since(self.added_at) > FORMER_OWNER_HOLD_MS
    }

    /// Whether every member has answered the audit.
    pub(super) fn has_all_answers(&self) -> bool {
        self.unanswered.is_empty()
    }

    fn is_audit_complete(&self) -> bool {
        self.unanswered.is_empty() && self.outstanding.is_empty()
    }

    fn is_audit_due(&self, now: Millis) -> bool {
        let retry_ms = if self.unanswered.is_empty() {
            AUDIT_REFRESH_MS
        } else {
            AUDIT_RETRY_MS
        };
        self.last_audit
            .is_none_or(|last_audit| now.since(last_audit) >= retry_ms)
    }

    fn members_to_audit(&self) -> impl Iterator<Item = &Peer> {
        let is_waiting = !self.unanswered.is_empty();
        let answered = self.outstanding.keys().filter(move |_| !is_waiting);
        self.unanswered.iter().chain(answered)
    }
}

impl Limiter {
    pub(super) fn add_slot(&mut self, key: (u16, Role), epoch: u64, now: Millis) {
        let mut unanswered: BTreeSet<Peer> = self.members.iter().cloned().collect();
        unanswered.insert(self.me.clone());
        if epoch == 1 {
            unanswered.clear();
        }
        let slot = SlotState {
            epoch,
            is_suspended: false,
            added_at: now,
            unanswered,
            outstanding: BTreeMap::new(),
            inherited_levels: Vec::new(),
            last_audit: None,
            required_revision: 0,
        };
        self.slots.insert(key, slot);
    }

    pub(super) fn drop_slot(&mut self, key: (u16, Role), now: Millis) {
        let Some(slot) = self.slots.remove(&key) else {
            return;
        };
        let (shard, role) = key;
        let mut levels = Vec::new();
        for (id, account) in &mut self.accounts {
            if account.shard != shard {
                continue;
            }
            let Some(mut part) = account.parts[role as usize].take() else {
                continue;
            };
            part.accrue(now);
            if part.level_micro > 0 && !self.are_slots_invalid {
                levels.push((id.clone(), part.level_micro));
            }
        }
        let epoch = slot.epoch;
        self.handed_over
            .insert(key, HandedOverLevels { epoch, levels });
        let is_of_slot = |lent: &GivenLoan| lent.role == role && shard_of(&lent.account) == shard;
        self.given_loans.retain(|_, lent| !is_of_slot(lent));
    }

    /// Answers the audit of a slot's new owner. This instance drops the slot if it owned it in an
    /// earlier epoch, and returns unspent loans of earlier epochs.
    pub(super) fn on_audit(&mut self, audit: &Audit, now: Millis) -> AuditAnswer {
        let slot = SlotId {
            region: audit.region.clone(),
            shard: audit.shard,
            role: audit.role,
        };
        let key = (audit.shard, audit.role);
        let is_home = slot.region == self.region;
        if is_home
            && self
                .slots
                .get(&key)
                .is_some_and(|own| own.epoch < audit.epoch)
        {
            self.drop_slot(key, now);
        }
        let min_epoch = self.min_epochs.entry(slot.clone()).or_default();
        *min_epoch = audit.epoch.max(*min_epoch);
        for loan in self.taken_loans.values_mut() {
            let is_earlier = loan
                .granted
                .is_some_and(|granted| granted.epoch < audit.epoch);
            if is_earlier && loan.slot == slot {
                loan.give_back();
            }
        }
        let levels = match self.handed_over.get(&key) {
            Some(passed) if is_home && passed.epoch + 1 == audit.epoch => passed.levels.clone(),
            _ => Vec::new(),
        };
        AuditAnswer {
            shard: audit.shard,
            role: audit.role,
            epoch: audit.epoch,
            revision: self.revision(),
            outstanding: self.outstanding(&slot, audit.epoch),
            levels,
        }
    }

    /// Applies a member's answer to an audit of a slot that this instance owns.
    pub(super) fn on_audit_answer(&mut self, from: &Peer, answer: &AuditAnswer, now: Millis) {
        let key = (answer.shard, answer.role);
        let Some(slot) = self.slots.get_mut(&key) else {
            return;
        };
        if slot.epoch != answer.epoch {
            return;
        }
        slot.required_revision = slot.required_revision.max(answer.revision);
        let is_first = slot.unanswered.remove(from);
        let is_known = slot.outstanding.contains_key(from);
        if !is_first && !is_known {
            return;
        }
        // Amounts only decrease, so the minimum of two answers is correct in any order of arrival.
        let remaining = match slot.outstanding.remove(from) {
            Some(known) => min_amounts(known, &answer.outstanding),
            None => answer.outstanding.clone(),
        };
        if !remaining.is_empty() {
            slot.outstanding.insert(from.clone(), remaining);
        }
        if is_first && !answer.levels.is_empty() {
            slot.inherited_levels = answer.levels.clone();
        }
        self.refresh_held(key, now);
    }

    /// Reservations of this instance against epochs of `slot` before `epoch`, by account.
    fn outstanding(&self, slot: &SlotId, epoch: u64) -> Vec<(AccountId, u64)> {
        let mut sums: BTreeMap<&AccountId, u64> = BTreeMap::new();
        for charge in self.charges.values() {
            for reservation in &charge.reservations {
                if self.is_from_earlier_epoch(charge, reservation, slot, epoch) {
                    *sums.entry(&charge.account).or_default() += reservation.reserved_micro;
                }
            }
        }
        sums.into_iter()
            .map(|(id, sum)| (id.clone(), sum))
            .collect()
    }

    fn is_from_earlier_epoch(
        &self,
        charge: &Charge,
        reservation: &Reservation,
        slot: &SlotId,
        epoch: u64,
    ) -> bool {
        match reservation.origin {
            ReservationOrigin::Part {
                role,
                epoch: owned_epoch,
            } => {
                slot.region == self.region
                    && slot.role == role
                    && slot.shard == shard_of(&charge.account)
                    && owned_epoch < epoch
            }
            ReservationOrigin::Loan(number) => self.taken_loans.get(&number).is_some_and(|loan| {
                loan.slot == *slot && loan.granted.is_some_and(|granted| granted.epoch < epoch)
            }),
        }
    }

    /// Updates the held-back amounts of a slot's parts from the audit answers, and credits
    /// inherited levels once all members have answered.
    fn refresh_held(&mut self, key: (u16, Role), now: Millis) {
        let revision = self.revision();
        let Some(slot) = self.slots.get_mut(&key) else {
            return;
        };
        let inherited_levels = if slot.unanswered.is_empty() {
            std::mem::take(&mut slot.inherited_levels)
        } else {
            Vec::new()
        };
        for (id, account) in &mut self.accounts {
            if account.shard != key.0 {
                continue;
            }
            let Some(part) = &mut account.parts[key.1 as usize] else {
                continue;
            };
            part.set_held(slot.held_micro(id, part.cap_micro, revision, now), now);
            let inherited = inherited_levels.iter().find(|(account, _)| account == id);
            if let Some((_, level_micro)) = inherited {
                part.add_level(*level_micro);
            }
        }
    }

    /// Replaces the member list: audits wait for new members too, and no longer for removed ones.
    pub(super) fn change_members(&mut self, members: &[Peer], now: Millis) {
        let before: BTreeSet<Peer> = std::mem::take(&mut self.members).into_iter().collect();
        let after: BTreeSet<Peer> = members.iter().chain([&self.me]).cloned().collect();
        self.members = members.to_vec();
        if before == after {
            return;
        }
        for slot in self.slots.values_mut() {
            slot.unanswered.retain(|peer| after.contains(peer));
            slot.outstanding.retain(|peer, _| after.contains(peer));
            if slot.epoch > 1 && !slot.is_hold_expired(now) {
                slot.unanswered.extend(after.difference(&before).cloned());
            }
        }
        let keys: Vec<(u16, Role)> = self.slots.keys().copied().collect();
        for key in keys {
            self.refresh_held(key, now);
        }
    }

    /// Queues due audits to members that have not answered or still hold reservations.
    pub(super) fn send_audits(&mut self, now: Millis) {
        let keys: Vec<(u16, Role)> = self.slots.keys().copied().collect();
        for key in keys {
            self.send_audit(key, now);
        }
    }

    fn send_audit(&mut self, key: (u16, Role), now: Millis) {
        let Some(slot) = self.slots.get_mut(&key) else {
            return;
        };
        if slot.is_audit_complete() {
            return;
        }
        if slot.is_hold_expired(now) {
            slot.unanswered.clear();
            slot.outstanding.clear();
            self.refresh_held(key, now);
            return;
        }
        if !slot.is_audit_due(now) {
            return;
        }
        slot.last_audit = Some(now);
        let audit = Audit {
            region: self.region.clone(),
            shard: key.0,
            role: key.1,
            epoch: slot.epoch,
        };
        let targets: Vec<Peer> = slot.members_to_audit().cloned().collect();
        for peer in targets {
            if peer == self.me {
                let answer = self.on_audit(&audit, now);
                self.on_audit_answer(&peer, &answer, now);
                continue;
            }
            let message = self.outbox.entry(peer).or_default();
            message.audits.push(audit.clone());
        }
    }
}

/// Per-account minimum of two answers, without accounts whose amount is zero.
fn min_amounts(known: Vec<(AccountId, u64)>, answer: &[(AccountId, u64)]) -> Vec<(AccountId, u64)> {
    let amount = |id: &AccountId| {
        let found = answer.iter().find(|(account, _)| account == id);
        found.map_or(0, |(_, amount)| *amount)
    };
    known
        .into_iter()
        .map(|(id, known)| {
            let amount = known.min(amount(&id));
            (id, amount)
        })
        .filter(|(_, amount)| *amount > 0)
        .collect()
}
