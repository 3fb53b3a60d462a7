//! Rate limiter of one instance: its parts, loans and charges.

use super::account::{AccountState, ActiveState, RemoteSlot};
use super::audit::SlotState;
use super::charge::{Charge, ChargeId, ReservationOrigin};
use super::loan::{GivenLoan, TakenLoan};
use super::message::LoanMessage;
use super::part::BucketPart;
use super::table::{LimitTable, PartShare};
use super::JOIN_DELAY_MS;
use crate::document::Document;
use crate::id::{AccountId, RegionId};
use crate::slot::{shard_of, OwnedSlot, Peer, Role, SlotId};
use crate::time::Millis;
use std::collections::{BTreeMap, HashMap};

/// Totals over all accounts, for metrics and experiments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimiterTotals {
    /// Owned slots.
    pub slots: usize,
    /// Accounts with at least one part at this instance.
    pub accounts: usize,
    /// Unsettled charges.
    pub charges: usize,
    /// Open loans taken from other instances.
    pub loans_taken: usize,
    /// Open loans given to other instances.
    pub loans_given: usize,
}

/// Levels of a handed-over slot, kept for the audit by its owner in the next epoch.
#[derive(Clone, Debug)]
pub(super) struct HandedOverLevels {
    pub(super) epoch: u64,
    pub(super) levels: Vec<(AccountId, u64)>,
}

/// Rate limiter of one instance: its parts, loans and charges.
///
/// The limiter is owned by the decision thread, which calls [`tick`](Self::tick) about every 50 ms,
/// passes each message of a peer to [`on_message`](Self::on_message) and sends the messages that
/// both return.
#[derive(Debug)]
pub struct Limiter {
    pub(super) me: Peer,
    pub(super) region: RegionId,
    /// Limits of all revisions that may be in force at some member, in ascending order of revision.
    pub(super) tables: Vec<LimitTable>,
    /// Lowest settled revision of all members that are not confirmed gone.
    pub(super) fleet_revision: u64,
    pub(super) accounts: HashMap<AccountId, AccountState>,
    pub(super) slots: BTreeMap<(u16, Role), SlotState>,
    pub(super) owners: HashMap<SlotId, Peer>,
    pub(super) members: Vec<Peer>,
    /// Lowest epoch whose grants are accepted, by slot.
    pub(super) min_epochs: HashMap<SlotId, u64>,
    /// Levels of handed-over slots, kept for their next owners.
    pub(super) handed_over: HashMap<(u16, Role), HandedOverLevels>,
    pub(super) given_loans: HashMap<(Peer, u64), GivenLoan>,
    pub(super) taken_loans: BTreeMap<u64, TakenLoan>,
    pub(super) charges: BTreeMap<u64, Charge>,
    pub(super) expired_charges: Vec<ChargeId>,
    pub(super) outbox: BTreeMap<Peer, LoanMessage>,
    pub(super) are_slots_invalid: bool,
    pub(super) last_sweep: Millis,
    pub(super) first_tick: Option<Millis>,
    next_loan: u64,
    pub(super) next_charge: u64,
}

impl Limiter {
    /// Creates a limiter for this run of the instance, without a document and without slots.
    pub fn new(me: Peer, region: RegionId) -> Self {
        Self {
            me,
            region,
            tables: Vec::new(),
            fleet_revision: 0,
            accounts: HashMap::new(),
            slots: BTreeMap::new(),
            owners: HashMap::new(),
            members: Vec::new(),
            min_epochs: HashMap::new(),
            handed_over: HashMap::new(),
            given_loans: HashMap::new(),
            taken_loans: BTreeMap::new(),
            charges: BTreeMap::new(),
            expired_charges: Vec::new(),
            outbox: BTreeMap::new(),
            are_slots_invalid: false,
            last_sweep: Millis::default(),
            first_tick: None,
            next_loan: 0,
            next_charge: 0,
        }
    }

    /// Applies a document if its revision is higher than that of the current one.
    ///
    /// An increased share takes effect only once the whole fleet has settled the revision, see
    /// [`set_fleet_revision`](Self::set_fleet_revision).
    pub fn apply_document(&mut self, revision: u64, document: &Document, now: Millis) {
        if self
            .tables
            .last()
            .is_some_and(|table| table.revision >= revision)
        {
            return;
        }
        self.tables.push(LimitTable::new(revision, document));
        self.refresh_accounts(now);
    }

