//! The response type that is returned to callers.

use crate::relay::AnswerBody;
use hyper::Response;

/// Response to a caller.
pub type Answer = Response<AnswerBody>;
