//! Handling of the platform's live list, a delayed list of instances that is used for discovery.

use super::table::{join, Member};
use super::{Identity, MemberEvent, Members, Outgoing, Status};
use crate::time::Millis;

/// One instance on the live list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveListEntry {
    /// Name, incarnation, place and addresses.
    pub identity: Identity,
    /// Whether the platform reports that the incarnation is leaving.
    pub is_leaving: bool,
}

impl Members {
    /// Applies a complete live list and returns the packets to send. An unknown incarnation becomes a
    /// candidate that is probed; it counts as a member once a packet or gossip confirms it.
    /// `is_leaving` takes effect at once. Members that are missing from the list are not changed.
    pub fn on_live_list(&mut self, list: &[LiveListEntry], now: Millis) -> Vec<Outgoing> {
        self.listed = list
            .iter()
            .map(|entry| (entry.identity.instance.clone(), entry.identity.incarnation))
            .collect();
        self.listed_at = Some(now);
        for entry in list {
            if entry.identity.instance == self.own {
                self.apply_own_list_entry(entry);
            } else {
                self.apply_list_entry(entry, now);
            }
        }
        self.take_outgoing()
    }

    fn apply_own_list_entry(&mut self, entry: &LiveListEntry) {
        let incarnation = entry.identity.incarnation;
        if incarnation > self.own_incarnation {
            self.report(MemberEvent::Superseded { incarnation });
        }
        let is_newly_leaving = entry.is_leaving && !self.own_member().status.is_leaving;
        if incarnation == self.own_incarnation && is_newly_leaving {
            self.set_leaving();
            self.report(MemberEvent::ToldToLeave);
        }
    }

    fn apply_list_entry(&mut self, entry: &LiveListEntry, now: Millis) {
        let identity = &entry.identity;
        let known = self.table.get(&identity.instance);
        let is_newer = known.is_none_or(|m| m.identity.incarnation < identity.incarnation);
        if is_newer {
            let mut status = Status::new(0);
            status.is_leaving = entry.is_leaving;
            let candidate = Member::new(identity.clone(), status, now);
            self.table
                .members
                .insert(identity.instance.clone(), candidate);
            self.regions
                .note_region(&identity.region, &self.own_region, now);
            return;
        }
        if !entry.is_leaving {
            return;
        }
        let member = self.table.members.get_mut(&identity.instance);
        let Some(member) = member.filter(|m| m.identity.incarnation == identity.incarnation) else {
            return;
        };
        let mut status = member.status;
        status.is_leaving = true;
        let merged = join(member, &status, now);
        if merged.is_status_changed {
            self.rumors
                .add(&identity.instance, super::rumor::Change::Status);
            self.note_merge(&identity.instance, merged, now);
        }
    }
}
