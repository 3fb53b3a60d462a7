use super::{prompt_parts, MAX_BOUNDARIES, PREFIX_BLOCKS};
use carobwheel_core::{crash::PartId, route::prefix_hashes};
use carobwheel_wire::openai::RequestView;
use std::collections::BTreeSet;
use test_case::test_case;

fn parts(account: &str, contents: &[&str]) -> Vec<PartId> {
    let messages: Vec<_> = contents
        .iter()
        .map(|content| serde_json::json!({"role": "user", "content": content}))
        .collect();
    let body = serde_json::json!({"model": "m", "messages": messages}).to_string();
    let view = RequestView::parse(body.as_bytes()).unwrap();
    let prompt = contents.concat();
    prompt_parts(
        &view,
        account,
        &prefix_hashes(account, prompt.as_bytes(), 4),
    )
}

fn shared(first: &[PartId], second: &[PartId]) -> usize {
    first.iter().filter(|part| second.contains(part)).count()
}

#[test_case(&["s", "d", "q1"], &["s", "d", "q2"], 2; "last message differs")]
#[test_case(&["s", "d1", "q"], &["s", "d2", "q"], 1; "a message in between differs")]
#[test_case(&["s1", "d", "q"], &["s2", "d", "q"], 0; "first message differs")]
#[test_case(&["s", "q"], &["s", "q"], 2; "same prompt")]
#[test_case(&["ab", "c"], &["a", "bc"], 0; "texts do not run into each other")]
#[test_case(&["q"], &["q", "q"], 0; "a whole prompt is no beginning of another")]
fn prompts_share_the_parts_before_their_first_difference(
    first: &[&str],
    second: &[&str],
    expected: usize,
) {
    assert_eq!(shared(&parts("a", first), &parts("a", second)), expected);
}

#[test]
fn accounts_share_no_part() {
    let long = "x".repeat(100_000);
    let prompt = ["s", long.as_str(), "q"];
    assert_eq!(shared(&parts("a", &prompt), &parts("b", &prompt)), 0);
}

#[test]
fn the_number_of_parts_is_bounded() {
    let long = "x".repeat(2_000_000);
    let prompt = vec![long.as_str(); 20];
    let parts = parts("a", &prompt);
    assert_eq!(parts.len(), PREFIX_BLOCKS.len() + MAX_BOUNDARIES + 1);
    assert_eq!(
        parts.iter().collect::<BTreeSet<_>>().len(),
        parts.len(),
        "all differ"
    );
}
