//! Upstreams whose process may have restarted, and its exchange within the region.

use super::{
    gossip::RESTART_CHANNEL,
    state::{ActivePlacement, State},
};
use carobwheel_core::{
    id::{InstanceId, UpstreamId},
    retry::Failure,
    time::Millis,
};
use carobwheel_wire::peer::Message;

/// Time for which a possible restart is reported, in milliseconds. Messages may be lost.
const REPORT_LIFETIME_MS: u64 = 3_000;
/// Interval at which reports are repeated, in milliseconds.
const REPEAT_MS: u64 = 1_000;
/// Maximum number of upstreams in one message.
const MAX_REPORTS: usize = 64;

/// Upstreams that may have restarted, each with the age of the observation in milliseconds.
type RestartMessage = Vec<(UpstreamId, u32)>;

/// Possible restarts that this instance has observed itself.
#[derive(Default)]
pub(super) struct Restarts {
    observed: Vec<(UpstreamId, Millis)>,
    has_news: bool,
    sent_at: Millis,
}

impl State {
    /// Records a failed attempt after which the upstream's process may have ended.
    pub(super) fn record_possible_restart(
        &mut self,
        active: &ActivePlacement,
        failure: Failure,
        now: Millis,
    ) {
        let upstream = &active.upstream;
        if !self.suspect_restart(upstream, now) {
            return;
        }
        log::info!(
            upstream = upstream.as_str(), request = active.request_id.as_str();
            "upstream may have restarted: {failure:?}"
        );
        if self.restarts.observed.len() < MAX_REPORTS {
            self.restarts.observed.push((upstream.clone(), now));
            self.restarts.has_news = true;
        }
    }

    /// Reports possible restarts to the other instances of the region: at once, and again for
    /// [`REPORT_LIFETIME_MS`].
    pub(super) fn send_restart_reports(&mut self, now: Millis) {
        let restarts = &mut self.restarts;
        restarts
            .observed
            .retain(|(_, at)| now.since(*at) < REPORT_LIFETIME_MS);
        let is_due = restarts.has_news || now.since(restarts.sent_at) >= REPEAT_MS;
        if restarts.observed.is_empty() || !is_due {
            return;
        }
        restarts.has_news = false;
        restarts.sent_at = now;
        let age_ms = |at: Millis| u32::try_from(now.since(at)).unwrap_or(u32::MAX);
        let reports: RestartMessage = restarts
            .observed
            .iter()
            .map(|(upstream, at)| (upstream.clone(), age_ms(*at)))
            .collect();
        let Ok(bytes) = postcard::to_stdvec(&reports) else {
            return;
        };
        for member in self.region_members() {
            let identity = &member.identity;
            let message = Message::opaque(RESTART_CHANNEL, bytes.clone());
            let addr = Some(identity.peer_addr);
            self.outputs.send(identity.instance.clone(), addr, message);
        }
    }

    /// Takes in the possible restarts that another instance has observed.
    pub(super) fn on_restart_reports(&mut self, from: &InstanceId, bytes: &[u8], now: Millis) {
        let reports = match postcard::from_bytes::<RestartMessage>(bytes) {
            Ok(reports) if reports.len() <= MAX_REPORTS => reports,
            Ok(_) | Err(_) => {
                log::warn!(from = from.as_str(); "malformed reports about restarts ignored");
                return;
            }
        };
        for (upstream, age_ms) in reports {
            let at = Millis(now.0.saturating_sub(u64::from(age_ms)));
            if now.since(at) < REPORT_LIFETIME_MS && self.suspect_restart(&upstream, at) {
                log::info!(
                    upstream = upstream.as_str(), from = from.as_str(), age_ms;
                    "upstream may have restarted, by another instance"
                );
            }
        }
    }

    fn suspect_restart(&mut self, upstream: &UpstreamId, at: Millis) -> bool {
        self.configured
            .as_mut()
            .is_some_and(|configured| configured.router.suspect_end(upstream, at))
    }
}
