//! Handling of received gossip.

use super::{
    digest::{Digest, DigestScope, TrialSum},
    Gossip, Node, State, TrialReport,
};
use crate::{
    hash::short_hash,
    limit::{Bucket, SummedDemand},
    log::Event,
    member::LinkReport,
    rollout::Verdict,
    upstream::Load,
};
use carobwheel_core::{crash::CrashSubject, time::Millis};
use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

/// Age from which a forecast of a region is replaced by one that a delegate passes on, in milliseconds.
const FORECAST_AGE_MS: u64 = 700;

/// What a message tells of rollouts that was not known before.
#[derive(Debug, Default)]
struct TrialNews {
    /// Whether the new version of one is suspected to be bad.
    is_suspect: bool,
    /// Verdicts by service and target.
    verdicts: Vec<(Arc<str>, Arc<str>, Verdict)>,
}

impl Node {
    /// Applies a message from the instance `name`. Messages of an earlier lifetime are ignored.
    pub fn receive_gossip(&self, name: &Arc<str>, mut gossip: Gossip) {
        let now = self.now();
        let fleet = gossip.additions.fleet.take().unwrap_or_default();
        let digest = fleet.digest;
        let scope = digest
            .as_ref()
            .map(|digest| digest.scope)
            .unwrap_or_default();
        let link = LinkReport {
            beat: fleet.beat,
            has_store: gossip.has_store,
            subscribes: fleet.subscribes,
            has_sums: scope == DigestScope::AllOthers,
        };
        let (has_news, verdicts) = {
            let mut state = self.state.borrow_mut();
            let was_ready = state.is_member_ready(name);
            if state.members.is_outdated(name, gossip.life, link.beat) {
                return;
            }
            if !state
                .members
                .record_message(name, gossip.life, gossip.is_ready, now)
            {
                return;
            }
            state.members.record_link(name, link, now);
            let cut_off = &gossip.additions.cut_off;
            let is_cut_off_changed = state.members.record_cut_off(name, cut_off, now);
            let member = state.members.by_name.get(name);
            if let Some(member) = member.filter(|_| is_cut_off_changed) {
                state.log_cut_off(self, member, name);
            }
            state.note_facts(self, name, &gossip, now);
            if scope == DigestScope::Nothing && state.counts_single_messages(now) {
                state.apply_own_part(self, name, &gossip, now);
            }
            // Services out of reach go with the next message: many instances may lose them at once.
            let mut has_news = was_ready != gossip.is_ready;
            if let Some(digest) = &digest {
                has_news |= state.apply_digest(self, name, digest, now);
            }
            let news = state.apply_trial_reports(self, &gossip.trials);
            has_news |= news.is_suspect || !news.verdicts.is_empty();
            (has_news, news.verdicts)
        };
        if let Some(report) = gossip.additions.duties.take() {
            self.receive_duty_report(name, report);
        }
        self.receive_urgent(name, fleet.made_at, &gossip);
        if let Some(digest) = digest {
            self.receive_relayed(digest.relayed);
        }
        for (service, target, verdict) in verdicts {
            self.apply_verdict(&service, &target, verdict, false);
        }
        if has_news && self.state.borrow().topology.is_delegate {
            self.links.announce();
        }
    }

    /// Applies what the sender reports of crashes, limits and leaving upstreams.
    fn receive_urgent(&self, name: &Arc<str>, made_at: Millis, gossip: &Gossip) {
        let additions = &gossip.additions;
        self.receive_limits(name, gossip.life, &additions.limits);
        self.receive_leaving(name, &additions.leaving);
        self.receive_cold(name, &additions.cold);
        self.receive_crash_report(CrashSubject::PromptPart, &gossip.crashes);
        self.receive_crash_report(CrashSubject::Request, &additions.request_crashes);
        let key = {
            let state = self.state.borrow();
            state.members.by_name.get(name).map(|member| member.key)
        };
        if let Some(key) = key {
            self.keep_own_report_of(key, made_at, gossip);
        }
    }
}

impl State {
    fn is_member_ready(&self, name: &str) -> bool {
        let member = self.members.by_name.get(name);
        member.is_some_and(|member| member.is_ready)
    }

    /// Whether messages of single instances count: a delegate adds them up, and an instance without
    /// sums has nothing better.
    fn counts_single_messages(&self, now: Millis) -> bool {
        self.topology.is_delegate || !self.members.has_sums(now)
    }

