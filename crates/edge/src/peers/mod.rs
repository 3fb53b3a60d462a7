//! Links between instances over QUIC.
//!
//! An instance keeps links to the delegates of its region and to a few instances of other regions; see
//! [`carobwheel_core::fleet`]. A link carries gossip in both directions, as datagrams where they fit,
//! and forwarded requests, each as an HTTP exchange on a stream of its own.
//! Certificates are generated at start-up and pinned by the digest in the instance's entry in the
//! store.

mod accept;
mod congestion;
mod cut_off;
mod dial;
mod exchange;
mod gossip;
mod holds;
mod links;
mod open_link;
mod pull;
mod tls;
mod verify;

pub(crate) use exchange::{exchange, ExchangeError};
pub use links::{LinkUse, Links, WantedLink};
pub use open_link::OpenLink;
pub use pull::{answer_pull, decode_facts, encode_facts, pull};
pub use tls::{Identity, PeerError};

use self::cut_off::CutOffPart;
use crate::{
    cold::ColdReport,
    node::{Additions, DutyReport, FleetReport, Gossip},
};
use carobwheel_core::{crash::CrashReport, time::Millis};
use hyper::header::HeaderName;
use std::time::Duration;

/// Header with the JSON of the [`RequestMeta`](crate::pipeline::RequestMeta) of a forwarded
/// request.
pub(crate) const TICKET_HEADER: &str = "cw-ticket";
/// Header that marks a response as a refusal by the other instance itself.
pub(crate) const REFUSED_HEADER: &str = "cw-refused";
/// Header with the query of a pull from another instance's replica of the store.
pub(crate) const PULL_HEADER: &str = "cw-pull";
/// Header of a query for another instance's evidence on crashing prompt parts.
pub(crate) const HOLDS_HEADER: &str = "cw-holds";

/// Whether a header has a meaning between instances. Such headers of callers and upstreams are
/// dropped, since a forwarded request or response could otherwise be mistaken for another message.
pub(crate) fn is_peer_header(name: &HeaderName) -> bool {
    [TICKET_HEADER, REFUSED_HEADER, PULL_HEADER, HOLDS_HEADER].contains(&name.as_str())
}

/// Time without packets after which a link takes no further requests; also the timeout for a new link.
const LINK_SILENCE: Duration = Duration::from_millis(2_500);
/// Time without packets after which a connection closes, and what is under way on it ends.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a gossip message, in bytes.
const MAX_GOSSIP_BYTES: usize = 256 * 1024;

/// Times at which the reports in a message were made, in milliseconds on the clocks of their processes.
#[derive(serde::Serialize, serde::Deserialize)]
struct ReportTimes {
    /// That of the message itself.
    own_ms: u64,
    /// Those of the reports that are passed on, in their order.
    relayed_ms: Vec<u64>,
}

impl ReportTimes {
    fn of(fleet: &FleetReport) -> Self {
        let relayed = fleet.digest.iter().flat_map(|digest| &digest.relayed);
        Self {
            own_ms: fleet.made_at.0,
            relayed_ms: relayed.map(|report| report.made_at.0).collect(),
        }
    }

    fn set(&self, fleet: &mut FleetReport) {
        fleet.made_at = Millis(self.own_ms);
        let digest = fleet.digest.iter_mut();
        let relayed = digest.flat_map(|digest| &mut digest.relayed);
        for (report, made_ms) in relayed.zip(&self.relayed_ms) {
            report.made_at = Millis(*made_ms);
        }
    }
}

/// Reports of upstreams that have probably restarted, of a message with the part of the fleet.
#[derive(Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct ColdPart {
    /// Those of the sender.
    own: Vec<ColdReport>,
    /// Those that are passed on, by the index of their report.
    relayed: Vec<(u32, Vec<ColdReport>)>,
}

impl ColdPart {
    fn of(gossip: &Gossip, fleet: &FleetReport) -> Self {
        let relayed = fleet.digest.iter().flat_map(|digest| &digest.relayed);
        let indexed = (0..).zip(relayed);
        let with_cold = indexed.filter(|(_, report)| !report.cold.is_empty());
        Self {
            own: gossip.additions.cold.clone(),
            relayed: with_cold
                .map(|(index, report)| (index, report.cold.clone()))
                .collect(),
        }
    }

    fn set(self, additions: &mut Additions) {
        additions.cold = self.own;
        let digest = additions
            .fleet
            .iter_mut()
            .flat_map(|fleet| &mut fleet.digest);
        let mut reports: Vec<_> = digest.flat_map(|digest| &mut digest.relayed).collect();
        for (index, cold) in self.relayed {
            if let Some(report) = reports.get_mut(index as usize) {
                report.cold = cold;
            }
        }
    }
}

