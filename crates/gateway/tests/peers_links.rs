//! Tests of links between instances over real sockets on loopback.

mod peers_support;

use carobwheel_core::member::{Identity, Incarnation, Members};
use carobwheel_core::time::Millis;
use carobwheel_gateway::peers::{start, Inbound, PeerError, PeerSettings, Sinks, TlsMaterial};
use carobwheel_wire::peer::Message;
use peers_support::{authority, id, issue, Peer, Relay};

fn test_message(bytes: &[u8]) -> Message {
    Message::opaque(1, bytes.to_vec())
}

fn message_from(from: &Peer, message: Message) -> Inbound {
    Inbound::Message {
        from: from.id.clone(),
        message,
    }
}

#[test]
fn messages_pass_both_ways_over_one_link() {
    let authority = authority();
    let (a, b) = (Peer::start(&authority, "a"), Peer::start(&authority, "b"));
    a.send(&b, test_message(b"there"));
    assert_eq!(b.next(), message_from(&a, test_message(b"there")));
    b.handle.send(id("a"), None, test_message(b"back")).unwrap();
    assert_eq!(a.next(), message_from(&b, test_message(b"back")));
    a.wait_stats("one link", |stats| stats.links == 1);
    assert_eq!(b.handle.stats().dials, 0);
}

#[test]
fn a_message_larger_than_a_datagram_takes_a_stream() {
    let authority = authority();
    let (a, b) = (Peer::start(&authority, "a"), Peer::start(&authority, "b"));
    let large = test_message(&vec![7; 60_000]);
    a.send(&b, large.clone());
    assert_eq!(b.next(), message_from(&a, large));
}

#[test]
fn peers_of_different_authorities_refuse_each_other() {
    let (authority, other) = (authority(), other_authority());
    let (a, untrusted) = (Peer::start(&authority, "a"), Peer::start(&other, "b"));
    untrusted.send(&a, test_message(b"let me in"));
    untrusted.wait_stats("refused dial", |stats| stats.failed_dials == 1);
    a.send(&untrusted, test_message(b"secret"));
    a.wait_stats("refused dial", |stats| stats.failed_dials == 1);
    assert!(a.inbound.try_recv().is_err());
    assert!(untrusted.inbound.try_recv().is_err());
}

fn other_authority() -> carobwheel_standin::tls::CertificateAuthority {
    carobwheel_standin::tls::CertificateAuthority::new("other").expect("authority")
}

#[test]
fn a_peer_of_another_authority_that_trusts_ours_is_refused() {
    let (authority, other) = (authority(), other_authority());
    let a = Peer::start(&authority, "a");
    let mut tls = issue(&other, "b");
    tls.ca_pem = authority.cert_pem().to_owned();
    let untrusted = Peer::start_with("b", tls, |_| {});
    untrusted.send(&a, test_message(b"let me in"));
    a.wait_stats("refused peer", |stats| stats.refused_peers == 1);
    assert!(a.inbound.try_recv().is_err());
}

#[test]
fn a_peer_that_claims_another_name_is_refused() {
    let authority = authority();
    let a = Peer::start(&authority, "a");
    let impostor = issue(&authority, "b");
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(peers_support::claim_name(&a, &impostor, "c"));
    a.wait_stats("refused peer", |stats| stats.refused_peers == 1);
    assert!(a.inbound.try_recv().is_err());
}

#[test]
fn an_instance_under_another_name_is_refused() {
    let authority = authority();
    let (a, b) = (Peer::start(&authority, "a"), Peer::start(&authority, "b"));
    // Dials `c` at the address of `b`.
    a.handle
        .send(id("c"), Some(b.addr()), test_message(b"for c"))
        .unwrap();
    a.wait_stats("refused dial", |stats| stats.failed_dials == 1);
    assert!(b.inbound.try_recv().is_err());
}

#[test]
fn links_do_not_start_with_a_certificate_for_another_name() {
    let authority = authority();
    let tls = issue(&authority, "b");
    let mut settings = PeerSettings::new(id("a"), ([127, 0, 0, 1], 0).into(), tls);
    assert!(is_refused(&settings));
    settings.tls.ca_pem = String::new();
    assert!(is_refused(&settings));
}

fn is_refused(settings: &PeerSettings) -> bool {
    let sinks = Sinks {
        inbound: Box::new(|_| true),
        forward: Box::new(|_| {}),
    };
    let started = start(settings.clone(), sinks, Default::default());
    matches!(started, Err(PeerError::Tls(_)))
}

