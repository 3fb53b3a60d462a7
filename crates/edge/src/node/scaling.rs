//! Load and number of the upstreams of services that this deployment scales.

use super::{Node, State};
use crate::{
    duty::DutyKind,
    hash::short_hash,
    log::Event,
    model::Service,
    place::InferenceJob,
    scaling::Scaling,
    settings::Settings,
    upstream::{Load, Upstream},
};
use carobwheel_core::{
    autoscale::{
        Autoscaler, EngineRate, OfferedLoad, ScaleChange, ScaleInput, ScalingBounds, Site,
    },
    time::Millis,
};
use std::sync::Arc;

pub use crate::scaling::UnmetLoad;

/// Time within which an instance has to be heard for its load to be known, in milliseconds.
const HEARD_MS: u64 = 1_500;
/// Share of the region's other instances that have to be heard for its load to be known.
const MIN_HEARD_SHARE: f64 = 0.8;
/// Assumed duration of a request that could not be placed if no request in progress indicates one, in seconds.
const DEFAULT_REQUEST_S: f64 = 2.0;
/// Largest assumed ratio of requests that could not be placed to requests in progress.
const MAX_UNMET_RATIO: f64 = 5.0;

/// State for the numbers of upstreams, if the deployment sets them.
pub(crate) fn scaling_of(settings: &Settings) -> Option<Scaling> {
    let duties = settings.duties.as_ref()?;
    let is_wanted = duties.kinds.contains(&DutyKind::Autoscale);
    is_wanted.then(Scaling::default)
}

impl Node {
    /// Counts a request that could not be placed in the own region for lack of capacity.
    pub fn note_unmet(&self, service: &Arc<str>, job: &InferenceJob) {
        let now = self.now();
        if let Some(scaling) = &mut self.state.borrow_mut().scaling {
            scaling.note_unmet(service, job, now);
        }
    }

    /// Observes the scaled services, and decides on their numbers if this instance holds the duty. Only
    /// delegates hear the load of all instances of the region.
    pub(super) fn tick_scaling(&self) {
        let (now, boot_now) = (self.now(), self.clock.boot_now());
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let begin = |scaling: &mut Scaling| scaling.begin_observation(boot_now);
        if !state.scaling.as_mut().is_some_and(begin) {
            return;
        }
        let is_known = state.is_load_known(self, now);
        let Some(mut scaling) = state.scaling.take() else {
            return;
        };
        let has_term = scaling.update_term(boot_now);
        let age_ms = scaling.update_load_age(is_known, now);
        let own_unmet = scaling.own_unmet(short_hash, now);
        let config = state.config.clone().unwrap_or_default();
        scaling.services.retain(|name, _| {
            config
                .services
                .get(name)
                .is_some_and(|it| it.scaling.is_some())
        });
        for service in config.services.values() {
            let unmet = scaling.unmet(&own_unmet, short_hash(&service.name), now);
            let Some(input) = state.scale_input(self, service, unmet, age_ms, now) else {
                continue;
            };
            let scaler = scaling
                .services
                .entry(Arc::clone(&service.name))
                .or_insert_with(|| {
                    let mut scaler = Autoscaler::default();
                    if has_term {
                        scaler.begin_term(boot_now);
                    }
                    scaler
                });
            let changes = scaler.update(&input, boot_now);
            self.log_scaling(&service.name, &changes);
            let numbers = scaler.numbers();
            let numbers = numbers.map(|(name, desired, present)| {
                (Arc::clone(name), has_term.then_some(desired), present)
            });
            self.metrics.scaling.set(&service.name, numbers);
        }
        state.scaling = Some(scaling);
    }

    fn log_scaling(&self, service: &str, changes: &[ScaleChange]) {
        for change in changes {
            self.log.event(Event::ScaleDecided {
                service,
                data_centre: &change.data_centre,
                before: change.before,
                desired: change.desired,
                level: change.level,
                expected: change.expected,
            });
        }
    }
}

