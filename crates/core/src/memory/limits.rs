//! Sizes of the memory account.

/// Share of the machine's memory that is reserved for callers, in percent. The rest is for the program,
/// its state of the fleet, and what allocators and buffers take beyond the reserved bytes.
const CALLER_PERCENT: usize = 40;
/// Divisor of the total that gives the portion reserved for small requests.
const SMALL_DIVISOR: usize = 8;
/// Maximum share of one client account, in percent.
const ACCOUNT_PERCENT: usize = 50;
/// Maximum share of one client address, in percent. Larger than that of an account: all callers may
/// come from one address.
const ADDRESS_PERCENT: usize = 75;
/// Maximum size of the body of a small request, in bytes.
const SMALL_REQUEST_BYTES: usize = 32 * 1024;

/// Sizes of the memory account, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// All bytes.
    pub total_bytes: usize,
    /// Portion of them that only small requests may use.
    pub small_reserve_bytes: usize,
    /// Largest body of a small request.
    pub small_request_bytes: usize,
    /// Largest part of one client account.
    pub account_bytes: usize,
    /// Largest part of one client address.
    pub address_bytes: usize,
}

impl MemoryLimits {
    /// Sizes for a machine with this memory, in MB.
    pub const fn for_machine(memory_mb: usize) -> Self {
        Self::of_total(memory_mb.saturating_mul(1 << 20) / 100 * CALLER_PERCENT)
    }

    /// Sizes with the usual shares of `total_bytes`.
    pub const fn of_total(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            small_reserve_bytes: total_bytes / SMALL_DIVISOR,
            small_request_bytes: SMALL_REQUEST_BYTES,
            account_bytes: total_bytes / 100 * ACCOUNT_PERCENT,
            address_bytes: total_bytes / 100 * ADDRESS_PERCENT,
        }
    }

    /// Limit on the bytes of large requests.
    pub(super) const fn large_bytes(&self) -> usize {
        self.total_bytes.saturating_sub(self.small_reserve_bytes)
    }

    /// What one account or address may use of the reserved portion beyond its part. Half, so that it
    /// leaves some to others, and has some itself when its large requests have used up its part.
    pub(super) const fn small_extra_bytes(&self) -> usize {
        self.small_reserve_bytes / 2
    }
}
