//! Fleet of instances in this process, and the measurement of their costs.

use super::node::{self, Event, Node, NodeOptions};
use super::Args;
use crate::load::process::{usage, Usage};
use anyhow::{bail, Context as _};
use bytes::Bytes;
use carobwheel_core::member::{Identity, Incarnation, LiveListEntry};
use carobwheel_gateway::peers::{PeerSettings, PeerStats, TlsMaterial};
use carobwheel_standin::tls::CertificateAuthority;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Size of the IPv4 and UDP headers of a datagram, in bytes.
const UDP_IP_HEADER_BYTES: u64 = 28;
/// Timeout for one revision to reach all instances.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);
/// Members and regions of the target fleet, from which the number of regions is scaled.
const TARGET_MEMBERS: f64 = 370.0;
const TARGET_REGIONS: f64 = 11.0;
/// Number of regions of the current fleet, the minimum for all sizes.
const MIN_REGIONS: usize = 3;

/// A fleet of running instances.
pub(super) struct Fleet {
    nodes: Vec<Node>,
    regions: usize,
    cancel: CancellationToken,
    base_usage: Usage,
}

/// Traffic of one or several instances, in both directions.
#[derive(Clone, Copy, Default)]
pub(super) struct Traffic {
    pub(super) sent_bytes: u64,
    pub(super) received_bytes: u64,
}

impl Traffic {
    fn of(stats: &PeerStats) -> Self {
        let with_headers = |bytes: u64, datagrams: u64| bytes + UDP_IP_HEADER_BYTES * datagrams;
        Self {
            sent_bytes: with_headers(stats.sent_udp_bytes, stats.sent_udp_datagrams),
            received_bytes: with_headers(stats.received_udp_bytes, stats.received_udp_datagrams),
        }
    }

    pub(super) fn minus(self, earlier: Self) -> Self {
        Self {
            sent_bytes: self.sent_bytes.saturating_sub(earlier.sent_bytes),
            received_bytes: self.received_bytes.saturating_sub(earlier.received_bytes),
        }
    }

    /// Returns the bytes sent.
    pub(super) fn bytes(self) -> f64 {
        self.sent_bytes as f64
    }
}

/// Average cost of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    pub(super) sent_bytes_per_s: f64,
    pub(super) received_bytes_per_s: f64,
    pub(super) most_sent_bytes_per_s: f64,
    pub(super) processor_pct: f64,
    /// Resident memory with the document, in bytes.
    pub(super) memory_bytes: f64,
    pub(super) links: f64,
    pub(super) dials_per_s: f64,
}

impl Fleet {
    pub(super) fn start(args: &Args, members: usize) -> anyhow::Result<Self> {
        let base_usage = usage(std::process::id())?;
        let regions = args
            .regions
            .map_or_else(|| region_count(members), usize::from)
            .min(members);
        let authority = CertificateAuthority::new("experiment")?;
        let cancel = CancellationToken::new();
        let mut nodes = Vec::new();
        for index in 0..members {
            let node = start_node(args, &authority, index, regions, &cancel)?;
            nodes.push(node);
        }
        let list: Vec<LiveListEntry> = nodes
            .iter()
            .map(|node| LiveListEntry {
                identity: node.identity.clone(),
                is_leaving: false,
            })
            .collect();
        let list = Arc::new(list);
        for node in &nodes {
            node.events
                .send(Event::LiveList(Arc::clone(&list)))
                .context("an instance has stopped")?;
        }
        Ok(Self {
            nodes,
            regions,
            cancel,
            base_usage,
        })
    }

    pub(super) fn regions(&self) -> usize {
        self.regions
    }

    /// Waits until every instance has discovered all others; returns the elapsed time in seconds.
    pub(super) fn wait_discovered(&self, timeout: Duration) -> anyhow::Result<f64> {
        let start = Instant::now();
        let members = self.nodes.len() as u64;
        let is_discovered = || {
            let alive = |node: &Node| node.shared.alive.load(Ordering::Acquire);
            self.nodes.iter().all(|node| alive(node) == members)
        };
        wait_until(timeout, is_discovered).context("the instances did not discover each other")?;
        Ok(start.elapsed().as_secs_f64())
    }

    pub(super) fn traffic(&self) -> Traffic {
        // The threads update their counters every second.
        thread::sleep(Duration::from_millis(1_200));
        let sum = |sum: Traffic, node: &Node| {
            let traffic = Traffic::of(&node.handle.stats());
            Traffic {
                sent_bytes: sum.sent_bytes + traffic.sent_bytes,
                received_bytes: sum.received_bytes + traffic.received_bytes,
            }
        };
        self.nodes.iter().fold(Traffic::default(), sum)
    }

