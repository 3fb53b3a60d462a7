//! Callers' keys: identification, refusal and withdrawal.

use carobwheel_core::document::{Account, ApiKey, Document, Objective, Policy, SCHEMA};
use carobwheel_core::identity::{digest, Caller, Identity, IdentityRefusal, KeyTable};
use test_case::test_case;

fn account(id: &str, keys: &[&str]) -> Account {
    let key = |(index, key): (usize, &&str)| ApiKey {
        id: format!("{id}-{index}").parse().expect("a valid identifier"),
        sha256: digest(key),
    };
    Account {
        id: id.parse().expect("a valid identifier"),
        rate_tokens_per_s: 1,
        burst_tokens: 1,
        queue_weight: 1,
        bound_region: None,
        keys: keys.iter().enumerate().map(key).collect(),
    }
}

fn document(accounts: Vec<Account>) -> Document {
    Document {
        schema: SCHEMA,
        policy: Policy {
            objective: Objective::Cost,
            retry_budget_pct: 10,
            max_body_bytes: 1_024,
        },
        regions: vec![],
        accounts,
        classes: vec![],
        models: vec![],
        upstreams: vec![],
        routes: vec![],
        rollouts: vec![],
    }
}

fn table() -> KeyTable {
    KeyTable::new(&document(vec![
        account("customs", &["secret-a", "secret-b"]),
        account("parish", &["secret-c"]),
        account("idle", &[]),
    ]))
}

#[test]
fn digest_matches_a_published_vector() {
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    let hex: String = digest("abc").iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(hex, expected);
}

#[test_case("secret-a", "customs", "customs-0"; "first key")]
#[test_case("secret-b", "customs", "customs-1"; "second key")]
#[test_case("secret-c", "parish", "parish-0"; "other account")]
fn a_key_identifies_its_account(key: &str, account: &str, key_id: &str) {
    let Identity::Known(credential) = table().identify(Some(key)) else {
        panic!("the key is not known");
    };
    assert_eq!(credential.account.as_str(), account);
    assert_eq!(credential.key.as_str(), key_id);
}

#[test_case(None, false => Err(IdentityRefusal::Missing); "no key")]
#[test_case(None, true => Ok(true); "no key on an open route")]
#[test_case(Some("secret-x"), false => Err(IdentityRefusal::Unknown); "unknown key")]
#[test_case(Some("secret-x"), true => Err(IdentityRefusal::Unknown); "unknown key on an open route")]
#[test_case(Some("Secret-a"), false => Err(IdentityRefusal::Unknown); "case matters")]
#[test_case(Some(""), false => Err(IdentityRefusal::Malformed); "empty key")]
#[test_case(Some("secret-a"), true => Ok(false); "key on an open route is charged")]
fn admission(presented: Option<&str>, open: bool) -> Result<bool, IdentityRefusal> {
    let caller = table().identify(presented).admit(open)?;
    Ok(caller == Caller::Open)
}

#[test]
fn an_oversized_key_is_malformed() {
    let key = "k".repeat(513);
    assert_eq!(table().identify(Some(&key)), Identity::Malformed);
}

#[test]
fn a_withdrawn_or_moved_key_is_no_longer_valid() {
    let caller = table().identify(Some("secret-a")).admit(false).unwrap();
    assert!(table().is_valid(&caller));
    let withdrawn = KeyTable::new(&document(vec![account("customs", &["secret-b"])]));
    assert!(!withdrawn.is_valid(&caller));
    let moved = KeyTable::new(&document(vec![account("parish", &["secret-a"])]));
    assert!(!moved.is_valid(&caller));
    assert!(moved.is_valid(&Caller::Open));
}

#[test]
#[should_panic(expected = "a key identifies one account")]
fn a_key_of_two_accounts_violates_an_invariant() {
    KeyTable::new(&document(vec![
        account("customs", &["secret-a"]),
        account("parish", &["secret-a"]),
    ]));
}
