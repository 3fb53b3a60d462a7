//! Hashes that all instances compute alike.

/// Offset and prime of the 32-bit FNV-1a hash.
const OFFSET_32: u32 = 0x811c_9dc5;
const PRIME_32: u32 = 0x0100_0193;
/// Offset and prime of the 64-bit FNV-1a hash.
const OFFSET_64: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME_64: u64 = 0x0100_0000_01b3;

/// Short name of a name in messages between instances (32-bit FNV-1a).
pub fn short_hash(name: &str) -> u32 {
    let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(PRIME_32);
    name.bytes().fold(OFFSET_32, step)
}

/// Rendezvous weight of a name for a key: each instance ranks the names for a key alike.
pub fn rendezvous(name: &str, key: u64) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME_64);
    let hash = name.bytes().fold(OFFSET_64 ^ key, step);
    // The final mix spreads every bit of the key over the whole word.
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 27)
}
