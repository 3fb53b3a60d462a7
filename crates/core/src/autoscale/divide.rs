//! Division of a region's engines over its data centres.

/// Divides `total` engines evenly over `count` data centres, each of which gets from `min` to `max`. The first
/// ones get one more if the number cannot be divided.
pub fn divide(total: u32, count: usize, min: u32, max: u32) -> Vec<u32> {
    let count_u32 = u32::try_from(count).unwrap_or(u32::MAX).max(1);
    let (base, rest) = (total / count_u32, total % count_u32);
    let max = max.max(min);
    (0..count)
        .map(|index| {
            let is_first = u32::try_from(index).is_ok_and(|index| index < rest);
            (base + u32::from(is_first)).clamp(min, max)
        })
        .collect()
}
