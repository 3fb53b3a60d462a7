//! What a delegate tells other instances of the fleet: heartbeats, sums and reports of others.

use super::{
    gossip::ForecastReport,
    relay::{RelayedReport, ReportCursor},
    Gossip, Node, State,
};
use crate::{
    hash::short_hash,
    limit::DEMAND_TIMEOUT_MS,
    member::{Heartbeat, Member, MemberEntry},
    rollout::RouteEvidence,
    upstream::Load,
};
use carobwheel_core::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Interval at which heartbeats and forecasts are passed on, in milliseconds.
const HEARTBEATS_PERIOD_MS: u64 = 500;
/// What was sent on a link, and when.
#[derive(Clone, Debug, Default)]
pub struct LinkCursor {
    /// Last heartbeats.
    heartbeats_at: Option<Millis>,
    /// Reports of other instances.
    reports: ReportCursor,
}

/// Part of a message that only builds with delegates send.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// Number of the sender's heartbeat.
    pub beat: u32,
    /// Whether the sender wants sums in return.
    pub subscribes: bool,
    /// What the sender has heard; only from delegates.
    pub digest: Option<Digest>,
    /// Time on the sender's clock at which the message was made; 0 if its build does not tell. Appended to
    /// the encoded message.
    #[serde(skip)]
    pub made_at: Millis,
}

/// Instances that the sums of a digest cover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DigestScope {
    /// The digest has no sums.
    #[default]
    Nothing,
    /// The sender's region, for an instance of another one.
    Region,
    /// All but the receiver, which is in the sender's region.
    AllOthers,
}

/// Evidence on one rollout, added up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialSum {
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the target version's name.
    pub target: u32,
    /// Evidence by hash of the route's name.
    pub routes: Vec<(u32, RouteEvidence)>,
}

/// Demand for one account, added up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandSum {
    /// Hash of the account's name.
    pub account: u32,
    /// Demand, in tokens a second.
    pub tokens_per_s: f32,
}

/// What a delegate has heard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Instances that the sums cover.
    pub scope: DigestScope,
    /// Number of instances that the sums cover.
    pub instances: u32,
    /// Heartbeats that are new since the last digest on the same link.
    pub heartbeats: Vec<Heartbeat>,
    /// Services that these instances do not reach, by the index of the heartbeat; appended to the encoded
    /// message.
    #[serde(skip)]
    pub cut_off: BTreeMap<u16, BTreeSet<u32>>,
    /// Load placed on upstreams, by hash of the upstream's id; empty between regions.
    pub loads: Vec<(u32, Load)>,
    /// Demand for accounts; there is none for those that are left out.
    pub demand: Vec<DemandSum>,
    /// Evidence on rollouts.
    pub trials: Vec<TrialSum>,
    /// Forecasts of other regions, by hash of the region's name; empty between regions.
    pub forecasts: Vec<(u32, Vec<ForecastReport>)>,
    /// Urgent reports of other instances.
    pub relayed: Vec<RelayedReport>,
}

impl Node {
    /// Builds the next message on the link to an instance.
    pub fn gossip_for(&self, target: &MemberEntry, cursor: &mut LinkCursor) -> Gossip {
        let is_same_region = target.region == self.region;
        let mut message = self.own_gossip(is_same_region);
        let now = self.now();
        message.additions.duties = self.duty_report_for(target);
        let state = self.state.borrow();
        let digest = if state.topology.is_delegate {
            state.digest_for(self, target, cursor, now)
        } else {
            None
        };
        message.additions.fleet = Some(FleetReport {
            beat: Heartbeat::number(now).max(1),
            subscribes: !state.topology.is_delegate
                && state.sums_from.as_ref() == Some(&target.name),
            digest,
            made_at: now,
        });
        message
    }
}

impl State {
    fn digest_for(
        &self,
        node: &Node,
        target: &MemberEntry,
        cursor: &mut LinkCursor,
        now: Millis,
    ) -> Option<Digest> {
        let scope = self.scope_for(node, target);
        let is_same_region = target.region == node.region;
        let mut digest = Digest {
            scope,
            ..Digest::default()
        };
        let is_due = cursor.heartbeats_at.is_none_or(|at| {
            now.since(at) >= HEARTBEATS_PERIOD_MS || self.members.has_state_changed_since(at)
        });
        let is_delegate = self.topology.region_delegates.contains(&*target.name);
        // An instance hears of others from the one delegate that it subscribes to.
        let is_listener = scope != DigestScope::Nothing || is_delegate;
        if is_listener {
            digest.relayed = self.relayed_reports(node, target, &mut cursor.reports, now);
        }
        if is_due && is_listener {
            let since = cursor.heartbeats_at.replace(now).unwrap_or_default();
            digest.heartbeats = self.heartbeats_for(node, target, since);
            digest.cut_off = self.cut_off_of(&digest.heartbeats);
            if is_same_region {
                digest.forecasts = self.forecasts_of_other_regions(node);
            }
        }
        if scope != DigestScope::Nothing {
            self.add_sums(node, target, &mut digest, now);
        }
        (digest != Digest::default()).then_some(digest)
    }

