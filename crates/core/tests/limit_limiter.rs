//! Charging, lending and changes of slot owners, on limiters whose messages the tests deliver.

use carobwheel_core::document::{Account, Document, Objective, Policy, Region};
use carobwheel_core::id::AccountId;
use carobwheel_core::limit::{
    ChargeId, ChargeOutcome, ChargeRequest, Limiter, LoanMessage, OutgoingLoanMessage,
    GIVEN_LOAN_LIFE_MS, JOIN_DELAY_MS, MAX_CHARGE_DURATION_MS, MICRO_PER_TOKEN,
};
use carobwheel_core::slot::{shard_of, OwnedSlot, Peer, Role, SlotId};
use carobwheel_core::time::Millis;
use test_case::test_case;

const REGIONS: [&str; 3] = ["north", "south", "west"];
const RATE_TOKENS_PER_S: u64 = 2_000;
const BURST_TOKENS: u64 = 20_000;
/// Time at which all parts have filled up.
const FULL_AT: Millis = Millis(60_000);

fn account() -> AccountId {
    "tenant".parse().expect("a valid identifier")
}

fn document(rate_tokens_per_s: u64, burst_tokens: u64, weights: [u32; 3]) -> Document {
    Document {
        schema: 1,
        policy: Policy {
            objective: Objective::Cost,
            retry_budget_pct: 10,
            max_body_bytes: 1_000_000,
        },
        regions: REGIONS
            .iter()
            .zip(weights)
            .map(|(id, rate_weight)| Region {
                id: id.parse().expect("a valid identifier"),
                data_centres: Vec::new(),
                rate_weight,
            })
            .collect(),
        accounts: vec![Account {
            id: account(),
            rate_tokens_per_s,
            burst_tokens,
            queue_weight: 1,
            bound_region: None,
            keys: Vec::new(),
        }],
        classes: Vec::new(),
        models: Vec::new(),
        upstreams: Vec::new(),
        routes: Vec::new(),
        rollouts: Vec::new(),
    }
}

fn peer(at: usize) -> Peer {
    Peer {
        instance: format!("i{at}").parse().expect("a valid identifier"),
        incarnation: 1,
    }
}

fn owned(role: Role, epoch: u64) -> OwnedSlot {
    let shard = shard_of(&account());
    OwnedSlot { shard, role, epoch }
}

/// Six instances, two in each region: the first owns the primary slot, the second the backup slot.
struct Fleet {
    limiters: Vec<Limiter>,
}

impl Fleet {
    fn new(document: &Document) -> Self {
        let members: Vec<Peer> = (0..6).map(peer).collect();
        let owners: Vec<(SlotId, Peer)> = (0..6).map(|at| (slot(at), peer(at))).collect();
        let limiters = (0..6).map(|at| {
            let region = REGIONS[at / 2].parse().expect("a valid identifier");
            let mut limiter = Limiter::new(peer(at), region);
            limiter.set_members(&members, Millis(0));
            limiter.apply_document(1, document, Millis(0));
            limiter.set_fleet_revision(1, Millis(0));
            limiter.set_owners(owners.clone());
            limiter.set_slots(&[owned(slot(at).role, 1)], Millis(0));
            limiter.tick(Millis(0));
            limiter
        });
        Self {
            limiters: limiters.collect(),
        }
    }

    /// Delivers messages and their answers until none is left.
    fn deliver(&mut self, from: usize, messages: Vec<OutgoingLoanMessage>, now: Millis) {
        let mut queue: Vec<(usize, OutgoingLoanMessage)> =
            messages.into_iter().map(|m| (from, m)).collect();
        while let Some((from, (to, message))) = queue.pop() {
            let at = (0..6).find(|at| peer(*at) == to).expect("a known peer");
            let answers = self.limiters[at].on_message(&peer(from), &message, now);
            queue.extend(answers.into_iter().map(|answer| (at, answer)));
        }
    }

