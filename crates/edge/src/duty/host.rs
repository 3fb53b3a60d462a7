//! Start of all duties of an instance.

use super::{
    election, pace::Pace, runner::Runner, shared::SharedLease, state::StateKey, DutyInterface,
    DutyKind, DutyMetrics, DutySource,
};
use crate::{log::Event, settings::DutySettings, store::StoreTask};
use carobwheel_core::{
    duty::{Candidacy, DutyRules},
    id::{InstanceId, RegionId},
    time::Clock,
};
use futures::FutureExt as _;
use std::{cell::RefCell, collections::BTreeSet, rc::Rc};
use tokio::sync::mpsc::Sender;

/// Longest duration of a call, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 2_500;

/// The instance as duties see it.
pub struct DutyHost {
    /// Name of the instance.
    pub name: InstanceId,
    /// Region of the instance.
    pub region: RegionId,
    /// All regions.
    pub regions: BTreeSet<String>,
    /// Clock.
    pub clock: Clock,
    /// Tasks for the store's thread.
    pub tasks: Sender<StoreTask>,
    /// Whether the instance may hold a duty.
    pub candidacy: Box<dyn Fn(DutyKind) -> Candidacy>,
    /// Log.
    pub log: Box<dyn Fn(Event<'_>)>,
    /// Metrics.
    pub metrics: Rc<DutyMetrics>,
}

impl std::fmt::Debug for DutyHost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("DutyHost")
    }
}

/// Starts the duties of the settings on the present event loop. Those without a source, and kinds that
/// this build does not know, are not performed.
pub fn start(
    host: DutyHost,
    settings: &DutySettings,
    interface: &DutyInterface,
    sources: Vec<(DutyKind, DutySource)>,
) {
    let holders = holder_count(settings, host.regions.len());
    let host = Rc::new(host);
    for (kind, source) in sources {
        let Some(lease_key) = lease_key(kind, interface, &host.region) else {
            continue;
        };
        if !settings.kinds.contains(&kind) {
            continue;
        }
        let rules = DutyRules {
            lease_ms: settings.lease_ms(),
            call_timeout_ms: CALL_TIMEOUT_MS,
            is_fencing_required: settings.is_fencing_required,
        };
        let shared = SharedLease::new(host.name.clone(), rules);
        let state = source.state_key.clone().map(|key| StateKey {
            key,
            lease_key: lease_key.clone(),
            tasks: host.tasks.clone(),
        });
        let runner = Runner {
            kind,
            host: Rc::clone(&host),
            address: settings.address.clone(),
            interface: interface.clone(),
            shared: shared.clone(),
            state,
            pace: Pace::new(settings.calls_per_s, holders),
            source: RefCell::new(source),
        };
        let clock = host.clock;
        let task: StoreTask =
            Box::new(move |access| election::run(access, lease_key, shared, clock).boxed());
        let tasks = host.tasks.clone();
        tokio::task::spawn_local(async move {
            // The receiver is dropped only at shutdown.
            if tasks.send(task).await.is_ok() {
                runner.run().await;
            }
        });
    }
}

/// Number of holders in the fleet, which share the platform's rate.
fn holder_count(settings: &DutySettings, regions: usize) -> usize {
    let of_kind = |kind: &DutyKind| match kind {
        DutyKind::UsageReport => 1,
        DutyKind::Autoscale => regions,
        DutyKind::Unknown => 0,
    };
    settings.kinds.iter().map(of_kind).sum()
}

/// Key of the lease of a duty.
fn lease_key(kind: DutyKind, interface: &DutyInterface, region: &RegionId) -> Option<String> {
    match kind {
        DutyKind::UsageReport => Some(interface.usage_key.to_owned()),
        DutyKind::Autoscale => Some(format!("{}{region}", interface.scale_prefix)),
        DutyKind::Unknown => None,
    }
}
