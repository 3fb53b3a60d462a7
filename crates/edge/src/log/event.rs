//! Events of the structured log.

use crate::rollout::VersionCounts;
use serde::Serialize;

/// A decision on a request, or a change of the instance's state.
///
/// Times and ages are in milliseconds. `request` is the caller's identifier of its attempt, which
/// is the same on all instances that handle it.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Event<'a> {
    Started {
        region: &'a str,
        life: u64,
    },
    Stopping {
        in_flight: usize,
    },
    Stopped {
        in_flight: usize,
    },
    SettingsReloaded {
        is_changed: bool,
    },
    SettingsRefused {
        reason: &'a str,
    },
    DependencyLost {
        dependency: &'a str,
        reason: &'a str,
    },
    DependencyBack {
        dependency: &'a str,
        lost_ms: u64,
    },
    ConfigInForce {
        version: u64,
        before: u64,
        routes: usize,
        accounts: usize,
    },
    /// The store has come back with an older copy; `config` is the version in force.
    StoreRestored {
        era: u64,
        before: u64,
        revision: u64,
        config: u64,
    },
    OlderConfigIgnored {
        in_force: u64,
    },
    ConfigRefused {
        reason: &'a str,
    },
    EntryIgnored {
        key: &'a str,
        reason: &'a str,
    },
    UpstreamSeen {
        upstream: &'a str,
        service: &'a str,
        version: &'a str,
        stage: &'a str,
        cold_left_ms: u64,
    },
    UpstreamMissing {
        upstream: &'a str,
        is_after_outage: bool,
    },
    UpstreamForgotten {
        upstream: &'a str,
    },
    UpstreamEjected {
        upstream: &'a str,
        request: &'a str,
        error_share: f64,
    },
    /// This instance reaches no upstream of the service in its region.
    UpstreamsUnreachable {
        service: &'a str,
        /// Distinct upstreams whose contacts have failed.
        contacted: usize,
        silent_ms: u64,
        probes: u32,
    },
    /// An upstream of the service has been heard again.
    UpstreamsReachable {
        service: &'a str,
        /// Time for which none was in reach.
        lost_ms: u64,
        probes: u32,
    },
    /// An upstream that counted as warm is taken to be cold, without an entry that says so.
    UpstreamAssumedCold {
        upstream: &'a str,
        cause: &'a str,
        /// Instance whose report is the cause; empty for other causes.
        heard_from: &'a str,
        left_ms: u64,
    },
    /// Result of a health check of an upstream that may have restarted.
    RestartChecked {
        upstream: &'a str,
        /// `warm`, `cold` or `no_answer`.
        result: &'a str,
        left_ms: u64,
        /// Whether the other instances of the region are told of it.
        is_reported: bool,
    },
    /// Whether the upstreams' entries can be followed; if not, the upstreams are asked.
    UpstreamNews {
        has_news: bool,
        without_ms: u64,
    },
    UpstreamLimited {
        upstream: &'a str,
        /// Instance whose report brought the news; empty if a response did.
        heard_from: &'a str,
        /// Requests a second; 0 without a limit.
        rate_per_s: f64,
        before_per_s: f64,
        news_age_ms: u64,
    },
    /// A request has waited for a limited upstream, behind `ahead` others.
    LimitWaited {
        request: &'a str,
        ahead: usize,
        waited_ms: u64,
        is_placed: bool,
    },
    /// Whether the items below a prefix of the store can be read. They may be out of reach while
    /// other calls to the store succeed.
    PrefixFollowed {
        prefix: &'a str,
        is_followed: bool,
    },
    /// An upstream has stated that it is leaving.
    UpstreamLeaving {
        upstream: &'a str,
        /// Request whose response stated it; empty if another instance reported it.
        request: &'a str,
        /// Instance that reported it; empty if a response stated it.
        heard_from: &'a str,
    },
    /// The statement of an upstream on whether it is leaving is not valid.
    UpstreamLeavingIgnored {
        upstream: &'a str,
        request: &'a str,
    },
    /// An upstream has stated how many rejections a second it endures; 0 if it states it no more.
    UpstreamBrittle {
        upstream: &'a str,
        /// Instance whose report brought the news; empty if a response did.
        heard_from: &'a str,
        max_rejections_per_s: u32,
        /// Requests of this instance that it has rejected.
        rejections: u32,
    },
    UpstreamBrittleIgnored {
        upstream: &'a str,
        request: &'a str,
        text: &'a str,
    },
    /// A brittle upstream has rejected a request; counts those in flight, of this and of all instances.
    BrittleRejection {
        upstream: &'a str,
        request: &'a str,
        in_flight: u32,
        at_upstream: u32,
        slots: u32,
    },
    UpstreamLimitIgnored {
        upstream: &'a str,
        request: &'a str,
        text: &'a str,
    },
    Evacuated {
        data_centre: &'a str,
        is_evacuated: bool,
    },
    MemberSeen {
        member: &'a str,
        life: u64,
    },
    MemberForgotten {
        member: &'a str,
        unheard_ms: u64,
    },
    /// Whether this instance watches the store itself; for its region, or since others tell it too little.
    StoreWatched {
        is_watcher: bool,
        is_for_region: bool,
    },
    /// Another instance knows a later position of a prefix of the store.
    StoreBehind {
        member: &'a str,
        prefix: usize,
        after: u64,
        revision: u64,
    },
    /// Changes were pulled `behind_ms` after another instance was first heard to know them.
    Pulled {
        member: &'a str,
        prefix: usize,
        behind_ms: u64,
        after_era: u64,
        after: u64,
        era: u64,
        revision: u64,
        facts: usize,
        /// What the facts leave out.
        coverage: &'a str,
    },
    PullFailed {
        member: &'a str,
        prefix: usize,
        behind_ms: u64,
        reason: &'a str,
    },
    LinkUp {
        member: &'a str,
    },
    LinkLost {
        member: &'a str,
        reason: &'a str,
    },
    /// Packets of a link that was up, up to its loss.
    LinkPackets {
        member: &'a str,
        up_ms: u64,
        round_trip_ms: u64,
        sent_packets: u64,
        lost_packets: u64,
        sent_bytes: u64,
        received_bytes: u64,
    },
    /// Work since the last such line. `max_late_ms` is the longest delay of the event loop; the other
    /// times are those of its work that is not done for single requests.
    Load {
        is_delegate: bool,
        max_late_ms: u64,
        in_flight: usize,
        peer_exchanges: usize,
        gossip_sent: u64,
        gossip_sent_bytes: u64,
        gossip_received: u64,
        gossip_received_bytes: u64,
        gossip_announced: u64,
        gossip_built_ms: u64,
        gossip_applied_ms: u64,
        store_applied_ms: u64,
        ticks_ms: u64,
    },
    TrialSeen {
        service: &'a str,
        target: &'a str,
        duration_ms: u64,
    },
    TrialSuspected {
        service: &'a str,
        target: &'a str,
        ended: u32,
    },
    /// A version on trial gets most requests, then all.
    TrialShifted {
        service: &'a str,
        target: &'a str,
        evidence: VersionCounts,
    },
    /// A trial ends without enough evidence for its version.
    TrialUnproven {
        service: &'a str,
        target: &'a str,
        evidence: VersionCounts,
    },
    TrialVerdict {
        service: &'a str,
        target: &'a str,
        verdict: &'a str,
        is_own: bool,
    },
    VerdictNotRecorded {
        service: &'a str,
        reason: &'a str,
    },
    /// Counts of windows up to `window` were committed; `requests` are those of the last one.
    UsageCommitted {
        window: u64,
        windows: usize,
        requests: u64,
    },
    /// A window is so old that its report is not sent any more.
    UsageWindowSkipped {
        window: u64,
    },
    /// Requests are left out of a report since no configuration has named their account.
    UsageAccountUnknown {
        window: u64,
        requests: u64,
    },
    /// The committed windows in the store cannot be read.
    UsageStateIgnored {
        reason: &'a str,
    },
    /// Another number of upstreams is wanted in a data centre. `level` and `expected` are the region's demand,
    /// now and when a new upstream would serve, in upstreams.
    ScaleDecided {
        service: &'a str,
        data_centre: &'a str,
        before: u32,
        desired: u32,
        level: f64,
        expected: f64,
    },
    LeaseLost {
        reason: &'a str,
    },
    Admitted {
        request: &'a str,
        route: &'a str,
        account: &'a str,
        config: u64,
        tokens: u64,
    },
    Refused {
        request: &'a str,
        route: &'a str,
        account: &'a str,
        status: u16,
        reason: &'a str,
        retry_after_ms: u64,
        config: u64,
    },
    Placed {
        request: &'a str,
        upstream: &'a str,
        attempt: u32,
        wait_ms: u64,
        unread_tokens: u32,
        at_upstream: u32,
        /// Time for which the upstream was believed to stay cold; 0 if it counted as warm.
        cold_left_ms: u64,
        /// Whether the upstream had been ejected and is tried again.
        is_ejected: bool,
        config: u64,
    },
    Forwarded {
        request: &'a str,
        member: &'a str,
        region: &'a str,
        wait_ms: u64,
        local_wait_ms: i64,
        /// Why it does not run here: `region` (another region is preferable, or the own one may not serve it),
        /// `failed` (it failed here), `limit` (this instance may not use a limited upstream) or `cut_off`
        /// (this instance reaches no upstream).
        cause: &'a str,
    },
    /// An instance does not reach the upstreams of these services, by its own account; none if it reaches all.
    MemberCutOff {
        member: &'a str,
        /// Names of the services that the configuration knows.
        services: &'a str,
        /// Number of all services.
        count: u64,
        heard_from: &'a str,
    },
    SendFailed {
        request: &'a str,
        upstream: &'a str,
        attempt: u32,
        reason: &'a str,
        may_have_run: bool,
        will_retry: bool,
        after_ms: u64,
    },
    Resumed {
        request: &'a str,
        upstream: &'a str,
        last_event: u64,
    },
    AnswerBroken {
        request: &'a str,
        upstream: &'a str,
        reason: &'a str,
        events: u64,
        after_ms: u64,
    },
    StreamEnded {
        request: &'a str,
        upstream: &'a str,
        events: u64,
        after_ms: u64,
    },
    Answered {
        request: &'a str,
        upstream: &'a str,
        status: u16,
        first_byte_ms: u64,
    },
    CallerLeft {
        request: &'a str,
        after_ms: u64,
    },
    /// A caller's connection has closed under a request that was read and has no complete answer.
    ConnectionClosed {
        request: &'a str,
        closed_by: &'a str,
        reason: &'a str,
        after_ms: u64,
    },
    /// Connections and requests dropped because of the limits on callers, since the last such line.
    CallersDropped {
        reason: &'a str,
        count: u64,
    },
    CrashSeen {
        request: &'a str,
        upstream: &'a str,
        parts: &'a [String],
        fingerprint: &'a str,
        at_upstream: u32,
    },
    PartHeld {
        part: &'a str,
        crashes: u32,
        for_ms: u64,
        source: &'a str,
    },
    RequestHeld {
        fingerprint: &'a str,
        crashes: u32,
        for_ms: u64,
        source: &'a str,
    },
    RequestReleased {
        fingerprint: &'a str,
        source: &'a str,
    },
    PartReleased {
        part: &'a str,
        source: &'a str,
    },
    /// `part` is a fingerprint if the subject is a request.
    HoldLapsed {
        part: &'a str,
        subject: &'a str,
        source: &'a str,
    },
    /// `part` is a fingerprint if the subject is a request.
    HoldApplied {
        request: &'a str,
        part: &'a str,
        subject: &'a str,
        is_held: bool,
        left_ms: u64,
    },
    /// This instance performs a duty from now on.
    DutyAcquired {
        duty: &'a str,
        token: u64,
    },
    DutyLost {
        duty: &'a str,
        token: u64,
        reason: &'a str,
    },
    DutyReleased {
        duty: &'a str,
        token: u64,
        reason: &'a str,
    },
    /// The platform has seen a higher token; the term has ended.
    DutyRejected {
        duty: &'a str,
        token: u64,
    },
    /// A call without a success response. `token` is 0 if it was not sent.
    DutyCallFailed {
        duty: &'a str,
        token: u64,
        subject: &'a str,
        outcome: &'a str,
        reason: &'a str,
        after_ms: u64,
    },
    /// The value that holders hand on could not be read or committed.
    DutyStateFailed {
        duty: &'a str,
        reason: &'a str,
    },
    LinesLeftOut {
        lines: u64,
    },
}

impl Event<'_> {
    /// Whether the event is part of normal request processing; such lines are dropped first.
    pub(super) fn is_routine(&self) -> bool {
        matches!(
            self,
            Self::Admitted { .. }
                | Self::Placed { .. }
                | Self::Answered { .. }
                | Self::StreamEnded { .. }
                | Self::HoldApplied { .. }
        )
    }
}