    /// Records what the sender knows of the store, and its forecasts.
    fn note_facts(&mut self, node: &Node, name: &Arc<str>, gossip: &Gossip, now: Millis) {
        let Some(member) = self.members.by_name.get_mut(name) else {
            return;
        };
        let reports = gossip.forecasts.iter();
        member.forecasts = reports
            .map(|report| ((report.service, report.kind), report.forecast()))
            .collect();
        member.revisions.clone_from(&gossip.revisions);
        member.eras.clone_from(&gossip.additions.eras);
        member.config_version = gossip.additions.config_version;
        if member.entry.region != node.region && !gossip.forecasts.is_empty() {
            let region = Arc::clone(&member.entry.region);
            let forecasts = (now, gossip.forecasts.clone());
            self.region_forecasts.insert(region, forecasts);
        }
    }

    /// Applies the sender's own load, demand and evidence.
    fn apply_own_part(&mut self, node: &Node, name: &Arc<str>, gossip: &Gossip, now: Millis) {
        self.apply_loads(name, &gossip.loads, now);
        for (account, _) in &gossip.asked {
            self.add_bucket(node, *account, now);
        }
        for (account, bucket) in &mut self.buckets {
            let hash = short_hash(account);
            let asked = gossip.asked.iter().find(|(account, _)| *account == hash);
            // An account that is left out was not asked for in the sender's lifetime.
            let requested = asked.map_or(0, |(_, requested)| *requested);
            bucket.update_peer_demand(name, gossip.life, requested, now);
        }
        for report in &gossip.trials {
            let routes = report.routes.iter().copied().collect();
            self.update_evidence(name, (report.service, report.target), routes);
        }
    }

    /// Applies what a delegate has heard. Returns whether an instance has become ready or ceased to be.
    fn apply_digest(&mut self, node: &Node, name: &Arc<str>, digest: &Digest, now: Millis) -> bool {
        let is_changed = self.apply_heartbeats(node, name, digest, now);
        self.apply_forecasts(node, digest, now);
        match digest.scope {
            DigestScope::Nothing => {}
            DigestScope::AllOthers if !self.topology.is_delegate => {
                // The sums replace what was heard from single instances and other delegates.
                self.forget_sums();
                self.apply_loads(name, &digest.loads, now);
                self.apply_sums(node, name, digest, now);
            }
            DigestScope::Region if self.topology.is_delegate => {
                let region = self.members.by_name.get(name);
                if let Some(region) = region.map(|member| Arc::clone(&member.entry.region)) {
                    self.region_instances
                        .insert(Arc::clone(&region), (now, digest.instances));
                    self.apply_sums(node, &region, digest, now);
                }
            }
            DigestScope::AllOthers | DigestScope::Region => {}
        }
        is_changed
    }

    fn apply_heartbeats(
        &mut self,
        node: &Node,
        name: &Arc<str>,
        digest: &Digest,
        now: Millis,
    ) -> bool {
        let none = BTreeSet::new();
        let mut is_changed = false;
        for (index, heartbeat) in digest.heartbeats.iter().enumerate() {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            let cut_off = digest.cut_off.get(&index).unwrap_or(&none);
            let known = self.members.by_key(heartbeat.key);
            let is_cut_off_changed = known.is_some_and(|known| known.cut_off != *cut_off);
            let was_ready = known.is_some_and(|known| known.is_ready);
            if !self.members.record_heartbeat(*heartbeat, cut_off, now) {
                continue;
            }
            let member = self.members.by_key(heartbeat.key);
            is_changed |= was_ready != member.is_some_and(|member| member.is_ready);
            if let Some(member) = member.filter(|_| is_cut_off_changed) {
                self.log_cut_off(node, member, name);
            }
        }
        is_changed
    }

    fn apply_forecasts(&mut self, node: &Node, digest: &Digest, now: Millis) {
        if digest.forecasts.is_empty() {
            return;
        }
        let regions: BTreeSet<&String> = node.settings.regions.values().collect();
        for region in regions {
            let hash = short_hash(region);
            let reported = digest.forecasts.iter().find(|(key, _)| *key == hash);
            let Some((_, reports)) = reported.filter(|_| **region != *node.region) else {
                continue;
            };
            let known = self.region_forecasts.get(region.as_str());
            if known.is_none_or(|(at, _)| now.since(*at) >= FORECAST_AGE_MS)
                || !self.topology.is_delegate
            {
                let forecasts = (now, reports.clone());
                self.region_forecasts
                    .insert(region.as_str().into(), forecasts);
            }
        }
    }

