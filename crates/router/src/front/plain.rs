//! Calls to plain services, passed through in both directions.

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
use span_http::{Body, BodyError};
use span_types::{
    OUTCOME_HEADER, Outcome, PLAIN_CALL_COST_UNITS, RequestId, ServiceKind, ServiceName,
};

use super::{
    Failure, Front,
    answer::{stamp, stamp_id},
    auth::Caller,
    body::{Paced, Silence, Source},
    chat::admit,
    dispatch::dispatch,
    headers::remove_hop_by_hop,
    index::Index,
    once::{self, Run},
    upstream::{Live, Outgoing, SendError},
};
use crate::control::AttemptResult;

/// Runs one call of a plain service.
pub(super) async fn call(
    front: &Arc<Front>,
    index: &Index,
    id: &RequestId,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (name, target) = target(request.uri())?;
    let service = index.document.services.get(&name);
    let service =
        service.filter(|service| service.kind == ServiceKind::Plain).ok_or_else(|| {
            let message = format!("no plain service has the name {name}");
            Failure::not_run(StatusCode::NOT_FOUND, "service_not_found", message)
        })?;
    caller.may_reach(&name)?;
    let (parts, body) = request.into_parts();
    let limit_bytes = front.settings.limits.body_bytes;
    let pace_ms = front.settings.timeouts.body_ms;
    let body = Source::take(&parts.headers, body, limit_bytes, pace_ms).await?;
    let mut run = once::begin(front, id, &caller, service, &parts.headers).await?;
    let mut admit = admit(&caller, &name, PLAIN_CALL_COST_UNITS, &parts.headers);
    let outgoing = Outgoing {
        method: parts.method,
        target,
        headers: passed(parts.headers),
        body,
        engine: false,
        streamed: true,
        silence_ms: front.settings.timeouts.answer_ms,
        answer_ms: front.settings.timeouts.answer_ms,
    };
    front.earn_retry();
    let (answer, mut live) = dispatch(front, &mut run, &mut admit, &outgoing).await?;
    live.permit.add_cost(PLAIN_CALL_COST_UNITS);
    Ok(pass_on(answer, run, live, outgoing.silence_ms))
}

/// Splits `/svc/<service>/<path>?<query>`.
fn target(uri: &Uri) -> Result<(ServiceName, String), Failure> {
    let rest = uri.path().strip_prefix("/svc/").unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(Failure::not_run(StatusCode::NOT_FOUND, "no_such_path", "no service named"));
    }
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Ok((service.into(), format!("/{path}{query}")))
}

/// The headers that a service receives. The caller's key is for the router.
fn passed(mut headers: HeaderMap) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    for name in [AUTHORIZATION, HOST, EXPECT] {
        headers.remove(name);
    }
    headers
}

/// An answer with a length states its outcome in the header: if it breaks off,
/// the caller sees that bytes are missing. One without states it in a trailer.
fn pass_on(answer: Response<Incoming>, run: Run, live: Live, answer_ms: u64) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    remove_hop_by_hop(&mut head.headers);
    let sized = body.is_end_stream() || head.headers.contains_key(CONTENT_LENGTH);
    let id = run.id.clone();
    let body = Paced::new(body.map_err(Into::into).boxed(), answer_ms);
    let mut passing = Passing { body, run, live, sized, ended: false };
    if passing.body.is_end_stream() {
        passing.complete();
    }
    let mut response = Response::from_parts(head, Body::new(passing));
    if sized {
        stamp(&mut response, &id, Outcome::Completed);
    } else {
        stamp_id(&mut response, &id);
        response.headers_mut().append(TRAILER, HeaderValue::from_static(OUTCOME_HEADER));
    }
    response
}

struct Passing {
    body: Paced,
    run: Run,
    live: Live,
    sized: bool,
    ended: bool,
}

impl Passing {
    fn complete(&mut self) {
        self.ended = true;
        self.live.end(AttemptResult::Answered);
        self.run.end(Outcome::Completed);
    }

    /// The connection to the caller is broken off, so that the part of the
    /// answer it has cannot be taken for the whole.
    fn fail(&mut self, error: &BodyError) {
        self.ended = true;
        let error = if error.is::<Silence>() { SendError::Silent } else { SendError::Broken };
        self.live.fail(error);
        self.run.end(Outcome::Unknown);
    }

    fn outcome_trailer(&self, mut trailers: HeaderMap) -> HeaderMap {
        let outcome = HeaderValue::from_static(Outcome::Completed.into());
        trailers.insert(HeaderName::from_static(OUTCOME_HEADER), outcome);
        trailers
    }
}

impl http_body::Body for Passing {
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
                let trailers = (!self.sized).then(|| self.outcome_trailer(HeaderMap::new()));
                return Poll::Ready(trailers.map(|trailers| Ok(Frame::trailers(trailers))));
            }
        };
        let frame = match frame.into_trailers() {
            Ok(trailers) => {
                self.complete();
                Frame::trailers(self.outcome_trailer(trailers))
            }
            Err(frame) => {
                // The server stops polling once it has all bytes of a length.
                if self.sized && self.body.is_end_stream() {
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