    fn scope_for(&self, node: &Node, target: &MemberEntry) -> DigestScope {
        if target.region != node.region {
            return DigestScope::Region;
        }
        let known = self.members.by_name.get(&target.name);
        if known.is_some_and(|known| known.is_subscriber) {
            DigestScope::AllOthers
        } else {
            DigestScope::Nothing
        }
    }

    /// Heartbeats for the target: of the own region for other regions, otherwise of all instances.
    fn heartbeats_for(&self, node: &Node, target: &MemberEntry, since: Millis) -> Vec<Heartbeat> {
        let is_same_region = target.region == node.region;
        let is_included = |member: &Member| {
            member.entry.name != target.name
                && (is_same_region || member.entry.region == node.region)
        };
        self.members.heartbeats_since(since, is_included)
    }

    /// Services that the instances of these heartbeats do not reach, by the index of the heartbeat.
    fn cut_off_of(&self, heartbeats: &[Heartbeat]) -> BTreeMap<u16, BTreeSet<u32>> {
        let members = heartbeats.iter().map(|beat| self.members.by_key(beat.key));
        let indexed = (0..u16::MAX).zip(members);
        let cut_off = indexed.filter_map(|(index, member)| Some((index, &member?.cut_off)));
        cut_off
            .filter(|(_, services)| !services.is_empty())
            .map(|(index, services)| (index, services.clone()))
            .collect()
    }

    fn add_sums(&self, node: &Node, target: &MemberEntry, digest: &mut Digest, now: Millis) {
        let is_included = |source: &str| self.is_summed(node, source, target);
        if digest.scope == DigestScope::AllOthers {
            let upstreams = self.upstreams.by_id.values();
            let in_region = upstreams.filter(|upstream| upstream.region == node.region);
            let loads = in_region.map(|up| (up.hash, up.load_without(&target.name, now)));
            digest.loads = loads.filter(|(_, load)| !load.is_idle()).collect();
        }
        digest.instances = self.covered_instances(node, target, now);
        let demand = self.buckets.iter().map(|(account, bucket)| {
            #[allow(clippy::cast_possible_truncation)]
            DemandSum {
                account: short_hash(account),
                tokens_per_s: bucket.summed_demand(is_included, now) as f32,
            }
        });
        digest.demand = demand.filter(|sum| sum.tokens_per_s >= 1.0).collect();
        let trials = self.trials.values().map(|trial| TrialSum {
            service: short_hash(&trial.order.service),
            target: short_hash(&trial.order.target),
            routes: trial.evidence.summed(is_included).into_iter().collect(),
        });
        digest.trials = trials.collect();
    }

    /// Whether reports from `source`, an instance or another region, belong to the sums for `target`.
    fn is_summed(&self, node: &Node, source: &str, target: &MemberEntry) -> bool {
        if target.region == node.region {
            return *source != *target.name;
        }
        let member = self.members.by_name.get(source);
        member.is_some_and(|member| member.entry.region == node.region)
    }

    /// Number of instances that the sums for the target cover, this one included.
    fn covered_instances(&self, node: &Node, target: &MemberEntry, now: Millis) -> u32 {
        let members = self.members.by_name.values();
        let in_region = members.filter(|member| {
            member.entry.region == node.region
                && member.entry.name != target.name
                && member.has_known_demand(now)
        });
        let own_region = u32::try_from(in_region.count()).unwrap_or(u32::MAX);
        let other_regions = self.region_instances.values();
        let recent = other_regions.filter(|(at, _)| now.since(*at) <= DEMAND_TIMEOUT_MS);
        let elsewhere: u32 = recent.map(|(_, instances)| *instances).sum();
        if target.region == node.region {
            1 + own_region + elsewhere
        } else {
            1 + own_region
        }
    }

    fn forecasts_of_other_regions(&self, node: &Node) -> Vec<(u32, Vec<ForecastReport>)> {
        let others = self.region_forecasts.iter();
        others
            .filter(|(region, _)| **region != node.region)
            .map(|(region, (_, reports))| (short_hash(region), reports.clone()))
            .collect()
    }
}
