//! Proxies calls to plain services.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri,
    header::{AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST, TRAILER},
};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use span_http::{Body, BodyError, CheckedEvents, Framing, ResponseBody, states_event_stream};
use span_types::{
    OUTCOME_HEADER, Outcome, PLAIN_CALL_COST_UNITS, RequestId, ServiceKind, ServiceName,
};

use super::{
    Failure, Frontend,
    answer::{set_outcome_headers, set_request_id_header},
    attempts::send_with_retries,
    auth::Caller,
    body::{IdleTimeout, IdleTimeoutBody, RequestBody},
    chat::admit_request,
    config_index::ConfigIndex,
    headers::{clean_answer_headers, remove_hop_by_hop},
    idempotency::{self, Run},
    upstream::{SendError, UpstreamAttempt, UpstreamRequest},
};
use crate::control::AttemptResult;

/// Proxies one call to a plain service.
pub(super) async fn call(
    frontend: &Arc<Frontend>,
    index: &ConfigIndex,
    id: &RequestId,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (name, target) = split_target(request.uri())?;
    let service = index.document.services.get(&name);
    let service =
        service.filter(|service| service.kind == ServiceKind::Plain).ok_or_else(|| {
            let message = format!("no plain service has the name {name}");
            Failure::not_run(StatusCode::NOT_FOUND, "service_not_found", message)
        })?;
    caller.check_access(&name)?;
    let (parts, body) = request.into_parts();
    let limit_bytes = frontend.settings.limits.body_bytes;
    let idle_timeout_ms = frontend.settings.timeouts.body_ms;
    let body = RequestBody::receive(&parts.headers, body, limit_bytes, idle_timeout_ms).await?;
    let mut run = idempotency::begin(frontend, id, &caller, service, &parts.headers).await?;
    let mut admit = admit_request(&caller, &name, PLAIN_CALL_COST_UNITS, &parts.headers);
    let upstream_request = UpstreamRequest {
        method: parts.method,
        path_and_query: target,
        headers: upstream_headers(parts.headers),
        body,
        is_engine: false,
        is_streamed: true,
        silence_timeout_ms: frontend.settings.timeouts.answer_ms,
        answer_timeout_ms: frontend.settings.timeouts.answer_ms,
    };
    frontend.earn_retry();
    let (answer, mut attempt) =
        send_with_retries(frontend, &mut run, &mut admit, &upstream_request).await?;
    attempt.permit.add_cost(PLAIN_CALL_COST_UNITS);
    Ok(pass_through(answer, run, attempt, upstream_request.silence_timeout_ms))
}

/// Splits `/svc/<service>/<path>?<query>`.
fn split_target(uri: &Uri) -> Result<(ServiceName, String), Failure> {
    let rest = uri.path().strip_prefix("/svc/").unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Failure::not_run(StatusCode::NOT_FOUND, "no_such_path", "no service named"));
    }
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Ok((service.into(), format!("/{path}{query}")))
}

/// The headers that a service receives. The caller's key is not among them, since
/// it is meant for the router.
fn upstream_headers(mut headers: HeaderMap) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    for name in [AUTHORIZATION, HOST, EXPECT] {
        headers.remove(name);
    }
    headers
}

/// Streams an answer to the caller. An answer with a length has its outcome in a
/// header, since the caller notices missing bytes if it is interrupted. An answer
/// without a length, and every stream of events, has it in a trailer: whether a stream
/// is complete shows only at its end.
fn pass_through(
    answer: Response<ResponseBody>,
    run: Run,
    attempt: UpstreamAttempt,
    answer_timeout_ms: u64,
) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    let framing = Framing::of_response(&head.headers, &body);
    clean_answer_headers(&mut head.headers);
    let checks_events = !body.is_end_stream() && states_event_stream(&head.headers);
    if checks_events {
        head.headers.remove(CONTENT_LENGTH);
    }
    let has_length = body.is_end_stream() || head.headers.contains_key(CONTENT_LENGTH);
    let id = run.id.clone();
    let body = if checks_events {
        CheckedEvents::new(body, framing).boxed()
    } else {
        body.map_err(Into::into).boxed()
    };
    let body = IdleTimeoutBody::new(body, answer_timeout_ms);
    let mut pass_through_body = PassThroughBody { body, run, attempt, has_length, ended: false };
    if pass_through_body.body.is_end_stream() {
        pass_through_body.complete();
    }
    let mut response = Response::from_parts(head, Body::new(pass_through_body));
    if has_length {
        set_outcome_headers(&mut response, &id, Outcome::Completed);
    } else {
        set_request_id_header(&mut response, &id);
        response.headers_mut().append(TRAILER, HeaderValue::from_static(OUTCOME_HEADER));
    }
    response
}

struct PassThroughBody {
    body: IdleTimeoutBody,
    run: Run,
    attempt: UpstreamAttempt,
    has_length: bool,
    ended: bool,
}

impl PassThroughBody {
    fn complete(&mut self) {
        self.ended = true;
        self.attempt.end(AttemptResult::Answered);
        self.run.end(Outcome::Completed);
    }

    /// Ends the run as failed. The body error then closes the connection to the
    /// caller, so that it cannot take the incomplete answer for a complete one.
    fn fail(&mut self, error: &BodyError) {
        self.ended = true;
        let error =
            if error.is::<IdleTimeout>() { SendError::Silent } else { SendError::Interrupted };
        self.attempt.fail(error);
        self.run.end(Outcome::Unknown);
    }

    fn outcome_trailer(&self, mut trailers: HeaderMap) -> HeaderMap {
        let outcome = HeaderValue::from_static(Outcome::Completed.into());
        trailers.insert(HeaderName::from_static(OUTCOME_HEADER), outcome);
        trailers
    }
}

impl http_body::Body for PassThroughBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            return Poll::Pending;
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                self.fail(&error);
                return Poll::Ready(Some(Err(error)));
            }
            None => {
                self.complete();
                let trailers = (!self.has_length).then(|| self.outcome_trailer(HeaderMap::new()));
                return Poll::Ready(trailers.map(|trailers| Ok(Frame::trailers(trailers))));
            }
        };
        let frame = match frame.into_trailers() {
            Ok(trailers) => {
                self.complete();
                Frame::trailers(self.outcome_trailer(trailers))
            }
            Err(frame) => {
                // The server stops polling once it has all bytes of the length.
                if self.has_length && self.body.is_end_stream() {
                    self.complete();
                }
                frame
            }
        };
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
