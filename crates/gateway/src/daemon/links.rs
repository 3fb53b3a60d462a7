//! Starts the links to other instances.

use crate::{
    decide::Event,
    in_force::ActiveDocument,
    peers::{self, Inbound, IncomingForward, PeerSettings, Sinks, TlsMaterial},
    ring::Sender,
    settings::Settings,
};
use anyhow::Context as _;
use std::{sync::Arc, thread::JoinHandle};
use tokio_util::sync::CancellationToken;

/// Starts the link thread if the settings contain an address for it.
///
/// # Errors
///
/// Fails if the TLS material is missing or invalid, or if the address cannot be bound.
pub(super) fn start(
    settings: &Settings,
    tls: Option<TlsMaterial>,
    decide: &Sender<Event>,
    forwarded: Sender<IncomingForward>,
    cancel: CancellationToken,
) -> anyhow::Result<Option<(peers::Handle, JoinHandle<()>)>> {
    let Some(peers) = &settings.peers else {
        return Ok(None);
    };
    let tls =
        tls.context("links to other instances require a certificate, a key and authorities")?;
    let peer_settings = PeerSettings::new(settings.instance.id.clone(), peers.address, tls);
    let decide = decide.clone();
    let sinks = Sinks {
        inbound: Box::new(move |inbound| match event_from(inbound) {
            Some(event) => decide.try_send(event).is_ok(),
            None => true,
        }),
        // If the ring is full, the request is dropped, which refuses it.
        forward: Box::new(move |incoming| drop(forwarded.try_send(incoming))),
    };
    let started = peers::start(peer_settings, sinks, cancel)
        .with_context(|| format!("cannot start the links on {}", peers.address))?;
    Ok(Some(started))
}

// Converts an inbound event for the decision thread. Documents may be large, so they are parsed on
// the link thread.
fn event_from(inbound: Inbound) -> Option<Event> {
    let Inbound::Document {
        from,
        revision,
        bytes,
    } = inbound
    else {
        return Some(Event::Peer(Box::new(inbound)));
    };
    match ActiveDocument::parse(revision, bytes) {
        Ok(in_force) => Some(Event::Document(Arc::new(in_force))),
        Err(faults) => {
            let count = faults.len();
            log::error!(from = from.as_str(), count; "invalid document received from a peer");
            None
        }
    }
}
