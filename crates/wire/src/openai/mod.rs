//! Shapes of the OpenAI-compatible API.