    /// Sets the lowest [`settled_revision`](Self::settled_revision) of all members that are not
    /// confirmed gone. A revision that is not higher than the current one has no effect.
    pub fn set_fleet_revision(&mut self, revision: u64, now: Millis) {
        if revision <= self.fleet_revision {
            return;
        }
        self.fleet_revision = revision;
        let newest = self.tables.last().map_or(0, |table| table.revision);
        self.tables
            .retain(|table| table.revision >= revision || table.revision == newest);
        self.refresh_accounts(now);
    }

    /// Highest revision whose shares are respected by all parts, loans and charges of this
    /// instance; to be reported to all members.
    pub fn settled_revision(&self) -> u64 {
        let Some(newest) = self.tables.last() else {
            return 0;
        };
        let mut parts = self.accounts.values().flat_map(|account| &account.parts);
        let is_within = parts.all(|part| part.as_ref().is_none_or(BucketPart::is_within_share));
        if !is_within || !self.slots.values().all(SlotState::has_all_answers) {
            return self.fleet_revision.min(newest.revision);
        }
        let loans = self.taken_loans.values().filter(|loan| !loan.is_final());
        let loan_revisions = loans.filter_map(|loan| loan.granted.map(|granted| granted.revision));
        let orphans = self
            .charges
            .values()
            .filter(|charge| self.is_orphan(charge));
        let charge_revisions = orphans.map(|charge| charge.revision);
        loan_revisions
            .chain(charge_revisions)
            .fold(newest.revision, u64::min)
    }

    /// Whether the charge holds a reservation in a part of an epoch that this instance no longer
    /// owns.
    fn is_orphan(&self, charge: &Charge) -> bool {
        let shard = shard_of(&charge.account);
        charge
            .reservations
            .iter()
            .any(|reservation| match reservation.origin {
                ReservationOrigin::Loan(_) => false,
                ReservationOrigin::Part { role, epoch } => {
                    let slot = self.slots.get(&(shard, role));
                    slot.is_none_or(|slot| slot.epoch != epoch)
                }
            })
    }

    /// Sets the members that are not confirmed gone, including this instance: those on the live
    /// list and those known from gossip. Must also be called right before
    /// [`set_slots`](Self::set_slots), since new slots wait for the answers of these members.
    pub fn set_members(&mut self, members: &[Peer], now: Millis) {
        self.change_members(members, now);
    }

    /// Sets the known owners of the slots of all regions.
    pub fn set_owners(&mut self, owners: impl IntoIterator<Item = (SlotId, Peer)>) {
        let owners: HashMap<SlotId, Peer> = owners.into_iter().collect();
        if owners == self.owners {
            return;
        }
        self.owners = owners;
        for account in self.accounts.values_mut() {
            if let Some(active) = &mut account.active {
                active.remotes.clear();
            }
        }
    }

    /// Sets the slots that this instance owns. Slots with an unchanged epoch keep their parts and
    /// are no longer suspended, parts of new slots start empty, and levels of handed-over slots are
    /// kept for their next owner.
    pub fn set_slots(&mut self, owned: &[OwnedSlot], now: Millis) {
        let wanted: BTreeMap<(u16, Role), u64> = owned
            .iter()
            .map(|slot| ((slot.shard, slot.role), slot.epoch))
            .collect();
        let dropped: Vec<(u16, Role)> = self
            .slots
            .iter()
            .filter(|(key, slot)| wanted.get(key) != Some(&slot.epoch))
            .map(|(key, _)| *key)
            .collect();
        for key in dropped {
            self.drop_slot(key, now);
        }
        for (key, epoch) in wanted {
            if !self.slots.contains_key(&key) {
                self.add_slot(key, epoch, now);
            }
        }
        for slot in self.slots.values_mut() {
            slot.is_suspended = false;
        }
        self.refresh_accounts(now);
    }

    /// Suspends slots that are about to be handed over; to be called before the write of the
    /// ownership record is sent. They stay suspended until [`set_slots`](Self::set_slots) is called
    /// with the record as read afterwards.
    pub fn suspend(&mut self, slots: &[(u16, Role)], now: Millis) {
        for key in slots {
            if let Some(slot) = self.slots.get_mut(key) {
                slot.is_suspended = true;
            }
        }
        self.refresh_accounts(now);
    }

    /// Invalidates all owned slots after a long pause of this instance, and returns borrowed tokens
    /// to their lenders. The returned charges are no longer covered: the caller must end their
    /// requests and settle them with the tokens used so far.
    pub fn invalidate_slots(&mut self) -> Vec<ChargeId> {
        self.are_slots_invalid = true;
        for loan in self.taken_loans.values_mut() {
            loan.give_back();
        }
        self.taken_loans.retain(|_, loan| loan.granted.is_some());
        for account in self.accounts.values_mut() {
            account.active = None;
        }
        self.charges.keys().copied().map(ChargeId).collect()
    }

