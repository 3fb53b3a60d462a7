//! Instances that use a limited upstream.

use crate::slot::rendezvous_score_of;

/// Maximum number of instances that use one limited upstream. All of them may send at the same
/// moment, so the number bounds the burst.
pub const MAX_LIMIT_USERS: usize = 4;

/// Instances that use one limited upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitUsers {
    /// Whether this instance is one of them.
    pub is_user: bool,
    /// Their number.
    pub all: usize,
}

impl LimitUsers {
    /// Chooses the users of `upstream` among the instance `own` and the `others` of its region, by
    /// rendezvous hashing. All instances choose the same ones.
    pub fn choose<'a>(own: &str, others: impl Iterator<Item = &'a str>, upstream: &str) -> Self {
        let score = |instance: &str| rendezvous_score_of(instance, upstream.as_bytes());
        let own_score = score(own);
        let (mut all, mut ahead) = (1, 0);
        for other in others {
            all += 1;
            ahead += usize::from(score(other) > own_score);
        }
        Self {
            is_user: ahead < MAX_LIMIT_USERS,
            all: all.min(MAX_LIMIT_USERS),
        }
    }
}

/// Users of `upstream` among these instances.
pub fn limit_users_among<T: AsRef<str>>(mut instances: Vec<T>, upstream: &str) -> Vec<T> {
    instances.sort_by_cached_key(|instance| {
        std::cmp::Reverse(rendezvous_score_of(instance.as_ref(), upstream.as_bytes()))
    });
    instances.truncate(MAX_LIMIT_USERS);
    instances
}
