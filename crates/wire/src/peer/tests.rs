//! Tests of the message codec and of document deltas.

use super::*;
use carobwheel_core::member::{
    Health, Identity, Incarnation, KeyedEntry, MemberRecord, Packet, PacketBody, RegionHeartbeat,
    RevisionUpdate, Status, Update,
};
use proptest::prelude::*;
use test_case::test_case;

fn status() -> impl Strategy<Value = Status> {
    (any::<u32>(), 0..3u8, any::<bool>(), any::<u64>()).prop_map(
        |(sequence, health, is_leaving, revision)| Status {
            sequence,
            health: [Health::Alive, Health::Suspect, Health::Gone][usize::from(health)],
            is_leaving,
            revision,
        },
    )
}

fn identity() -> impl Strategy<Value = Identity> {
    (
        "[a-z][a-z0-9-]{0,30}",
        any::<u64>(),
        any::<[u8; 4]>(),
        any::<u16>(),
    )
        .prop_map(|(name, incarnation, ip, port)| Identity {
            instance: name.parse().unwrap(),
            incarnation: Incarnation(incarnation),
            region: "north".parse().unwrap(),
            data_centre: "north-1".parse().unwrap(),
            peer_addr: (ip, port).into(),
            caller_addr: (ip, port).into(),
        })
}

fn record() -> impl Strategy<Value = MemberRecord> {
    let entry = (
        any::<u8>(),
        any::<u64>(),
        prop::collection::vec(any::<u8>(), 0..20),
    );
    (identity(), status(), prop::collection::vec(entry, 0..3)).prop_map(
        |(identity, status, entries)| MemberRecord {
            identity,
            status,
            entries,
        },
    )
}

fn body() -> impl Strategy<Value = PacketBody> {
    let records = prop::collection::vec(record(), 0..4);
    prop_oneof![
        any::<u32>().prop_map(|probe| PacketBody::Ping { probe }),
        any::<u32>().prop_map(|probe| PacketBody::Ack { probe }),
        prop::collection::vec(any::<u16>(), 0..64)
            .prop_map(|buckets| PacketBody::Digest { buckets }),
        (any::<u64>(), records, any::<bool>()).prop_map(|(differing, records, wants_reply)| {
            PacketBody::Records {
                differing,
                records,
                wants_reply,
            }
        }),
    ]
}

fn packet() -> impl Strategy<Value = Packet> {
    let entry =
        (any::<[u8; 4]>(), any::<u8>(), any::<u64>()).prop_map(|(member_key, topic, version)| {
            KeyedEntry {
                member_key,
                topic,
                version,
                bytes: vec![topic],
            }
        });
    (
        any::<u64>(),
        status(),
        body(),
        prop::collection::vec(record().prop_map(Update::Record), 0..3),
        prop::collection::vec(entry, 0..3),
    )
        .prop_map(|(number, status, body, updates, entries)| Packet {
            incarnation: Incarnation(number),
            status,
            salt: 7,
            table_hash: 9,
            body,
            heartbeats: vec![RegionHeartbeat {
                region_key: [1; 4],
                counter: number,
            }],
            updates,
            revisions: vec![RevisionUpdate {
                revision: number,
                member_keys: vec![[2; 4]],
            }],
            entries,
        })
}

fn message() -> impl Strategy<Value = Message> {
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    prop_oneof![
        packet().prop_map(Message::Member),
        (any::<u8>(), bytes).prop_map(|(channel, bytes)| Message::opaque(channel, bytes)),
        any::<u32>().prop_map(Message::Echo),
        any::<u32>().prop_map(Message::EchoReply),
    ]
}

proptest! {
    #[test]
    fn a_message_round_trips_through_the_codec(message in message()) {
        let bytes = encode(&message, *PROTOCOL_VERSIONS.end()).unwrap();
        prop_assert_eq!(decode(&bytes), Ok(Decoded::Message(message)));
    }

    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
        let _ = decode_head::<Hello>(&bytes);
        let _ = decode_head::<Request>(&bytes);
    }

    #[test]
    fn a_damaged_message_does_not_make_the_decoder_panic(
        message in message(),
        at in any::<prop::sample::Index>(),
        value in any::<u8>(),
        length in any::<prop::sample::Index>(),
    ) {
        let mut bytes = encode(&message, *PROTOCOL_VERSIONS.end()).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = value;
        let _ = decode(&bytes);
        bytes.truncate(length.index(bytes.len()));
        let _ = decode(&bytes);
    }
}

