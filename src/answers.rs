//! Conversion of request replies to and from peer frames.

use primrosestack_core::peer_frame::{Outcome, RequestAnswer};

use crate::requests::{NotRunCause, Reply, not_run};

/// Status with which a peer reports that the idempotency key was used before.
const DUPLICATE_KEY_STATUS: u32 = 409;

/// Builds the frame that answers a forwarded request.
pub(crate) fn answer_frame(request: &str, reply: &Reply) -> RequestAnswer {
    let mut answer = RequestAnswer {
        request: request.to_owned(),
        ..RequestAnswer::default()
    };
    match reply {
        Reply::NotRun { retry_after_ms, .. } => {
            answer.set_outcome(Outcome::NotRun);
            answer.retry_after_ms = u32::try_from(*retry_after_ms).unwrap_or(u32::MAX);
        }
        Reply::Answered {
            status,
            content_type,
            body,
        } => {
            answer.set_outcome(Outcome::Answered);
            answer.status = u32::from(*status);
            answer.content_type = content_type.to_string();
            answer.announced_bytes = body.len() as u64;
            answer.body = body.to_vec();
        }
        Reply::DuplicateKey => {
            answer.set_outcome(Outcome::Unknown);
            answer.status = DUPLICATE_KEY_STATUS;
        }
        Reply::Unknown => answer.set_outcome(Outcome::Unknown),
    }
    answer
}

/// Converts a frame to a reply; the outcome is unknown if the body is incomplete.
pub(crate) fn reply_from_frame(answer: RequestAnswer) -> Reply {
    match answer.outcome() {
        Outcome::NotRun => not_run(NotRunCause::Refused, u64::from(answer.retry_after_ms)),
        Outcome::Answered if answer.is_complete() => Reply::Answered {
            status: u16::try_from(answer.status).unwrap_or(502),
            content_type: answer.content_type.into(),
            body: answer.body.into(),
        },
        Outcome::Unknown if answer.status == DUPLICATE_KEY_STATUS => Reply::DuplicateKey,
        Outcome::Answered | Outcome::Unknown => Reply::Unknown,
    }
}

/// Converts the answer that is stored for an idempotency key.
pub(crate) fn stored_reply(answer: &RequestAnswer) -> Reply {
    match reply_from_frame(answer.clone()) {
        reply @ Reply::Answered { .. } => reply,
        _ => Reply::DuplicateKey,
    }
}
