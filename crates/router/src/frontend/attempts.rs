//! Sends a request to an upstream, and retries it at others where that is safe.

use std::{sync::Arc, time::Duration};

use http::{Response, StatusCode, header::CONTENT_TYPE};
use span_http::ResponseBody;
use span_once::{Backoff, Delivery, FailedAttempt, RetryDecision, decide_retry};
use tokio::time::Instant;
use tracing::Instrument;

use super::{
    Failure, Frontend,
    idempotency::Run,
    upstream::{SendError, UpstreamAttempt, UpstreamRequest, attempt_failure, discard_answer},
};
use crate::control::{AdmitRequest, AttemptResult};

/// Consecutive resumptions without progress after which an answer is lost.
pub(super) const MAX_FAILED_RESUMES: u32 = 4;

/// Sends the request until an upstream answers. Each upstream tried is added to
/// `admit.avoid`.
pub(super) async fn send_with_retries(
    frontend: &Arc<Frontend>,
    run: &mut Run,
    admit: &mut AdmitRequest,
    upstream_request: &UpstreamRequest,
) -> Result<(Response<ResponseBody>, UpstreamAttempt), Failure> {
    let mut retries = 0;
    let mut last_failure: Option<Failure> = None;
    loop {
        let span = tracing::info_span!(target: crate::trace::REQUEST_SPAN_TARGET, "queue");
        let permit = frontend.admit(admit.clone()).instrument(span).await;
        let mut permit =
            permit.map_err(|rejection| last_failure.clone().unwrap_or(rejection.into()))?;
        if let Some(failure) = last_failure.filter(|_| admit.avoid.contains(&permit.upstream)) {
            // No other upstream is available.
            permit.set_result(AttemptResult::Abandoned);
            return Err(failure);
        }
        admit.avoid.push(permit.upstream.clone());
        let mut attempt =
            UpstreamAttempt::new(frontend, &run.id, permit, upstream_request.is_engine);
        let sent_before = run.set_sent(true);
        let error = match send_attempt(frontend, run, upstream_request, &attempt).await {
            Ok(answer) => {
                attempt.answer_begins(&answer);
                return Ok((answer, attempt));
            }
            Err(error) => error,
        };
        if error == SendError::NotConnected {
            run.set_sent(sent_before);
        } else {
            run.unanswered_attempts += 1;
        }
        if let Some(caller_failure) = upstream_request.body.caller_failure() {
            attempt.end(AttemptResult::Abandoned);
            return Err(caller_failure);
        }
        attempt.fail(error);
        drop(attempt);
        last_failure = Some(retry_or_fail(frontend, run, upstream_request, error, sent_before)?);
        frontend.back_off(retries).await;
        retries += 1;
    }
}

/// Decides whether to retry after a failed attempt. `Ok` is the failure to report
/// if no other upstream is available; `Err` ends the request.
fn retry_or_fail(
    frontend: &Frontend,
    run: &Run,
    upstream_request: &UpstreamRequest,
    error: SendError,
    sent_before: bool,
) -> Result<Failure, Failure> {
    let delivery =
        if error == SendError::NotConnected { Delivery::NotSent } else { Delivery::MaybeSent };
    let decision = decide_retry(FailedAttempt {
        delivery,
        maybe_sent_before: sent_before,
        unanswered_attempts: run.unanswered_attempts,
        idempotent: run.idempotent,
        response_started: false,
        replayable: upstream_request.body.replayable(),
    });
    match decision {
        RetryDecision::Retry(outcome) if frontend.spend_retry() => {
            Ok(attempt_failure(error, outcome))
        }
        RetryDecision::Retry(outcome) | RetryDecision::End(outcome) => {
            Err(attempt_failure(error, outcome))
        }
    }
}

