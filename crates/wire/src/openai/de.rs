//! Deserialization of contents and prompts.
//!
//! Serde's untagged enums buffer every element of a list in a form of 32 bytes, many times the size
//! of a short element. These visitors build the result directly; texts borrow from the request.

use super::request::{Content, Part, Prompt};
use serde::{
    de::{Error, SeqAccess, Visitor},
    Deserialize, Deserializer,
};
use std::{borrow::Cow, fmt};

/// Text that borrows from the request unless it contains escapes.
struct Text<'a>(Cow<'a, str>);

/// Deserializes a text that may be absent.
pub(super) fn optional_text<'de, D>(deserializer: D) -> Result<Option<Cow<'de, str>>, D::Error>
where
    D: Deserializer<'de>,
{
    let text = Option::<Text<'de>>::deserialize(deserializer)?;
    Ok(text.map(|text| text.0))
}

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = Text<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text")
    }

    fn visit_borrowed_str<E: Error>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Text(Cow::Borrowed(text)))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Text(Cow::Owned(text.to_owned())))
    }
}

impl<'de> Deserialize<'de> for Text<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(TextVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = Content<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text or a list of parts")
    }

    fn visit_borrowed_str<E: Error>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Content::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Content::Text(Cow::Owned(text.to_owned())))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        let mut parts = Vec::new();
        while let Some(part) = list.next_element::<Part<'de>>()? {
            if part.text.is_some() {
                parts.push(part);
            }
        }
        Ok(Content::Parts(parts))
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Content<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ContentVisitor)
    }
}

/// Element of a prompt that is a list.
enum Element<'a> {
    Text(Cow<'a, str>),
    Token(u32),
}

struct ElementVisitor;

impl<'de> Visitor<'de> for ElementVisitor {
    type Value = Element<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text or a token ID")
    }

    fn visit_borrowed_str<E: Error>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Element::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Element::Text(Cow::Owned(text.to_owned())))
    }

    fn visit_u64<E: Error>(self, token: u64) -> Result<Self::Value, E> {
        let token = u32::try_from(token);
        token
            .map(Element::Token)
            .map_err(|_| E::custom("a token ID is out of range"))
    }
}

impl<'de> Deserialize<'de> for Element<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ElementVisitor)
    }
}

struct PromptVisitor;

impl<'de> Visitor<'de> for PromptVisitor {
    type Value = Prompt<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text, a list of texts or a list of token IDs")
    }

    fn visit_borrowed_str<E: Error>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Prompt::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Prompt::Text(Cow::Owned(text.to_owned())))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        let (mut texts, mut tokens) = (Vec::new(), Vec::new());
        let mut has_texts = false;
        while let Some(element) = list.next_element::<Element<'de>>()? {
            match element {
                Element::Text(text) => {
                    has_texts = true;
                    if !text.is_empty() {
                        texts.push(text);
                    }
                }
                Element::Token(token) => tokens.push(token),
            }
        }
        match (has_texts, tokens.is_empty()) {
            (true, false) => Err(A::Error::custom("the prompt mixes texts and token IDs")),
            (false, false) => Ok(Prompt::Tokens(tokens)),
            (_, true) => Ok(Prompt::Texts(texts)),
        }
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Prompt<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(PromptVisitor)
    }
}
