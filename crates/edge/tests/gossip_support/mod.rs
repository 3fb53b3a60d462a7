//! Messages between instances with all their parts.

#![allow(clippy::unwrap_used, dead_code)]

use carobwheel_core::{
    crash::{CrashReport, HeldPart},
    time::Millis,
    upstream_limit::LimitReport,
    usage::{Counter, Source, UsageMessage},
};
use carobwheel_edge::{
    cold::ColdReport,
    member::Heartbeat,
    node::{
        Additions, Digest, DigestScope, DutyReport, FleetReport, Gossip, RelayedReport, UnmetLoad,
    },
};

/// Message with these crash reports.
pub(crate) fn gossip(crashes: CrashReport) -> Gossip {
    Gossip {
        life: 7,
        is_ready: true,
        has_store: true,
        revisions: vec![3, 4],
        loads: Vec::new(),
        asked: vec![(9, 10)],
        forecasts: Vec::new(),
        trials: Vec::new(),
        crashes,
        additions: Additions::default(),
    }
}

/// Report of one held part.
pub(crate) fn report() -> CrashReport {
    CrashReport {
        held: vec![HeldPart {
            part: 5,
            age_ms: 100,
            left_ms: 900,
        }],
        ..CrashReport::default()
    }
}

/// Additions with a report about one limited upstream.
pub(crate) fn additions() -> Additions {
    let report = LimitReport {
        rate_per_s: 1.4,
        age_ms: Some(20),
        sent: 3,
        is_user: true,
    };
    Additions {
        limits: vec![(11, report)],
        eras: vec![1, 1],
        config_version: 9,
        ..Additions::default()
    }
}

/// Message of a delegate.
pub(crate) fn with_fleet() -> Gossip {
    let mut message = gossip(report());
    message.additions = additions();
    let heartbeat = Heartbeat {
        key: 5,
        beat: 6,
        is_ready: true,
        has_store: false,
    };
    message.additions.fleet = Some(FleetReport {
        beat: 9,
        subscribes: true,
        digest: Some(Digest {
            scope: DigestScope::Region,
            instances: 3,
            heartbeats: vec![heartbeat],
            relayed: vec![RelayedReport {
                key: 8,
                made_at: Millis(77),
                age_ms: 20,
                crashes: report(),
                ..RelayedReport::default()
            }],
            ..Digest::default()
        }),
        made_at: Millis(900),
    });
    message
}

/// Message with the input of duties.
pub(crate) fn with_duties() -> Gossip {
    let mut message = with_fleet();
    message.additions.duties = Some(DutyReport {
        usage: Some(UsageMessage {
            number: 4,
            acks: vec![2, 3],
            committed_before: 353_445_120,
            accounts: 6,
            counters: vec![Counter {
                window: 353_445_120,
                source: Source::Process(77),
                counts: vec![(3_000_000_000, 412)],
            }],
        }),
        unmet: vec![UnmetLoad {
            service: 5,
            requests_per_1000_s: 1_500,
            prefill_tokens_per_s: 9_000,
        }],
    });
    message
}

/// Message with reports of restarts, own ones and one that is passed on.
pub(crate) fn with_cold(mut message: Gossip) -> Gossip {
    let cold = |process| ColdReport {
        process,
        left_ms: 2_900,
        age_ms: 40,
    };
    message.additions.cold = vec![cold(u32::MAX), cold(2)];
    let digest = message.additions.fleet.as_mut().unwrap().digest.as_mut();
    digest.unwrap().relayed[0].cold = vec![cold(3)];
    message
}

/// Message of a delegate that reaches none of some services, and has heard the same of another instance.
pub(crate) fn with_cut_off(mut message: Gossip) -> Gossip {
    message.additions.cut_off = [3, 4].into();
    if let Some(digest) = digest_of(&mut message) {
        digest.cut_off = [(0, [4, 5].into())].into();
    }
    message
}

pub(crate) fn digest_of(message: &mut Gossip) -> Option<&mut Digest> {
    message.additions.fleet.as_mut()?.digest.as_mut()
}
