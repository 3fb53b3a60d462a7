//! The platform's live list: it names instances to turn to, and it lags.

use super::table::{join, Member};
use super::{Identity, MemberEvent, Members, Outgoing, Status};
use crate::time::Millis;

/// One line of the live list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveListEntry {
    /// Name, incarnation, place and addresses.
    pub identity: Identity,
    /// The platform says that the incarnation is leaving.
    pub is_leaving: bool,
}

impl Members {
    /// Takes in the whole live list. An unknown incarnation becomes a candidate that is probed; it
    /// counts as a member once a packet or gossip confirms it. `is_leaving` counts at once. A
    /// member that the list lacks stays as it is.
    pub fn on_live_list(&mut self, list: &[LiveListEntry], now: Millis) -> Vec<Outgoing> {
        self.listed = list
            .iter()
            .map(|line| (line.identity.instance.clone(), line.identity.incarnation))
            .collect();
        self.listed_at = Some(now);
        for line in list {
            if line.identity.instance == self.own {
                self.take_own_line(line);
            } else {
                self.take_line(line, now);
            }
        }
        self.take_out()
    }

    fn take_own_line(&mut self, line: &LiveListEntry) {
        let incarnation = line.identity.incarnation;
        if incarnation > self.own_incarnation {
            self.report(MemberEvent::Superseded { incarnation });
        }
        let is_news = line.is_leaving && !self.own_member().status.is_leaving;
        if incarnation == self.own_incarnation && is_news {
            self.set_leaving();
            self.report(MemberEvent::ToldToLeave);
        }
    }

    fn take_line(&mut self, line: &LiveListEntry, now: Millis) {
        let identity = &line.identity;
        let known = self.table.get(&identity.instance);
        let is_newer = known.is_none_or(|m| m.identity.incarnation < identity.incarnation);
        if is_newer {
            let mut status = Status::new(0);
            status.is_leaving = line.is_leaving;
            let candidate = Member::new(identity.clone(), status, now);
            self.table
                .members
                .insert(identity.instance.clone(), candidate);
            self.regions
                .note_region(&identity.region, &self.own_region, now);
            return;
        }
        if !line.is_leaving {
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