#[test]
fn certificates_rotate_without_a_restart() {
    let (old, new) = (authority(), other_authority());
    let (a, b) = (Peer::start(&old, "a"), Peer::start(&old, "b"));
    a.send(&b, test_message(b"1"));
    b.next();
    let both = format!("{}{}", old.cert_pem(), new.cert_pem());
    let with_both = |mut tls: TlsMaterial| {
        tls.ca_pem.clone_from(&both);
        tls
    };
    // First both authorities are trusted, then the certificates are replaced, and last the old
    // authority is removed.
    for peer in [&a, &b] {
        peer.handle
            .reload(&with_both(issue(&old, peer.id.as_str())))
            .unwrap();
    }
    a.send_until_received(&b, b.addr(), &test_message(b"2"));
    a.handle.reload(&with_both(issue(&new, "a"))).unwrap();
    a.send_until_received(&b, b.addr(), &test_message(b"3"));
    b.handle.reload(&issue(&new, "b")).unwrap();
    a.send_until_received(&b, b.addr(), &test_message(b"4"));
    a.handle.reload(&issue(&new, "a")).unwrap();
    a.send_until_received(&b, b.addr(), &test_message(b"5"));
    let outdated = Peer::start(&old, "c");
    outdated.send(&a, test_message(b"6"));
    outdated.wait_stats("refused dial", |stats| stats.failed_dials == 1);
}

#[test]
fn invalid_material_changes_nothing() {
    let authority = authority();
    let (a, b) = (Peer::start(&authority, "a"), Peer::start(&authority, "b"));
    let mut broken = issue(&authority, "a");
    broken.key_pem = "no key".to_owned();
    assert!(matches!(a.handle.reload(&broken), Err(PeerError::Tls(_))));
    assert!(a.handle.reload(&issue(&authority, "b")).is_err());
    a.send(&b, test_message(b"still here"));
    b.next();
}

/// Returns a ping of a membership table that contains the receiver; it expects a reply.
fn ping(from: &Peer, to: &Peer) -> Message {
    let identity = |peer: &Peer| Identity {
        instance: peer.id.clone(),
        incarnation: Incarnation(1),
        region: "r".parse().expect("valid identifier"),
        data_centre: "d".parse().expect("valid identifier"),
        peer_addr: peer.addr(),
        caller_addr: peer.addr(),
    };
    let mut members = Members::new(identity(from), 0, 1, Millis(0));
    let entry = carobwheel_core::member::LiveListEntry {
        identity: identity(to),
        is_leaving: false,
    };
    members.on_live_list(&[entry], Millis(0));
    let mut out = members.tick(Millis(2_000));
    Message::Member(out.remove(0).packet)
}

#[test]
fn a_silent_flow_is_replaced_from_a_new_port() {
    let authority = authority();
    let (a, b) = (Peer::start(&authority, "a"), Peer::start(&authority, "b"));
    let relay = Relay::start(b.addr());
    a.send_until_received(&b, relay.addr, &test_message(b"before"));
    assert_eq!(relay.lose_flows(), 1);
    // The flow is lost permanently, so these messages get no reply although they expect one.
    a.send_via(&b, relay.addr, ping(&a, &b));
    a.send_via(&b, relay.addr, ping(&a, &b));
    a.wait_stats("silent link", |stats| stats.silent_links == 1);
    a.send_until_received(&b, relay.addr, &test_message(b"after"));
    assert_eq!(relay.flows(), 2, "the new link came from a new port");
}

#[test]
fn an_idle_link_is_closed() {
    let authority = authority();
    let b = Peer::start(&authority, "b");
    let a = Peer::start_with("a", issue(&authority, "a"), |settings| {
        settings.idle_timeout_ms = 300
    });
    a.send(&b, test_message(b"once"));
    b.next();
    a.wait_stats("no link", |stats| stats.links == 0);
    b.wait_stats("no link", |stats| stats.links == 0);
    a.send(&b, test_message(b"again"));
    b.next();
}

#[test]
fn versions_are_negotiated() {
    let authority = authority();
    let start = |name: &str, versions| {
        Peer::start_with(name, issue(&authority, name), |settings| {
            settings.versions = versions;
        })
    };
    let (older, newer, newest) = (start("a", 1..=1), start("b", 1..=2), start("c", 2..=2));
    newer.send(&older, test_message(b"1"));
    older.next();
    older.send(&newer, test_message(b"2"));
    newer.next();
    newest.send(&older, test_message(b"3"));
    newest.wait_stats("no common version", |stats| stats.failed_dials == 1);
    assert!(older.inbound.try_recv().is_err());
}

#[test]
fn a_full_receiver_drops_and_counts() {
    let authority = authority();
    let a = Peer::start(&authority, "a");
    let listen = ([127, 0, 0, 1], 0).into();
    let settings = PeerSettings::new(id("b"), listen, issue(&authority, "b"));
    let sinks = Sinks {
        inbound: Box::new(|_| false),
        forward: Box::new(|_| {}),
    };
    let cancel = tokio_util::sync::CancellationToken::new();
    let (b, thread) = start(settings, sinks, cancel.clone()).unwrap();
    a.handle
        .send(id("b"), Some(b.local_addr()), test_message(b"x"))
        .unwrap();
    peers_support::wait("dropped message", || b.stats().dropped_inbound == 1);
    cancel.cancel();
    thread.join().unwrap();
}