    fn tick(&mut self, now: Millis) {
        for at in 0..6 {
            let messages = self.limiters[at].tick(now);
            self.deliver(at, messages, now);
        }
    }

    /// Charges a request and delivers messages immediately, until the outcome is not to borrow.
    fn charge(&mut self, at: usize, prompt: u64, output: u64, now: Millis) -> ChargeOutcome {
        for _ in 0..5 {
            match try_charge(&mut self.limiters[at], prompt, output, now) {
                ChargeOutcome::Borrow { messages, .. } => self.deliver(at, messages, now),
                decided => return decided,
            }
        }
        panic!("borrowing did not end after five attempts");
    }

    fn available(&mut self, now: Millis) -> u64 {
        let levels = self.limiters.iter_mut();
        let total: u64 = levels
            .map(|limiter| limiter.available_micro(&account(), now))
            .sum();
        total / MICRO_PER_TOKEN
    }
}

fn slot(at: usize) -> SlotId {
    SlotId {
        region: REGIONS[at / 2].parse().expect("a valid identifier"),
        shard: shard_of(&account()),
        role: Role::ALL[at % 2],
    }
}

fn try_charge(limiter: &mut Limiter, prompt: u64, output: u64, now: Millis) -> ChargeOutcome {
    let account = account();
    let request = ChargeRequest {
        account: &account,
        prompt_tokens: prompt,
        max_output_tokens: output,
        wait_until: now.plus(1_000),
    };
    limiter.try_charge(&request, now)
}

fn admitted(outcome: ChargeOutcome) -> ChargeId {
    match outcome {
        ChargeOutcome::Admitted { charge } => charge,
        other => panic!("expected admission, got {other:?}"),
    }
}

#[test_case(0)]
#[test_case(1)]
#[test_case(3)]
#[test_case(5)]
fn an_idle_account_is_admitted_a_large_request_at_any_instance(at: usize) {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    admitted(fleet.charge(at, 8_000, 0, FULL_AT));
}

#[test]
fn the_whole_burst_and_no_more_can_be_borrowed() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    admitted(fleet.charge(0, 19_990, 0, FULL_AT));
    let outcome = fleet.charge(0, 5_000, 0, FULL_AT);
    assert!(
        matches!(outcome, ChargeOutcome::Refused { .. }),
        "{outcome:?}"
    );
}

#[test]
fn a_request_beyond_the_whole_burst_is_too_large() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let outcome = fleet.charge(0, BURST_TOKENS, 1, FULL_AT);
    assert_eq!(outcome, ChargeOutcome::TooLarge);
}

#[test]
fn an_account_without_a_document_is_unknown() {
    let mut limiter = Limiter::new(peer(0), REGIONS[0].parse().expect("a valid identifier"));
    let outcome = try_charge(&mut limiter, 1, 0, FULL_AT);
    assert_eq!(outcome, ChargeOutcome::UnknownAccount);
}

#[test]
fn a_request_waits_for_refill_before_its_deadline() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    admitted(fleet.charge(0, 19_990, 0, FULL_AT));
    // Lenders refill only after the use of the lent tokens has been reported.
    fleet.tick(FULL_AT);
    let outcome = fleet.charge(0, 1_000, 0, FULL_AT.plus(100));
    assert!(matches!(outcome, ChargeOutcome::Wait { .. }), "{outcome:?}");
    admitted(fleet.charge(0, 1_000, 0, FULL_AT.plus(1_000)));
}

