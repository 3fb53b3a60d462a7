//! A model engine that speaks the OpenAI-compatible API.
