//! Application of a new configuration document to the decision state.

use super::state::{retry_settings, Configured, State};
use crate::in_force::ActiveDocument;
use carobwheel_core::{
    document::{Serves, Upstream},
    id::UpstreamId,
    retry::{EjectionChange, OutlierDetector, Retrier, UpstreamGroup},
    route::{NetworkDelays, Router, RouterSettings},
    time::Millis,
};
use std::sync::Arc;

/// One-way network delays assumed until they are measured.
const INITIAL_DELAYS: NetworkDelays = NetworkDelays {
    same_data_centre_us: 100,
    same_region_us: 1_000,
    other_region_us: 80_000,
};

impl State {
    /// Puts `next` in force if its revision is higher than the current one.
    pub(super) fn apply(&mut self, next: Arc<ActiveDocument>, now: Millis) {
        let revision = self.revision();
        if revision.is_some_and(|revision| revision >= next.revision) {
            return;
        }
        log::info!(revision = next.revision; "document in force");
        self.outputs.current.replace(Arc::clone(&next));
        if let Some(peers) = &self.outputs.peers {
            peers.serve_document(next.revision, next.bytes.clone());
        }
        let packets = self.members.set_revision(next.revision, now);
        self.outputs.send_packets(packets);
        let limiter = &mut self.charging.limiter;
        limiter.apply_document(next.revision, &next.document, now);
        self.apply_rollouts(&next.document);
        let groups = next.document.upstreams.iter().map(group_of);
        match &mut self.configured {
            Some(configured) => {
                configured.router.apply_document(&next.document, now);
                configured.retrier.set_settings(retry_settings(&next));
                let readmitted = configured.outliers.set_upstreams(groups);
                configured.in_force = Arc::clone(&next);
                configured.apply_ejection_changes(readmitted, now);
            }
            None => {
                let settings = RouterSettings {
                    region: self.identity.region.clone(),
                    data_centre: self.identity.data_centre.clone(),
                    delays: INITIAL_DELAYS,
                };
                let mut outliers = OutlierDetector::default();
                outliers.set_upstreams(groups);
                self.configured = Some(Configured {
                    router: Router::new(settings, &next.document, now),
                    retrier: Retrier::new(retry_settings(&next)),
                    outliers,
                    in_force: next,
                });
            }
        }
        self.place_waiting(now);
    }

    /// Revision of the document in force.
    pub(super) fn revision(&self) -> Option<u64> {
        let configured = self.configured.as_ref()?;
        Some(configured.in_force.revision)
    }
}

impl Configured {
    /// Passes ejections and readmissions of upstreams on to the router.
    pub(super) fn apply_ejection_changes(
        &mut self,
        changes: impl IntoIterator<Item = EjectionChange>,
        now: Millis,
    ) {
        for change in changes {
            match change {
                EjectionChange::Ejected { upstream, .. } => {
                    log::warn!(upstream = upstream.as_str(); "upstream ejected");
                    self.router.set_ejected(&upstream, true, now);
                }
                EjectionChange::Readmitted(upstream) => {
                    log::info!(upstream = upstream.as_str(); "upstream readmitted");
                    self.router.set_ejected(&upstream, false, now);
                }
            }
        }
    }
}

fn group_of(upstream: &Upstream) -> (UpstreamId, UpstreamGroup) {
    let serves = match &upstream.serves {
        Serves::Engine { model, version, .. } => format!("{model}/{version}"),
        Serves::Service { service, .. } => service.to_string(),
    };
    let group = UpstreamGroup {
        region: upstream.region.clone(),
        serves,
    };
    (upstream.id.clone(), group)
}
