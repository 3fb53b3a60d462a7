//! Messages as builds of earlier commits have written them.
//!
//! `recorded/gossip.txt` has a line for each build: its commit, and the bytes of its message with all parts that
//! it knows. To add one, print `encode` of that message in a test of that commit's `gossip_encoding.rs`.

#![allow(clippy::unwrap_used)]

mod gossip_support;

use carobwheel_edge::{
    node::Gossip,
    peers::{decode, encode},
};
use gossip_support::{additions, gossip, report, with_cold, with_cut_off, with_duties, with_fleet};
use test_case::test_case;

const RECORDED: &str = include_str!("recorded/gossip.txt");

/// Bytes that the build of `commit` has written.
fn recorded(commit: &str) -> Vec<u8> {
    let mut lines = RECORDED.lines().filter_map(|line| line.split_once(' '));
    let (_, hex) = lines.find(|(known, _)| *known == commit).unwrap();
    let digits: Vec<u8> = hex
        .chars()
        .map(|digit| u8::try_from(digit.to_digit(16).unwrap()).unwrap())
        .collect();
    digits
        .chunks(2)
        .map(|pair| 16 * pair[0] + pair[1])
        .collect()
}

fn with_limits() -> Gossip {
    let mut message = gossip(report());
    message.additions = additions();
    message
}

fn with_all() -> Gossip {
    with_cut_off(with_cold(with_duties()))
}

/// Guards against a change of the form: instances of both builds run side by side while they are replaced.
#[test_case("87df3aa", with_limits(); "before delegates")]
#[test_case("c7def64", with_fleet(); "with delegates")]
#[test_case("54c8062", with_duties(); "with duties")]
#[test_case("0505128", with_all(); "with restarts and services out of reach")]
fn messages_of_earlier_builds_are_read_and_written(commit: &str, message: Gossip) {
    let bytes = recorded(commit);
    let decoded = decode(&bytes).unwrap();
    assert_eq!(decoded.additions, message.additions);
    assert_eq!(decoded.crashes, message.crashes);
    assert_eq!(
        (decoded.life, decoded.asked),
        (message.life, message.asked.clone())
    );
    // What is added later follows the parts that the earlier build knows.
    assert!(encode(&message).unwrap().starts_with(&bytes));
}

/// Guards against parts that an earlier build does not find, since a later one stands before them.
#[test]
fn a_message_with_all_parts_begins_as_earlier_builds_write_theirs() {
    let bytes = encode(&with_all()).unwrap();
    for commit in ["87df3aa", "c7def64", "54c8062", "0505128"] {
        assert!(bytes.starts_with(&recorded(commit)), "{commit}");
    }
}

/// Guards against a cut or a faulty part that costs the parts before it, or ends the process.
#[test]
fn each_beginning_of_a_message_is_read_as_far_as_it_goes() {
    let whole = recorded("0505128");
    let base = postcard::to_stdvec(&gossip(report())).unwrap().len();
    for end in base..=whole.len() {
        let decoded = decode(&whole[..end]).unwrap();
        assert_eq!((decoded.life, decoded.is_ready), (7, true), "{end}");
    }
}
