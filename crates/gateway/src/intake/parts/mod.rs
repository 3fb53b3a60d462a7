//! Parts of a prompt, and whole requests, for the detection of what crashes upstreams.

use carobwheel_core::crash::PartId;
use carobwheel_wire::openai::{Prompt, RequestView};
use sha2::{Digest as _, Sha256};

#[cfg(test)]
mod tests;

/// Maximum number of message boundaries that become parts, from the first on.
const MAX_BOUNDARIES: usize = 6;
/// Numbers of blocks of `PREFIX_BLOCK_TOKENS` tokens whose prefix hash becomes a part.
const PREFIX_BLOCKS: [usize; 5] = [1, 4, 16, 64, 256];

/// Returns the parts of a prompt: some of its `prefix_hashes`, the beginnings that end with a
/// message but not the last, and, in the last place, the whole prompt.
///
/// The account is part of each, so that the requests of one account are no evidence against those
/// of another.
pub(super) fn prompt_parts(
    view: &RequestView<'_>,
    account: &str,
    prefix_hashes: &[u64],
) -> Vec<PartId> {
    let blocks = PREFIX_BLOCKS.iter();
    let mut parts: Vec<PartId> = blocks
        .filter_map(|blocks| prefix_hashes.get(blocks - 1).copied())
        .collect();
    let mut hasher = Sha256::new();
    add_text(&mut hasher, view.model.as_bytes());
    add_text(&mut hasher, account.as_bytes());
    let count = view.messages.len();
    for (index, message) in view.messages.iter().enumerate() {
        let only = RequestView {
            messages: vec![message.clone()],
            ..RequestView::default()
        };
        only.for_each_text(|text| add_text(&mut hasher, text.as_bytes()));
        if index + 1 < count && index < MAX_BOUNDARIES {
            parts.push(part_of(hasher.clone()));
        }
    }
    let rest = RequestView {
        prompt: view.prompt.clone(),
        ..RequestView::default()
    };
    rest.for_each_text(|text| add_text(&mut hasher, text.as_bytes()));
    if let Some(Prompt::Tokens(tokens)) = &view.prompt {
        tokens
            .iter()
            .for_each(|token| hasher.update(token.to_le_bytes()));
    }
    hasher.update(b"whole");
    parts.push(part_of(hasher));
    parts
}

/// Returns the part that stands for a whole request without a prompt. Headers do not count, since
/// callers send such a request again with new ones.
pub(super) fn whole_request(
    account: &str,
    method: &str,
    path_and_query: &str,
    body: &[u8],
) -> PartId {
    let mut hasher = Sha256::new();
    for text in [account, method, path_and_query] {
        add_text(&mut hasher, text.as_bytes());
    }
    add_text(&mut hasher, body);
    hasher.update(b"request");
    part_of(hasher)
}

/// Adds a text with its length, so that texts cannot run into each other.
fn add_text(hasher: &mut Sha256, text: &[u8]) {
    hasher.update((text.len() as u64).to_le_bytes());
    hasher.update(text);
}

fn part_of(hasher: Sha256) -> PartId {
    let digest = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    PartId::from_le_bytes(bytes)
}
