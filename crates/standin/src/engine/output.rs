//! Deterministic text of answers.

use carobwheel_wire::openai::RequestView;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Number of distinct tokens.
const TOKEN_VALUES: u64 = 1 << 20;

/// Returns the FNV-1a hash of a prompt, from which the tokens of its answer are derived.
pub fn prompt_hash(request: &RequestView<'_>) -> u64 {
    let mut hash = FNV_OFFSET;
    let mut add_byte = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    request.for_each_text(|text| {
        text.bytes().for_each(&mut add_byte);
        add_byte(0);
    });
    hash
}

/// Returns the token at `position` of the answer to the prompt with this hash.
pub fn token(prompt_hash: u64, position: u64) -> String {
    let mut state = prompt_hash ^ position.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    format!("{:05x} ", (state ^ (state >> 31)) % TOKEN_VALUES)
}

/// Returns the complete answer to a request, `tokens` tokens long.
pub fn answer_text(request: &RequestView<'_>, tokens: u64) -> String {
    let prompt_hash = prompt_hash(request);
    (0..tokens)
        .map(|position| token(prompt_hash, position))
        .collect()
}