    /// Makes slots usable again after the store has confirmed that this instance owns `owned`.
    pub fn confirm_slots(&mut self, owned: &[OwnedSlot], now: Millis) {
        self.set_slots(owned, now);
        self.are_slots_invalid = false;
    }

    /// Totals over all accounts.
    pub fn totals(&self) -> LimiterTotals {
        LimiterTotals {
            slots: self.slots.len(),
            accounts: self
                .accounts
                .values()
                .filter(|account| account.parts.iter().any(Option::is_some))
                .count(),
            charges: self.charges.len(),
            loans_taken: self.taken_loans.len(),
            loans_given: self.given_loans.len(),
        }
    }

    /// Returns the active state of an account, created if needed, with the slots that it may borrow
    /// from.
    pub(super) fn activate(&mut self, id: &AccountId, now: Millis) -> Option<&mut ActiveState> {
        let account = self.accounts.get_mut(id)?;
        let active = account.active.get_or_insert_default();
        if active.remotes.is_empty() {
            let table = self.tables.last()?;
            for region in table.regions() {
                for role in Role::ALL {
                    let slot = SlotId {
                        region: region.clone(),
                        shard: account.shard,
                        role,
                    };
                    let share = table.share(id, region, role);
                    let Some(owner) = self.owners.get(&slot) else {
                        continue;
                    };
                    if share.cap_micro == 0 || *owner == self.me {
                        continue;
                    }
                    active.remotes.push(RemoteSlot {
                        slot,
                        owner: owner.clone(),
                        share,
                        level_micro: share.cap_micro,
                        updated: now,
                        is_request_pending: false,
                    });
                }
            }
            let home = &self.region;
            active
                .remotes
                .sort_by_key(|remote| remote.slot.region != *home);
        }
        Some(active)
    }

    /// Revision of the newest applied document; 0 if there is none.
    pub(super) fn revision(&self) -> u64 {
        self.tables.last().map_or(0, |table| table.revision)
    }

    /// Whether this instance has been running for [`JOIN_DELAY_MS`], so that every member knows it
    /// and audits it when a slot changes its owner. An instance does not borrow before that.
    pub fn has_joined(&self, now: Millis) -> bool {
        self.first_tick
            .is_some_and(|first| now.since(first) >= JOIN_DELAY_MS)
    }

    pub(super) fn next_loan(&mut self) -> u64 {
        self.next_loan += 1;
        self.next_loan
    }

    /// Effective share of an owned part: the minimum over all revisions that may be in force.
    pub(super) fn effective_share(&self, account: &AccountId, role: Role) -> PartShare {
        let Some(first) = self.tables.first() else {
            return PartShare::default();
        };
        // Smaller shares of revisions before the first known one may still be in force.
        if first.revision > self.fleet_revision {
            return PartShare::default();
        }
        self.tables
            .iter()
            .map(|table| table.share(account, &self.region, role))
            .reduce(PartShare::min)
            .unwrap_or_default()
    }

    /// Creates, updates and removes accounts and parts to match the limit tables and owned slots.
    fn refresh_accounts(&mut self, now: Millis) {
        let Some(newest) = self.tables.last() else {
            return;
        };
        for id in newest.accounts.keys() {
            if !self.accounts.contains_key(id) {
                let account = AccountState::new(shard_of(id));
                self.accounts.insert(id.clone(), account);
            }
        }
        let revision = newest.revision;
        let mut accounts = std::mem::take(&mut self.accounts);
        for (id, account) in &mut accounts {
            if let Some(active) = &mut account.active {
                active.remotes.clear();
            }
            for (index, role) in Role::ALL.into_iter().enumerate() {
                let slot = self.slots.get(&(account.shard, role));
                account.parts[index] = match (account.parts[index].take(), slot) {
                    (_, None) => None,
                    (Some(part), Some(slot)) if part.epoch == slot.epoch => Some(part),
                    (_, Some(slot)) => Some(BucketPart::new(slot.epoch, now)),
                };
                let Some(part) = &mut account.parts[index] else {
                    continue;
                };
                let share = self.effective_share(id, role);
                part.set_limits(share.cap_micro, share.rate_micro_per_s, now);
                if let Some(slot) = slot {
                    part.is_suspended = slot.is_suspended;
                    part.set_held(slot.held_micro(id, share.cap_micro, revision, now), now);
                }
            }
        }
        accounts.retain(|id, account| {
            newest.accounts.contains_key(id) || account.parts.iter().any(Option::is_some)
        });
        self.accounts = accounts;
    }
}
