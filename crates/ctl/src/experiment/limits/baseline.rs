//! Other ways to hold an account's limit, run over the same requests.

use super::world::bucket::Bucket;
use super::world::flow::Arrival;
use super::world::Tally;
use carobwheel_core::document::Account;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Time between two tries of a request that waits, in milliseconds.
const RETRY_MS: u64 = 20;

enum Step {
    Try { arrival: usize, is_within: bool },
    Settle { arrival: usize },
}

/// Splits an account's bucket in `count` equal buckets, of which `choose` picks one for each
/// instance, and decides the account's requests. One bucket is the perfect central counter.
///
/// A request waits in the order of arrival until its time is up, as with the limiter.
pub(super) fn run(
    account: &Account,
    arrivals: &[Arrival],
    count: u64,
    choose: impl Fn(usize) -> usize,
    tally_from_ms: u64,
) -> Tally {
    let rate = account.rate_tokens_per_s / count;
    let burst = account.burst_tokens / count;
    let mut buckets: Vec<Bucket> = (0..count).map(|_| Bucket::full(rate, burst)).collect();
    let mut whole = Bucket::full(account.rate_tokens_per_s, account.burst_tokens);
    let mut tally = Tally::default();
    let mut lines: Vec<VecDeque<usize>> = vec![VecDeque::new(); buckets.len()];
    let mut queue = BinaryHeap::new();
    let mut steps: Vec<Step> = Vec::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        if arrival.account == account.id {
            queue.push(Reverse((arrival.at_ms, steps.len())));
            steps.push(Step::Try {
                arrival: index,
                is_within: false,
            });
        }
    }
    while let Some(Reverse((at_ms, number))) = queue.pop() {
        match steps[number] {
            Step::Settle { arrival } => {
                let arrival = &arrivals[arrival];
                let (most, output) = (arrival.max_output_tokens, arrival.output_tokens);
                buckets[choose(arrival.node)].settle(most, output, at_ms);
                whole.settle(most, output, at_ms);
            }
            Step::Try {
                arrival: index,
                is_within,
            } => {
                let arrival = &arrivals[index];
                let tokens = arrival.prompt_tokens + arrival.max_output_tokens;
                let is_within = is_within || whole.has(tokens, at_ms);
                let bucket = &mut buckets[choose(arrival.node)];
                let line = &mut lines[choose(arrival.node)];
                if arrival.at_ms == at_ms {
                    line.push_back(index);
                }
                let is_counted = arrival.at_ms >= tally_from_ms;
                let is_first = line.front() == Some(&index);
                if is_first && bucket.has(tokens, at_ms) {
                    line.pop_front();
                    tally.admitted += u64::from(is_counted);
                    if is_counted {
                        tally.used_tokens += arrival.prompt_tokens + arrival.output_tokens;
                    }
                    bucket.charge(arrival.prompt_tokens, arrival.max_output_tokens, at_ms);
                    whole.charge(arrival.prompt_tokens, arrival.max_output_tokens, at_ms);
                    let run_ms = arrival.output_tokens * 1_000 / arrival.speed_tokens_per_s;
                    queue.push(Reverse((at_ms + run_ms, steps.len())));
                    steps.push(Step::Settle { arrival: index });
                } else if at_ms >= arrival.at_ms + arrival.max_wait_ms {
                    line.retain(|of| *of != index);
                    tally.refused += u64::from(is_counted);
                    tally.wrongful += u64::from(is_counted && is_within);
                } else {
                    steps[number] = Step::Try {
                        arrival: index,
                        is_within,
                    };
                    queue.push(Reverse((at_ms + RETRY_MS, number)));
                }
            }
        }
    }
    tally
}