#[test_case(1, 1; "one token a second in ticks of a millisecond")]
#[test_case(1, 7; "one token a second in ticks of seven milliseconds")]
#[test_case(333, 13; "a rate that no tick divides")]
fn slow_rates_accrue_exactly(rate: u64, tick_ms: u64) {
    let elapsed_ms = 91_000;
    let mut fleet = Fleet::new(&document(rate, 100_000, [1, 1, 1]));
    let mut now = Millis(0);
    while now < Millis(elapsed_ms) {
        now = now.plus(tick_ms);
        fleet.available(now);
    }
    let levels = fleet.limiters.iter_mut();
    let total: u64 = levels
        .map(|limiter| limiter.available_micro(&account(), now))
        .sum();
    // Weights of a third each, rounded down to whole parts per million, lose fewer than six parts.
    let whole = rate * now.0 * 999;
    let lost = whole * 6 / 1_000_000 + 6;
    assert!(
        total <= whole && total + lost >= whole,
        "{total} of {whole}"
    );
}

#[test]
fn unused_output_tokens_are_refunded() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let charge = admitted(fleet.charge(0, 1_000, 3_000, FULL_AT));
    let before = fleet.available(FULL_AT);
    fleet.limiters[0].settle(charge, 500, FULL_AT);
    assert_eq!(fleet.available(FULL_AT), before + 2_500);
    fleet.limiters[0].settle(charge, 500, FULL_AT);
    assert_eq!(fleet.available(FULL_AT), before + 2_500);
}

#[test]
fn an_unsettled_charge_expires_as_fully_used() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let charge = admitted(fleet.charge(0, 0, 3_000, FULL_AT));
    let end = FULL_AT.plus(MAX_CHARGE_DURATION_MS);
    fleet.tick(end.plus(1));
    assert_eq!(fleet.limiters[0].take_expired_charges(), [charge]);
    assert_eq!(fleet.limiters[0].totals().charges, 0);
}

#[test]
fn reservations_limit_the_level_of_a_part() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let charge = admitted(fleet.charge(0, 0, 4_000, FULL_AT));
    let later = FULL_AT.plus(60_000);
    // The shares of the burst are 4,999 and 1,666 tokens, rounded down to whole parts per million.
    assert_eq!(
        fleet.limiters[0].available_micro(&account(), later) / MICRO_PER_TOKEN,
        999
    );
    fleet.limiters[0].settle(charge, 4_000, later);
    let later = later.plus(60_000);
    assert_eq!(
        fleet.limiters[0].available_micro(&account(), later) / MICRO_PER_TOKEN,
        4_999
    );
}

/// Starts borrowing at the first instance and returns the loan request, the grant and the lender.
fn start_loan(fleet: &mut Fleet) -> (LoanMessage, LoanMessage, usize) {
    let outcome = try_charge(&mut fleet.limiters[0], 6_000, 0, FULL_AT);
    let ChargeOutcome::Borrow { messages, .. } = outcome else {
        panic!("expected borrowing, got {outcome:?}");
    };
    assert_eq!(messages.len(), 1);
    let (to, request) = messages.into_iter().next().expect("a message");
    let lender = (0..6).find(|at| peer(*at) == to).expect("a known peer");
    let answers = fleet.limiters[lender].on_message(&peer(0), &request, FULL_AT);
    let (_, grant) = answers.into_iter().next().expect("an answer");
    (request, grant, lender)
}

#[test]
fn a_duplicate_loan_request_gets_the_same_grant() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let (request, grant, lender) = start_loan(&mut fleet);
    let level = fleet.limiters[lender].available_micro(&account(), FULL_AT);
    let duplicate = fleet.limiters[lender].on_message(&peer(0), &request, FULL_AT);
    assert_eq!(duplicate, [(peer(0), grant)]);
    assert_eq!(
        fleet.limiters[lender].available_micro(&account(), FULL_AT),
        level
    );
}

#[test]
fn a_duplicate_grant_is_credited_once() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let (_, grant, lender) = start_loan(&mut fleet);
    fleet.limiters[0].on_message(&peer(lender), &grant, FULL_AT);
    let once = fleet.limiters[0].available_micro(&account(), FULL_AT);
    fleet.limiters[0].on_message(&peer(lender), &grant, FULL_AT);
    assert_eq!(fleet.limiters[0].available_micro(&account(), FULL_AT), once);
}