impl State {
    /// Whether the load of the region is known here: this instance hears nearly all others directly and
    /// follows the entries of upstreams.
    fn is_load_known(&self, node: &Node, now: Millis) -> bool {
        if !self.topology.is_delegate || !self.follows_upstreams() {
            return false;
        }
        let members = self.members.by_name.values();
        let others =
            members.filter(|member| member.entry.region == node.region && member.has_entry);
        let (mut all, mut heard) = (0.0, 0.0);
        for member in others {
            all += 1.0;
            heard += f64::from(u8::from(member.has_direct_within(HEARD_MS, now)));
        }
        heard >= all * MIN_HEARD_SHARE
    }

    /// What is known of a service; `None` if its number is not set by the gateway.
    fn scale_input(
        &self,
        node: &Node,
        service: &Service,
        (unmet_per_s, unmet_tokens_per_s): (f64, f64),
        age_ms: u64,
        now: Millis,
    ) -> Option<ScaleInput> {
        let scaling = service.scaling?;
        let upstreams = self.upstreams.by_id.values();
        let in_region: Vec<&Upstream> = upstreams
            .filter(|up| up.entry.service == service.name && up.region == node.region)
            .collect();
        let mut load = Load::default();
        for upstream in &in_region {
            load += upstream.load(now);
        }
        let requests = f64::from(load.requests);
        let served_tokens_per_s = f64::from(load.prefill_tokens_per_s);
        // Requests that could not be placed would be in progress for as long as the others.
        let unmet_requests = if served_tokens_per_s > 0.0 && unmet_tokens_per_s > 0.0 {
            requests * (unmet_tokens_per_s / served_tokens_per_s).min(MAX_UNMET_RATIO)
        } else {
            unmet_per_s * DEFAULT_REQUEST_S
        };
        Some(ScaleInput {
            sites: self.sites(node, &in_region, now),
            load: OfferedLoad {
                prefill_tokens_per_s: served_tokens_per_s + unmet_tokens_per_s,
                queued_tokens: f64::from(load.unread_tokens),
                requests: requests + unmet_requests,
            },
            age_ms,
            engine: engine_rate(service, &in_region),
            bounds: ScalingBounds {
                min: scaling.min,
                max: scaling.max,
                boot_ms: scaling.boot_ms,
                cold_ms: service.cold_ms,
            },
        })
    }

    /// Upstreams in each data centre of the region.
    fn sites(&self, node: &Node, upstreams: &[&Upstream], now: Millis) -> Vec<Site> {
        let regions = node.settings.regions.iter();
        let own = regions.filter(|(_, region)| **region == *node.region);
        own.map(|(data_centre, _)| {
            let mut site = Site {
                data_centre: data_centre.as_str().into(),
                is_evacuated: self.evacuated.contains(data_centre.as_str()),
                ..Site::default()
            };
            let here = upstreams
                .iter()
                .filter(|up| *up.entry.data_centre == **data_centre);
            for upstream in here {
                if upstream.leaving_at.is_some() {
                    site.draining += 1;
                } else if upstream.cold.is_cold(now) {
                    site.cold += 1;
                } else {
                    site.ready += 1;
                }
            }
            site
        })
        .collect()
    }
}

/// What one upstream of the service can do: its stated slots, and the mean of the measured speeds.
fn engine_rate(service: &Service, upstreams: &[&Upstream]) -> EngineRate {
    #[allow(clippy::cast_precision_loss)]
    let count = (upstreams.len() as f64).max(1.0);
    let mean =
        |value: fn(&Upstream) -> f64| upstreams.iter().map(|up| value(up)).sum::<f64>() / count;
    match service.engine {
        Some(engine) => EngineRate {
            prefill_tokens_per_s: 1_000.0 * mean(|up| up.prefill_tokens_per_ms),
            slots: f64::from(engine.slots),
        },
        None => EngineRate {
            prefill_tokens_per_s: 0.0,
            slots: mean(|up| f64::from(up.entry.slots)),
        },
    }
}
