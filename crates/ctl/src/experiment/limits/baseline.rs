//! Baselines that enforce an account's limit over the same requests: a central counter and a
//! static split.

use super::world::bucket::Bucket;
use super::world::flow::Arrival;
use super::world::Tally;
use carobwheel_core::document::Account;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Interval between two attempts of a waiting request, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 20;

/// A scheduled event of the baseline run.
enum Step {
    /// An attempt to charge a request.
    Try {
        arrival: usize,
        is_within_limit: bool,
    },
    /// The end of an admitted request.
    Settle { arrival: usize },
}

/// Splits an account's bucket into `count` equal buckets and decides the account's requests.
///
/// `bucket_of` maps an instance to its bucket. A single bucket is a perfect central counter.
/// Requests wait in order of arrival until their maximum wait has passed, as in the limiter.
pub(super) fn run(
    account: &Account,
    arrivals: &[Arrival],
    count: u64,
    bucket_of: impl Fn(usize) -> usize,
    tally_from_ms: u64,
) -> Tally {
    let rate = account.rate_tokens_per_s / count;
    let burst = account.burst_tokens / count;
    let mut buckets: Vec<Bucket> = (0..count).map(|_| Bucket::full(rate, burst)).collect();
    let mut reference = Bucket::full(account.rate_tokens_per_s, account.burst_tokens);
    let mut tally = Tally::default();
    let mut wait_queues: Vec<VecDeque<usize>> = vec![VecDeque::new(); buckets.len()];
    let mut events = BinaryHeap::new();
    let mut steps: Vec<Step> = Vec::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        if arrival.account == account.id {
            events.push(Reverse((arrival.at_ms, steps.len())));
            steps.push(Step::Try {
                arrival: index,
                is_within_limit: false,
            });
        }
    }
    while let Some(Reverse((at_ms, number))) = events.pop() {
        match steps[number] {
            Step::Settle { arrival } => {
                let arrival = &arrivals[arrival];
                let (max_output, output) = (arrival.max_output_tokens, arrival.output_tokens);
                buckets[bucket_of(arrival.node)].settle(max_output, output, at_ms);
                reference.settle(max_output, output, at_ms);
            }
            Step::Try {
                arrival: index,
                is_within_limit,
            } => {
                let arrival = &arrivals[index];
                let tokens = arrival.prompt_tokens + arrival.max_output_tokens;
                let is_within_limit = is_within_limit || reference.can_charge(tokens, at_ms);
                let bucket = &mut buckets[bucket_of(arrival.node)];
                let wait_queue = &mut wait_queues[bucket_of(arrival.node)];
                if arrival.at_ms == at_ms {
                    wait_queue.push_back(index);
                }
                let is_counted = arrival.at_ms >= tally_from_ms;
                let is_first = wait_queue.front() == Some(&index);
                if is_first && bucket.can_charge(tokens, at_ms) {
                    wait_queue.pop_front();
                    tally.admitted += u64::from(is_counted);
                    if is_counted {
                        tally.used_tokens += arrival.prompt_tokens + arrival.output_tokens;
                    }
                    bucket.charge(arrival.prompt_tokens, arrival.max_output_tokens, at_ms);
                    reference.charge(arrival.prompt_tokens, arrival.max_output_tokens, at_ms);
                    let run_ms = arrival.output_tokens * 1_000 / arrival.speed_tokens_per_s;
                    events.push(Reverse((at_ms + run_ms, steps.len())));
                    steps.push(Step::Settle { arrival: index });
                } else if at_ms >= arrival.at_ms + arrival.max_wait_ms {
                    wait_queue.retain(|waiting| *waiting != index);
                    tally.refused += u64::from(is_counted);
                    tally.wrongful += u64::from(is_counted && is_within_limit);
                } else {
                    steps[number] = Step::Try {
                        arrival: index,
                        is_within_limit,
                    };
                    events.push(Reverse((at_ms + RETRY_INTERVAL_MS, number)));
                }
            }
        }
    }
    tally
}