#[test]
fn a_late_grant_is_returned() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let full = fleet.available(FULL_AT);
    let (_, grant, lender) = start_loan(&mut fleet);
    let late = FULL_AT.plus(5_000);
    fleet.limiters[0].tick(late);
    let answers = fleet.limiters[0].on_message(&peer(lender), &grant, late);
    assert_eq!(answers.len(), 1);
    fleet.deliver(0, answers, late);
    assert_eq!(fleet.available(late), full);
    assert_eq!(fleet.limiters[lender].totals().loans_given, 0);
}

#[test]
fn an_unneeded_loan_is_returned() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let full = fleet.available(FULL_AT);
    let (_, grant, lender) = start_loan(&mut fleet);
    fleet.limiters[0].on_message(&peer(lender), &grant, FULL_AT);
    for step in 0..20 {
        fleet.tick(FULL_AT.plus(step * 1_000));
    }
    let totals: Vec<_> = fleet.limiters.iter().map(Limiter::totals).collect();
    assert!(
        totals
            .iter()
            .all(|totals| totals.loans_given + totals.loans_taken == 0),
        "{totals:?}"
    );
    assert_eq!(fleet.available(FULL_AT.plus(19_000)), full);
}

#[test]
fn an_unreported_loan_counts_as_spent() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let (_, _, lender) = start_loan(&mut fleet);
    let level = fleet.limiters[lender].available_micro(&account(), FULL_AT);
    let expiry = FULL_AT.plus(GIVEN_LOAN_LIFE_MS);
    fleet.limiters[lender].tick(expiry);
    assert_eq!(fleet.limiters[lender].totals().loans_given, 0);
    assert_eq!(
        fleet.limiters[lender].available_micro(&account(), expiry),
        level
    );
}

#[test]
fn invalidated_slots_neither_admit_nor_lend() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let charge = admitted(fleet.charge(2, 10, 100, FULL_AT));
    assert_eq!(fleet.limiters[2].invalidate_slots(), [charge]);
    assert_eq!(fleet.limiters[2].available_micro(&account(), FULL_AT), 0);
    admitted(fleet.charge(0, 14_000, 0, FULL_AT));
    assert_eq!(fleet.limiters[2].totals().loans_given, 0);
    fleet.limiters[2].confirm_slots(&[owned(Role::Primary, 1)], FULL_AT);
    assert!(fleet.limiters[2].available_micro(&account(), FULL_AT) > 0);
}

#[test]
fn a_new_owner_inherits_the_level_once_all_members_have_answered() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let charge = admitted(fleet.charge(0, 1_000, 1_000, FULL_AT));
    let level = fleet.limiters[0].available_micro(&account(), FULL_AT);
    fleet.limiters[0].suspend(&[(shard_of(&account()), Role::Primary)], FULL_AT);
    assert_eq!(fleet.limiters[0].available_micro(&account(), FULL_AT), 0);
    fleet.limiters[0].set_slots(&[], FULL_AT);
    let both = [owned(Role::Backup, 1), owned(Role::Primary, 2)];
    fleet.limiters[1].set_slots(&both, FULL_AT);
    let backup = fleet.limiters[1].available_micro(&account(), FULL_AT);
    let later = FULL_AT.plus(10_000);
    assert_eq!(fleet.limiters[1].available_micro(&account(), later), backup);
    fleet.tick(later);
    let taken = fleet.limiters[1].available_micro(&account(), later) - backup;
    assert_eq!(taken, level);
    // The reservation of the former owner is held back until it is settled.
    let filled = later.plus(60_000);
    let held = fleet.limiters[1].available_micro(&account(), filled);
    fleet.limiters[0].settle(charge, 1_000, filled);
    fleet.tick(filled);
    let freed = filled.plus(60_000);
    let free = fleet.limiters[1].available_micro(&account(), freed);
    assert_eq!((free - held) / MICRO_PER_TOKEN, 1_000);
}

