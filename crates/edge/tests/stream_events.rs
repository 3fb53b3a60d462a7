//! Tests of the splitting of event streams.

#![allow(clippy::unwrap_used)]

use carobwheel_edge::relay::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};
use test_case::test_case;

/// Id and bytes of an event.
type SplitEvent = (Option<u64>, Vec<u8>);

/// Events of a stream that arrives in these pieces, and whether a part of one is left.
fn split(pieces: &[&[u8]]) -> (Vec<SplitEvent>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(*piece);
        while let Some(event) = splitter.next_event().unwrap() {
            events.push((event.id, event.bytes.to_vec()));
        }
    }
    (events, splitter.has_part())
}

#[test_case(b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n", 2; "line feeds")]
#[test_case(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", 2; "carriage returns and line feeds")]
#[test_case(b": comment\n\nid: 1\ndata: a\n\n", 2; "comment")]
fn events_are_the_same_wherever_the_stream_is_split(stream: &[u8], expected: usize) {
    let (whole, _) = split(&[stream]);
    assert_eq!(whole.len(), expected);
    for first in 0..=stream.len() {
        for second in first..=stream.len() {
            let pieces = [&stream[..first], &stream[first..second], &stream[second..]];
            let (events, has_part) = split(&pieces);
            assert_eq!(events, whole, "split at {first} and {second}");
            assert!(!has_part);
        }
    }
    let bytes: Vec<&[u8]> = stream.chunks(1).collect();
    assert_eq!(split(&bytes), (whole, false));
}

#[test_case(b"id: 1\ndata: a\n\nid: 2\ndata: b\n"; "no blank line")]
#[test_case(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n"; "no blank line after a carriage return")]
fn a_stream_that_ends_anywhere_inside_an_event_has_a_part_left(stream: &[u8]) {
    let first_end = split(&[stream]).0[0].1.len();
    for end in 0..=stream.len() {
        let (events, has_part) = split(&[&stream[..end]]);
        assert_eq!(events.len(), usize::from(end >= first_end));
        assert_eq!(has_part, end != 0 && end != first_end, "ended at {end}");
    }
}

#[test_case(b"x"; "one line")]
#[test_case(b"data: x\n"; "many lines")]
fn an_event_that_never_ends_is_refused(unit: &[u8]) {
    let mut splitter = EventSplitter::default();
    let piece = unit.repeat(4_096 / unit.len());
    for _ in 0..MAX_EVENT_BYTES / piece.len() {
        splitter.push(piece.as_slice());
        assert_eq!(splitter.next_event(), Ok(None));
    }
    splitter.push(piece.as_slice());
    assert_eq!(splitter.next_event(), Err(EventTooLong));
}

#[test]
fn the_id_of_the_first_event_is_read_after_a_byte_order_mark() {
    let (events, has_part) = split(&["\u{feff}id: 7\ndata: a\n\n".as_bytes()]);
    assert_eq!(events[0].0, Some(7));
    assert!(!has_part);
}

#[test]
fn a_lone_carriage_return_ends_no_event() {
    let (events, has_part) = split(&[b"id: 1\rdata: a\r\r"]);
    assert!(events.is_empty());
    assert!(has_part);
}