async fn send_attempt(
    frontend: &Arc<Frontend>,
    run: &Run,
    upstream_request: &UpstreamRequest,
    attempt: &UpstreamAttempt,
) -> Result<Response<ResponseBody>, SendError> {
    // After an error on a pooled connection it is unknown whether the request
    // ran, so only idempotent requests use one. A pooled connection may also no
    // longer deliver bytes. For an engine this costs a short silence, after which
    // the answer is resumed on a new connection. Plain calls use no pooled
    // connection: they may take long, so the silence limit is long too, and one
    // sent on such a connection waited for 120 s.
    let pooled = run.idempotent && upstream_request.is_engine;
    let client = if pooled { &frontend.pooled_client } else { &frontend.unpooled_client };
    let sent = upstream_request.send(client, attempt, None).instrument(attempt.span.clone()).await;
    match sent {
        Err(error) if upstream_request.is_engine && error != SendError::NotConnected => {
            resume(frontend, upstream_request, attempt, 0, error).await
        }
        Ok(answer) if pooled && !attempt.is_named_by(&answer) => {
            if answer.status().is_success() {
                return Ok(keep_content_type(upstream_request, answer));
            }
            discard_answer(answer);
            verify_error(frontend, upstream_request, attempt).await
        }
        sent => sent,
    }
}

/// Removes the headers of a streamed answer but its content type. The head is passed on
/// before a chunk shows which request it belongs to.
fn keep_content_type(
    upstream_request: &UpstreamRequest,
    mut answer: Response<ResponseBody>,
) -> Response<ResponseBody> {
    if upstream_request.is_streamed {
        let content_type = answer.headers_mut().remove(CONTENT_TYPE);
        answer.headers_mut().clear();
        answer.headers_mut().extend(content_type.map(|value| (CONTENT_TYPE, value)));
    }
    answer
}

/// Asks an engine again, on new connections, after an error on a pooled connection that
/// does not name the request. The error may be a late copy of the answer to an earlier
/// request on that connection, while the engine runs this one. Only if the engine does
/// not know the request is it sent once more.
async fn verify_error(
    frontend: &Arc<Frontend>,
    upstream_request: &UpstreamRequest,
    attempt: &UpstreamAttempt,
) -> Result<Response<ResponseBody>, SendError> {
    match resume(frontend, upstream_request, attempt, 0, SendError::Interrupted).await {
        Err(SendError::AnswerLost) => {}
        resumed => return resumed,
    }
    match upstream_request.send(&frontend.unpooled_client, attempt, None).await {
        // The engine has meanwhile read the request from the first connection.
        Ok(answer) if answer.status() == StatusCode::CONFLICT => {
            resume(frontend, upstream_request, attempt, 0, SendError::Interrupted).await
        }
        // The first connection has delivered the request.
        Err(SendError::NotConnected) => Err(SendError::Interrupted),
        sent => sent,
    }
}

/// Resumes an answer that the engine has begun, on a new connection and from
/// chunk `offset`. It never runs the request again.
pub(super) async fn resume(
    frontend: &Arc<Frontend>,
    upstream_request: &UpstreamRequest,
    attempt: &UpstreamAttempt,
    offset: u64,
    cause: SendError,
) -> Result<Response<ResponseBody>, SendError> {
    let deadline = Instant::now() + Duration::from_millis(upstream_request.answer_timeout_ms);
    let mut last_error = cause;
    let mut failed_resumes = 0;
    while failed_resumes < MAX_FAILED_RESUMES && Instant::now() < deadline {
        frontend.back_off(failed_resumes).await;
        match upstream_request.send(&frontend.unpooled_client, attempt, Some(offset)).await {
            Ok(answer) => return Ok(answer),
            Err(error @ (SendError::AnswerLost | SendError::NotResumed)) => return Err(error),
            // The engine may still be generating an answer that is not streamed.
            Err(SendError::Silent) if !upstream_request.is_streamed => {
                last_error = SendError::Silent
            }
            // The first connection may have delivered the request, although
            // this one was refused.
            Err(SendError::NotConnected) => {
                (last_error, failed_resumes) = (SendError::Interrupted, failed_resumes + 1)
            }
            Err(error) => (last_error, failed_resumes) = (error, failed_resumes + 1),
        }
    }
    Err(last_error)
}

impl Frontend {
    /// Counts a request, which adds a fraction of a retry to the budget.
    pub(super) fn earn_retry(&self) {
        self.retry_budget.lock().unwrap_or_else(std::sync::PoisonError::into_inner).deposit();
    }

    /// Takes one retry from the budget; false if none is left.
    pub(super) fn spend_retry(&self) -> bool {
        self.retry_budget.lock().unwrap_or_else(std::sync::PoisonError::into_inner).try_withdraw()
    }

    /// Waits before retry number `retry`, counted from 0.
    pub(super) async fn back_off(&self, retry: u32) {
        let delay_ms = {
            let mut rng = self.rng.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            Backoff::default().delay_ms(retry, &mut *rng)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
