//! Hash functions whose results are the same on all instances.

/// Offset and prime of the 32-bit FNV-1a hash.
const FNV_OFFSET_32: u32 = 0x811c_9dc5;
const FNV_PRIME_32: u32 = 0x0100_0193;
/// Offset and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_64: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME_64: u64 = 0x0100_0000_01b3;

/// 32-bit FNV-1a hash that stands for a name in messages between instances.
pub fn short_hash(name: &str) -> u32 {
    let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME_32);
    name.bytes().fold(FNV_OFFSET_32, step)
}

/// Rendezvous weight of a name for a key; all instances rank the names for a key alike.
pub fn rendezvous(name: &str, key: u64) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME_64);
    let hash = name.bytes().fold(FNV_OFFSET_64 ^ key, step);
    // The finalizer spreads every bit of the key over the whole word.
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 27)
}