proptest! {
    #[test]
    fn a_document_is_reconstructed_from_its_delta(
        older in prop::collection::vec(0..3u8, 0..40),
        newer in prop::collection::vec(0..3u8, 0..40),
    ) {
        let common = common_ends(&older, &newer);
        let middle = changed_middle(&newer, common).unwrap();
        prop_assert_eq!(apply_delta(&older, common, middle), Some(newer.clone()));
    }

    #[test]
    fn an_invalid_delta_does_not_panic(
        older in prop::collection::vec(any::<u8>(), 0..40),
        prefix_bytes in any::<u32>(),
        suffix_bytes in any::<u32>(),
    ) {
        let common = CommonEnds { prefix_bytes, suffix_bytes };
        let _ = apply_delta(&older, common, b"x");
        let _ = changed_middle(&older, common);
    }
}

#[test]
fn a_delta_holds_only_the_changed_bytes() {
    let older = b"accounts: a, b, c; rates: 1, 2, 3";
    let newer = b"accounts: a, bb, c; rates: 1, 2, 3";
    let common = common_ends(older, newer);
    assert_eq!(changed_middle(newer, common), Some(&b"b"[..]));
}

#[test_case(&[], DecodeError::TooShort ; "empty")]
#[test_case(&[1], DecodeError::TooShort ; "version only")]
#[test_case(&[0, 3, 1], DecodeError::Version(0) ; "version too low")]
#[test_case(&[2, 3, 1], DecodeError::Version(2) ; "version too high")]
#[test_case(&[1, 3], DecodeError::Body { kind: 3 } ; "truncated body")]
#[test_case(&[1, 3, 1, 1], DecodeError::Body { kind: 3 } ; "body too long")]
#[test_case(&[1, 1, 255, 255], DecodeError::Body { kind: 1 } ; "truncated packet")]
#[test_case(&[0; MAX_MESSAGE_BYTES + 1], DecodeError::TooLarge(MAX_MESSAGE_BYTES + 1) ; "too large")]
fn invalid_bytes_are_refused(bytes: &[u8], error: DecodeError) {
    assert_eq!(decode(bytes), Err(error));
}

#[test]
fn an_unknown_kind_is_not_an_error() {
    assert_eq!(
        decode(&[1, 200, 1, 2, 3]),
        Ok(Decoded::Unknown { kind: 200 })
    );
}

#[test]
fn a_message_over_the_limit_is_not_encoded() {
    let message = Message::opaque(1, vec![0; MAX_MESSAGE_BYTES]);
    assert_eq!(encode(&message, 1), None);
}

/// Guards against a change to the encoding of version 1, which instances of different builds use
/// to talk to each other.
#[test]
fn the_encoding_of_version_1_is_unchanged() {
    let hex = |message: &Message| {
        let bytes = encode(message, 1).unwrap();
        bytes.iter().map(|b| format!("{b:02x}")).collect::<String>()
    };
    let packet = Packet {
        incarnation: Incarnation(1_700_000_000_000),
        status: Status::new(41),
        salt: 0x1234,
        table_hash: 0xdead_beef,
        body: PacketBody::Ping { probe: 300 },
        heartbeats: vec![RegionHeartbeat {
            region_key: [1, 2, 3, 4],
            counter: 5,
        }],
        updates: vec![Update::Status {
            instance: "north-1".parse().unwrap(),
            incarnation: Incarnation(2),
            status: Status {
                sequence: 1,
                health: Health::Gone,
                is_leaving: true,
                revision: 40,
            },
        }],
        revisions: Vec::new(),
        entries: Vec::new(),
    };
    insta::assert_snapshot!(hex(&Message::Member(packet)), @"010180d095ffbc3100000029b424effdb6f50d00ac020101020304050101076e6f7274682d3102010201280000");
    insta::assert_snapshot!(hex(&Message::opaque(9, vec![1, 2])), @"010209020102");
    insta::assert_snapshot!(hex(&Message::Echo(7)), @"010307");
    insta::assert_snapshot!(hex(&Message::EchoReply(7)), @"010407");
}