    /// Measures the average cost of an idle instance.
    pub(super) fn measure_cost(&self, duration: Duration) -> anyhow::Result<Cost> {
        let stats = || -> Vec<PeerStats> { self.nodes.iter().map(|n| n.handle.stats()).collect() };
        let (before, used_before, start) = (stats(), usage(std::process::id())?, Instant::now());
        thread::sleep(duration);
        let (after, used_after) = (stats(), usage(std::process::id())?);
        let elapsed_s = start.elapsed().as_secs_f64();
        let members = self.nodes.len() as f64;
        let mut cost = Cost::default();
        for (before, after) in before.iter().zip(&after) {
            let traffic = Traffic::of(after).minus(Traffic::of(before));
            let sent_bytes_per_s = traffic.sent_bytes as f64 / elapsed_s;
            cost.sent_bytes_per_s += sent_bytes_per_s / members;
            cost.received_bytes_per_s += traffic.received_bytes as f64 / elapsed_s / members;
            cost.most_sent_bytes_per_s = cost.most_sent_bytes_per_s.max(sent_bytes_per_s);
            cost.links += after.links as f64 / members;
            cost.dials_per_s += (after.dials - before.dials) as f64 / elapsed_s / members;
        }
        let processor_s = used_after.processor_s - used_before.processor_s;
        cost.processor_pct = 100.0 * processor_s / elapsed_s / members;
        Ok(cost)
    }

    /// Returns the average resident memory of one instance, in bytes.
    pub(super) fn memory_bytes(&self) -> anyhow::Result<f64> {
        let used = usage(std::process::id())?;
        let own_bytes = used
            .memory_bytes
            .saturating_sub(self.base_usage.memory_bytes);
        Ok(own_bytes as f64 / self.nodes.len() as f64)
    }

    /// Publishes a new document at one instance; returns the time until it is in force at all
    /// instances, in milliseconds.
    pub(super) fn publish(&self, revision: u64, document_bytes: usize) -> anyhow::Result<f64> {
        let bytes = document(revision, document_bytes);
        let first = &self.nodes[revision as usize % self.nodes.len()];
        let start = Instant::now();
        first
            .events
            .send(Event::Publish { revision, bytes })
            .context("an instance has stopped")?;
        let is_in_force = || {
            let in_force = |node: &Node| node.shared.revision.load(Ordering::Acquire) >= revision;
            self.nodes.iter().all(in_force)
        };
        wait_until(PROPAGATION_TIMEOUT, is_in_force)
            .context("the revision did not reach all instances")?;
        Ok(start.elapsed().as_secs_f64() * 1_000.0)
    }

    pub(super) fn stop(self) -> anyhow::Result<()> {
        self.cancel.cancel();
        for thread in self.nodes.into_iter().flat_map(|node| node.threads) {
            if thread.join().is_err() {
                bail!("a thread of an instance has failed");
            }
        }
        Ok(())
    }
}

/// Builds a document of which only short byte ranges differ between two revisions.
fn document(revision: u64, bytes: usize) -> Bytes {
    let text = format!("revision {revision} changes this account;");
    let start = (revision as usize * 7_919) % bytes;
    let mut document = vec![b'x'; bytes];
    for (byte, new) in document[start..].iter_mut().zip(text.bytes()) {
        *byte = new;
    }
    document.into()
}

fn start_node(
    args: &Args,
    authority: &CertificateAuthority,
    index: usize,
    regions: usize,
    cancel: &CancellationToken,
) -> anyhow::Result<Node> {
    let region = index % regions;
    let name = format!("region-{region}-instance-{}", index / regions);
    let pem = authority.issue(&name)?;
    let tls = TlsMaterial {
        cert_pem: pem.cert_pem,
        key_pem: pem.key_pem,
        ca_pem: pem.ca_pem,
    };
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let identity = Identity {
        instance: name.parse()?,
        incarnation: Incarnation(1_700_000_000_000 + index as u64),
        region: format!("region-{region}").parse()?,
        data_centre: format!("region-{region}-dc-{}", index / regions % 4).parse()?,
        peer_addr: loopback,
        caller_addr: loopback,
    };
    let settings = PeerSettings::new(identity.instance.clone(), loopback, tls);
    let options = NodeOptions {
        region_delay_ms: args.region_delay_ms,
        digest_bytes: usize::from(args.digest_bytes),
        seed: args.seed.wrapping_mul(1_000).wrapping_add(index as u64),
    };
    node::start(identity, settings, options, cancel)
}

/// Returns the number of regions of a fleet, scaled by the square root of its size and at least
/// the current three.
fn region_count(members: usize) -> usize {
    let share = (members as f64 / TARGET_MEMBERS).sqrt();
    let regions = (TARGET_REGIONS * share).round() as usize;
    regions.max(MIN_REGIONS)
}

fn wait_until(timeout: Duration, is_reached: impl Fn() -> bool) -> anyhow::Result<()> {
    let start = Instant::now();
    while !is_reached() {
        if start.elapsed() > timeout {
            bail!("condition not reached within {} s", timeout.as_secs());
        }
        thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}