#[test]
fn a_new_owner_without_all_audit_answers_spends_nothing() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    fleet.limiters[1].set_slots(&[owned(Role::Primary, 2)], FULL_AT);
    fleet.limiters[1].tick(FULL_AT);
    let later = FULL_AT.plus(60_000);
    assert_eq!(fleet.limiters[1].available_micro(&account(), later), 0);
    fleet.limiters[1].set_members(&[peer(1)], later);
    fleet.limiters[1].tick(later.plus(500));
    let filled = later.plus(60_000);
    assert!(fleet.limiters[1].available_micro(&account(), filled) > 0);
}

#[test]
fn a_share_grows_only_after_the_fleet_has_settled() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let wider = document(RATE_TOKENS_PER_S, BURST_TOKENS, [4, 1, 1]);
    for limiter in &mut fleet.limiters {
        limiter.apply_document(2, &wider, FULL_AT);
    }
    let later = FULL_AT.plus(60_000);
    let levels = |fleet: &mut Fleet, now| {
        let levels = fleet.limiters.iter_mut();
        levels
            .map(|limiter| limiter.available_micro(&account(), now) / MICRO_PER_TOKEN)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        levels(&mut fleet, later),
        [4_999, 1_666, 2_499, 833, 2_499, 833]
    );
    for limiter in &mut fleet.limiters {
        assert_eq!(limiter.settled_revision(), 2);
        limiter.set_fleet_revision(2, later);
    }
    let settled = later.plus(60_000);
    assert_eq!(
        levels(&mut fleet, settled),
        [9_999, 3_333, 2_499, 833, 2_499, 833]
    );
}

#[test]
fn a_part_beyond_its_new_share_is_not_settled() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let charge = admitted(fleet.charge(2, 0, 4_000, FULL_AT));
    fleet.limiters[2].apply_document(
        2,
        &document(RATE_TOKENS_PER_S, BURST_TOKENS, [4, 1, 1]),
        FULL_AT,
    );
    assert_eq!(fleet.limiters[2].settled_revision(), 1);
    fleet.limiters[2].settle(charge, 0, FULL_AT);
    assert_eq!(fleet.limiters[2].settled_revision(), 2);
}

#[test]
fn an_instance_that_has_just_started_borrows_nothing() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    let mut fresh = Limiter::new(peer(0), slot(0).region);
    fresh.apply_document(
        1,
        &document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]),
        FULL_AT,
    );
    fresh.set_owners((1..6).map(|at| (slot(at), peer(at))));
    fresh.tick(FULL_AT);
    let early = FULL_AT.plus(JOIN_DELAY_MS - 1);
    let outcome = try_charge(&mut fresh, 100, 0, early);
    assert!(
        !matches!(outcome, ChargeOutcome::Borrow { .. }),
        "{outcome:?}"
    );
    fleet.limiters[0] = fresh;
    admitted(fleet.charge(0, 100, 0, FULL_AT.plus(JOIN_DELAY_MS)));
}

#[test]
fn a_new_owner_with_an_outdated_document_spends_nothing() {
    let mut fleet = Fleet::new(&document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 1, 1]));
    for limiter in &mut fleet.limiters[2..] {
        limiter.apply_document(
            2,
            &document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 4, 1]),
            FULL_AT,
        );
    }
    fleet.limiters[0].set_slots(&[], FULL_AT);
    fleet.limiters[1].set_slots(&[owned(Role::Primary, 2)], FULL_AT);
    fleet.tick(FULL_AT);
    let later = FULL_AT.plus(60_000);
    assert_eq!(fleet.limiters[1].available_micro(&account(), later), 0);
    fleet.limiters[1].apply_document(
        2,
        &document(RATE_TOKENS_PER_S, BURST_TOKENS, [1, 4, 1]),
        later,
    );
    fleet.tick(later);
    let filled = later.plus(60_000);
    assert!(fleet.limiters[1].available_micro(&account(), filled) > 0);
}
