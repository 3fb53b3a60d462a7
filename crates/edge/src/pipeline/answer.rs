//! Answers on their way to the caller.

use crate::relay::AnswerBody;
use hyper::Response;

/// An answer.
pub type Answer = Response<AnswerBody>;