    /// Applies sums of demand and evidence under the name of their source.
    fn apply_sums(&mut self, node: &Node, source: &Arc<str>, digest: &Digest, now: Millis) {
        if self.topology.is_delegate {
            for sum in &digest.demand {
                self.add_bucket(node, sum.account, now);
            }
        }
        for (account, bucket) in &mut self.buckets {
            let hash = short_hash(account);
            let asked = digest.demand.iter().find(|sum| sum.account == hash);
            let per_s = asked.map_or(0.0, |sum| f64::from(sum.tokens_per_s).max(0.0));
            let sum = SummedDemand {
                per_s,
                instances: digest.instances as usize,
            };
            bucket.update_summed_demand(source, sum, now);
        }
        for TrialSum {
            service,
            target,
            routes,
        } in &digest.trials
        {
            let routes = routes.iter().copied().collect();
            self.update_evidence(source, (*service, *target), routes);
        }
    }

    /// Creates the bucket of the account whose name has this hash. A delegate needs it before it has had
    /// a request of the account itself.
    fn add_bucket(&mut self, node: &Node, account: u32, now: Millis) {
        let config = self.config.clone().unwrap_or_default();
        let mut accounts = config.accounts.iter();
        let known = accounts
            .find(|(name, limited)| short_hash(name) == account && limited.tokens_per_s > 0.0);
        let Some((name, limited)) = known else {
            return;
        };
        if self.buckets.contains_key(name) {
            return;
        }
        let fleet = self.members.fleet(now);
        let limit = node.account_limit(limited);
        let bucket = Bucket::new(&limit, fleet, now);
        self.buckets.insert(Arc::clone(name), bucket);
    }

    fn update_evidence(
        &mut self,
        source: &Arc<str>,
        (service, target): (u32, u32),
        routes: HashMap<u32, crate::rollout::RouteEvidence>,
    ) {
        let is_it = |trial: &&mut crate::rollout::Trial| {
            short_hash(&trial.order.service) == service && short_hash(&trial.order.target) == target
        };
        if let Some(trial) = self.trials.values_mut().find(is_it) {
            trial.evidence.update_peer(source, routes);
        }
    }

    /// Replaces the sender's load on each upstream.
    fn apply_loads(&mut self, name: &Arc<str>, loads: &[(u32, Load)], now: Millis) {
        let loads: HashMap<u32, Load> = loads.iter().copied().collect();
        for upstream in self.upstreams.by_id.values_mut() {
            match loads.get(&upstream.hash) {
                Some(load) => {
                    upstream.peer_loads.insert(Arc::clone(name), (*load, now));
                }
                None => {
                    upstream.peer_loads.remove(name);
                }
            }
        }
    }

    /// Merges the sender's suspicions. Returns the verdicts that it reports and that are news.
    fn apply_trial_reports(&mut self, node: &Node, reports: &[TrialReport]) -> TrialNews {
        let mut news = TrialNews::default();
        for report in reports {
            let is_it = |trial: &&mut crate::rollout::Trial| {
                short_hash(&trial.order.service) == report.service
                    && short_hash(&trial.order.target) == report.target
            };
            let Some(trial) = self.trials.values_mut().find(is_it) else {
                continue;
            };
            let (service, target) = (&trial.order.service, &trial.order.target);
            if report.is_suspect && !trial.is_suspect() {
                let ended = trial.evidence.new_ended();
                node.log.event(Event::TrialSuspected {
                    service,
                    target,
                    ended,
                });
                trial.mark_suspect();
                news.is_suspect = true;
            }
            let verdict = report.verdict.filter(|_| trial.verdict == Verdict::Active);
            if let Some(is_complete) = verdict {
                let verdict = if is_complete {
                    Verdict::Complete
                } else {
                    Verdict::Reverted
                };
                let (service, target) = (&trial.order.service, &trial.order.target);
                news.verdicts
                    .push((Arc::clone(service), Arc::clone(target), verdict));
            }
        }
        news
    }
}
