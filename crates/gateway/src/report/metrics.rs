//! Metrics in statsd format over UDP.

use super::trace::Observation;
use crate::settings::Metrics;
use anyhow::Context as _;
use cadence::{BufferedUdpMetricSink, Counted as _, Histogrammed as _, StatsdClient};
use std::net::UdpSocket;

const NO_VALUE: &str = "none";

/// Creates a client for the collector named in `settings`.
///
/// # Errors
///
/// Fails if no socket can be opened.
pub(super) fn client(settings: &Metrics) -> anyhow::Result<StatsdClient> {
    let local = if settings.statsd_address.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local).context("cannot open a socket for metrics")?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(settings.statsd_address, socket)?;
    Ok(StatsdClient::builder(&settings.prefix, sink).build())
}

/// Sends the metrics of one request. Metrics that cannot be sent are dropped.
pub(super) fn send(client: &StatsdClient, observation: &Observation) {
    if let Some(cause) = observation.cause {
        let counter = client.count_with_tags("requests_refused", 1);
        let _ = counter.with_tag("cause", cause.code()).try_send();
        return;
    }
    let Some(label) = &observation.label else {
        return;
    };
    let account = label.account.as_ref().map_or(NO_VALUE, |id| id.as_str());
    let class = label.class.as_ref().map_or(NO_VALUE, |id| id.as_str());
    let durations = [
        ("first_byte_ms", observation.first_byte_ms),
        ("total_ms", observation.total_ms),
    ];
    for (name, duration_ms) in durations {
        let histogram = client.histogram_with_tags(name, duration_ms);
        let _ = histogram
            .with_tag("account", account)
            .with_tag("class", class)
            .try_send();
    }
}