/// Encodes a message. Crash reports, additions, reports on whole requests and on leaving upstreams,
/// the part of the fleet, the times of its reports, the input of duties, reports of restarts and the services
/// that instances do not reach follow the other fields, each unless it and what follows are empty: builds that
/// do not know them ignore trailing bytes. What follows the part of the fleet is left out without it.
///
/// # Errors
///
/// Fails if the message cannot be serialized.
pub fn encode(gossip: &Gossip) -> Result<Vec<u8>, PeerError> {
    let bytes = postcard::to_stdvec(gossip).map_err(|err| PeerError(err.to_string()))?;
    let has_additions = gossip.additions != Additions::default();
    if gossip.crashes == CrashReport::default() && !has_additions {
        return Ok(bytes);
    }
    let bytes = postcard::to_extend(&gossip.crashes, bytes);
    let bytes = bytes.map_err(|err| PeerError(err.to_string()))?;
    if !has_additions {
        return Ok(bytes);
    }
    let bytes = postcard::to_extend(&gossip.additions, bytes);
    let bytes = bytes.map_err(|err| PeerError(err.to_string()))?;
    let Additions {
        request_crashes,
        leaving,
        fleet,
        duties,
        ..
    } = &gossip.additions;
    let has_fleet = fleet.is_some();
    if *request_crashes == CrashReport::default() && leaving.is_empty() && !has_fleet {
        return Ok(bytes);
    }
    let bytes = extend(bytes, request_crashes)?;
    if leaving.is_empty() && !has_fleet {
        return Ok(bytes);
    }
    let bytes = extend(bytes, leaving)?;
    let Some(fleet) = fleet else {
        return Ok(bytes);
    };
    let bytes = extend(extend(bytes, fleet)?, &ReportTimes::of(fleet))?;
    let cold = ColdPart::of(gossip, fleet);
    let cut_off = CutOffPart::of(&gossip.additions);
    let has_cold = cold != ColdPart::default() || cut_off.is_some();
    let bytes = match duties {
        Some(duties) => extend(bytes, duties)?,
        None if has_cold => extend(bytes, &DutyReport::default())?,
        None => bytes,
    };
    if !has_cold {
        return Ok(bytes);
    }
    let bytes = extend(bytes, &cold)?;
    match cut_off {
        Some(cut_off) => extend(bytes, &cut_off),
        None => Ok(bytes),
    }
}

fn extend<T: serde::Serialize>(bytes: Vec<u8>, part: &T) -> Result<Vec<u8>, PeerError> {
    postcard::to_extend(part, bytes).map_err(|err| PeerError(err.to_string()))
}

/// Decodes a message, with or without crash reports and additions.
///
/// # Errors
///
/// Fails if the bytes are not a message.
pub fn decode(bytes: &[u8]) -> Result<Gossip, PeerError> {
    let (mut gossip, rest): (Gossip, &[u8]) =
        postcard::take_from_bytes(bytes).map_err(|err| PeerError(err.to_string()))?;
    // Parts of another build's form must not cost the rest of the message.
    if let Ok((crashes, rest)) = postcard::take_from_bytes(rest) {
        gossip.crashes = crashes;
        if let Ok((additions, rest)) = postcard::take_from_bytes(rest) {
            gossip.additions = additions;
            if let Ok((requests, rest)) = postcard::take_from_bytes(rest) {
                gossip.additions.request_crashes = requests;
                if let Ok((leaving, rest)) = postcard::take_from_bytes(rest) {
                    gossip.additions.leaving = leaving;
                    decode_fleet(rest, &mut gossip.additions);
                }
            }
        }
    }
    Ok(gossip)
}

/// Decodes the part of the fleet and what follows it, as far as it is there.
fn decode_fleet(bytes: &[u8], additions: &mut Additions) {
    let Ok((fleet, rest)) = postcard::take_from_bytes::<FleetReport>(bytes) else {
        return;
    };
    let fleet = additions.fleet.insert(fleet);
    let Ok((times, rest)) = postcard::take_from_bytes::<ReportTimes>(rest) else {
        return;
    };
    times.set(fleet);
    let Ok((duties, rest)) = postcard::take_from_bytes::<DutyReport>(rest) else {
        return;
    };
    // An empty one only stands before what follows.
    additions.duties = (duties != DutyReport::default()).then_some(duties);
    let Ok((cold, rest)) = postcard::take_from_bytes::<ColdPart>(rest) else {
        return;
    };
    cold.set(additions);
    if let Ok(cut_off) = postcard::from_bytes::<CutOffPart>(rest) {
        cut_off.set(additions);
    }
}
