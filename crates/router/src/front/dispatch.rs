//! Brings a request to an upstream, and to another one where that is safe.

use std::{sync::Arc, time::Duration};

use http::Response;
use hyper::body::Incoming;
use span_once::{Backoff, Delivery, FailedAttempt, RetryDecision, decide_retry};
use tokio::time::Instant;
use tracing::Instrument;

use super::{
    Failure, Front,
    once::Run,
    upstream::{Live, Outgoing, SendError, failure},
};
use crate::control::{AdmitRequest, AttemptResult};

/// Resumptions tried in a row without a byte of progress.
pub(super) const MAX_RESUMES: u32 = 4;

/// Sends the request until an upstream answers. Upstreams that fail are added to
/// those that `admit` avoids.
pub(super) async fn dispatch(
    front: &Arc<Front>,
    run: &mut Run,
    admit: &mut AdmitRequest,
    outgoing: &Outgoing,
) -> Result<(Response<Incoming>, Live), Failure> {
    let mut attempt = 0;
    let mut last: Option<Failure> = None;
    loop {
        let span = tracing::info_span!(target: crate::trace::SPAN_TARGET, "queue");
        let permit = front.control.admit(admit.clone()).instrument(span).await;
        let mut permit = permit.map_err(|rejection| last.clone().unwrap_or(rejection.into()))?;
        if let Some(failure) = last.filter(|_| admit.avoid.contains(&permit.upstream)) {
            // There is no other upstream to go to.
            permit.set_result(AttemptResult::Abandoned);
            return Err(failure);
        }
        admit.avoid.push(permit.upstream.clone());
        let mut live = Live::new(front, &run.id, permit, outgoing.engine);
        let sent_before = std::mem::replace(&mut run.sent, true);
        let error = match send(front, run, outgoing, &live).await {
            Ok(answer) => return Ok((answer, live)),
            Err(error) => error,
        };
        if error == SendError::Refused {
            run.sent = sent_before;
        }
        if let Some(fault) = outgoing.body.fault() {
            live.end(AttemptResult::Abandoned);
            return Err(fault);
        }
        live.fail(error);
        drop(live);
        last = Some(after(front, run, outgoing, error, sent_before)?);
        front.back_off(attempt).await;
        attempt += 1;
    }
}

/// The failure to report if no other upstream is found; an error ends the
/// request now.
fn after(
    front: &Front,
    run: &Run,
    outgoing: &Outgoing,
    error: SendError,
    sent_before: bool,
) -> Result<Failure, Failure> {
    let delivery =
        if error == SendError::Refused { Delivery::NotSent } else { Delivery::MaybeSent };
    let decision = decide_retry(FailedAttempt {
        delivery,
        maybe_sent_before: sent_before,
        idempotent: run.idempotent,
        response_started: false,
        replayable: outgoing.body.replayable(),
    });
    match decision {
        RetryDecision::Retry(outcome) if front.spend_retry() => Ok(failure(error, outcome)),
        RetryDecision::Retry(outcome) | RetryDecision::End(outcome) => Err(failure(error, outcome)),
    }
}

async fn send(
    front: &Arc<Front>,
    run: &Run,
    outgoing: &Outgoing,
    live: &Live,
) -> Result<Response<Incoming>, SendError> {
    // An error on a pooled connection leaves open whether the request ran. A
    // pooled connection may also have gone silent: an engine's answer is resumed
    // elsewhere after a short silence, but a plain call may take long, so one
    // that was sent on such a connection waited for 120 s.
    let pooled = run.idempotent && outgoing.engine;
    let client = if pooled { &front.client } else { &front.fresh };
    let sent = outgoing.send(client, live, None).instrument(live.span.clone()).await;
    match sent {
        Err(error) if outgoing.engine && error != SendError::Refused => {
            resume(front, outgoing, live, 0, error).await
        }
        sent => sent,
    }
}

/// Attaches to an answer that the engine has begun, on a new connection and
/// from chunk `offset`. It never starts the request again.
pub(super) async fn resume(
    front: &Arc<Front>,
    outgoing: &Outgoing,
    live: &Live,
    offset: u64,
    cause: SendError,
) -> Result<Response<Incoming>, SendError> {
    let deadline = Instant::now() + Duration::from_millis(outgoing.answer_ms);
    let mut last = cause;
    let mut failed = 0;
    while failed < MAX_RESUMES && Instant::now() < deadline {
        front.back_off(failed).await;
        match outgoing.send(&front.fresh, live, Some(offset)).await {
            Ok(answer) => return Ok(answer),
            Err(SendError::Gone) => return Err(SendError::Gone),
            // The engine may still be working on a whole answer.
            Err(SendError::Silent) if !outgoing.streamed => last = SendError::Silent,
            // A connection that was refused here does not mean that the first
            // one carried nothing.
            Err(SendError::Refused) => (last, failed) = (SendError::Broken, failed + 1),
            Err(error) => (last, failed) = (error, failed + 1),
        }
    }
    Err(last)
}

impl Front {
    /// Counts a request, which earns a part of a retry.
    pub(super) fn earn_retry(&self) {
        self.budget.lock().unwrap_or_else(std::sync::PoisonError::into_inner).deposit();
    }

    /// Takes one retry; false if none is left.
    pub(super) fn spend_retry(&self) -> bool {
        self.budget.lock().unwrap_or_else(std::sync::PoisonError::into_inner).try_withdraw()
    }

    /// Waits before retry number `attempt`, from 0.
    pub(super) async fn back_off(&self, attempt: u32) {
        let delay_ms = {
            let mut rng = self.rng.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            Backoff::default().delay_ms(attempt, &mut *rng)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
