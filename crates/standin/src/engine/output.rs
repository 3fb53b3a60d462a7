//! The text of answers.

use carobwheel_wire::openai::RequestView;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Words are numbers below this one.
const WORDS: u64 = 1 << 20;

/// A hash of the prompt that decides every token of its answer.
pub fn prompt_hash(request: &RequestView<'_>) -> u64 {
    let mut hash = FNV_OFFSET;
    let mut mix = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    request.for_each_text(|text| {
        text.bytes().for_each(&mut mix);
        mix(0);
    });
    hash
}

/// The token at place `index` of the answer to the prompt with the hash `prompt`.
pub fn token(prompt: u64, index: u64) -> String {
    let mut mixed = prompt ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    format!("{:05x} ", (mixed ^ (mixed >> 31)) % WORDS)
}

/// The whole answer of `tokens` tokens to a request.
pub fn answer_text(request: &RequestView<'_>, tokens: u64) -> String {
    let prompt = prompt_hash(request);
    (0..tokens).map(|index| token(prompt, index)).collect()
}
