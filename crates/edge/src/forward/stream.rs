//! Streamed answers, which another upstream may continue after a failure.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use http::HeaderValue;
use http_body::{Body, Frame};
use hyper::body::Incoming;
use span_http::{EventBoundary, Framing};
use span_types::{SoftwareVersion, UpstreamName};
use tokio::time::Sleep;
use tracing::info;

use super::{
    attempt::{self, Answer, Destination, Failure, RequestData},
    body::Interrupted,
    in_flight::{InFlightRequest, Settling},
    record::{Outcome, RequestRecord},
};
use crate::{
    metrics::Counter,
    node::Node,
    pool::{self, Connection},
    sse::{EventError, EventSplitter},
    stream_process::VERSION_CHECK_INTERVAL_MS,
    upstream_load::AttemptResult,
    wire_format::list_segments,
};

/// Longest time for which a broken stream waits for an upstream that can continue it, in
/// milliseconds. Callers give up on a stream that is silent for two seconds or more.
pub(super) const MAX_CONTINUE_WAIT_MS: u64 = 1_000;
/// Shortest time after which such a stream looks for an upstream again, in milliseconds.
pub(super) const MIN_CONTINUE_WAIT_MS: u64 = 20;

/// What a stream needs to continue at another upstream.
pub(crate) struct ResumeState {
    pub(crate) data: Rc<RequestData>,
    pub(crate) remaining_attempts: u32,
    pub(crate) tried: Vec<UpstreamName>,
    /// Whether the caller has got an event.
    pub(crate) has_begun: bool,
    /// When the upstream that sent the last bytes broke off.
    pub(crate) broken_ms: u64,
}

/// Why an upstream sends no more of a stream.
struct Broken {
    cause: String,
    /// What that says of the upstream.
    result: AttemptResult,
}

impl Broken {
    fn failed(cause: impl Into<String>) -> Self {
        Self { cause: cause.into(), result: AttemptResult::Failed }
    }
}

/// Events that the caller gets once others know where the stream began.
struct UnconfirmedEvents {
    events: Bytes,
    confirmed: LocalBoxFuture<'static, bool>,
}

type PendingAttempt = LocalBoxFuture<'static, Result<Answer, Failure>>;

/// Where the next bytes come from.
enum Source {
    Body {
        body: Incoming,
        connection: Connection,
        idle_timeout_ms: Option<u64>,
    },
    Resuming(PendingAttempt),
    /// The bytes follow once it is certain that the upstream has the stream's version.
    Verifying {
        verified: LocalBoxFuture<'static, bool>,
        body: Incoming,
        connection: Connection,
        idle_timeout_ms: Option<u64>,
    },
    /// No upstream that can continue the stream takes requests at the moment.
    Waiting {
        sleep: Pin<Box<Sleep>>,
        /// Why the stream broke off.
        cause: String,
    },
    /// The stream fails with this cause at the next poll.
    Failing(Interrupted),
    Ended,
}

/// An answer that is forwarded as it arrives.
///
/// Dropping it before its end closes the connection to the upstream, which makes
/// the upstream stop its work.
pub(crate) struct StreamBody {
    node: Rc<Node>,
    source: Source,
    in_flight: InFlightRequest,
    record: RequestRecord,
    /// Where the bytes of the current upstream stop, if they are events.
    boundary: Option<EventBoundary>,
    /// Present if the events continue a stream, or another upstream may continue them.
    splitter: Option<EventSplitter>,
    framing: Framing,
    deadline: Pin<Box<Sleep>>,
    /// Present if another upstream may continue the stream.
    resume: Option<ResumeState>,
    /// The first events, until it is known to others where the stream began.
    unconfirmed: Option<UnconfirmedEvents>,
    /// Time of the last event, or of the start of the answer.
    last_event_ms: u64,
}

impl StreamBody {
    pub(crate) fn new(
        node: &Rc<Node>,
        answer: Answer,
        in_flight: InFlightRequest,
        record: RequestRecord,
        deadline_ms: u64,
        (boundary, splitter): (Option<EventBoundary>, Option<EventSplitter>),
        resume: Option<ResumeState>,
    ) -> Self {
        let Answer { body, framing, connection, idle_timeout_ms, .. } = answer;
        let mut in_flight = in_flight;
        let source = if splitter.is_some() {
            source_on(&mut in_flight, body, connection, idle_timeout_ms)
        } else {
            Source::Body { body, connection, idle_timeout_ms }
        };
        let deadline = tokio::time::sleep_until(node.clock.instant(deadline_ms));
        Self {
            node: node.clone(),
            source,
            in_flight,
            record,
            boundary,
            splitter,
            framing,
            deadline: Box::pin(deadline),
            resume,
            unconfirmed: None,
            last_event_ms: node.now_ms(),
        }
    }

    /// Records the arrival of bytes and returns those to forward: all, or the
    /// complete events of a stream that is continued or may be.
    fn receive(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventError> {
        if let Some(boundary) = &mut self.boundary {
            boundary.push(&bytes);
        }
        let now_ms = self.node.now_ms();
        self.in_flight.answer_arrives(now_ms);
        let gap_ms = now_ms.saturating_sub(std::mem::replace(&mut self.last_event_ms, now_ms));
        self.record.longest_gap_ms = self.record.longest_gap_ms.max(Some(gap_ms));
        if let Some(upstream) = self.in_flight.upstream().filter(|_| gap_ms > 0) {
            self.node.record_event_gap(self.in_flight.service(), upstream, gap_ms);
        }
        let Some(splitter) = &mut self.splitter else {
            return Ok(Some(bytes));
        };
        let events = splitter.push(&bytes)?;
        if events.is_empty() {
            return Ok(None);
        }
        if let Some(resume) = &mut self.resume
            && splitter.has_passed_event()
            && !resume.has_begun
        {
            resume.has_begun = true;
            if let Some(origin) = self.in_flight.stream_began(&resume.data) {
                let streams = resume.data.stream_attempts(self.in_flight.attempt());
                let confirmation = self.in_flight.take_confirmation();
                self.node.stream_began(&streams, &origin, confirmation.is_some());
                // One that is taken up goes on where it began, whether that is known or not.
                let confirmation = confirmation.filter(|_| resume.data.last_event.is_none());
                if let Some(confirmation) = confirmation
                    && !self.node.is_confirmed(&confirmation)
                {
                    self.unconfirmed = Some(UnconfirmedEvents {
                        events,
                        confirmed: Box::pin(self.node.clone().await_confirmation(confirmation)),
                    });
                    return Ok(None);
                }
            }
        } else if let Some(resume) = &self.resume {
            self.in_flight.settle_version(&resume.data, false);
        }
        Ok(Some(events))
    }

    /// Checks that the stream of the current upstream is complete. An answer without an
    /// event does not show that it continues the stream.
    fn check_end(&self) -> Result<(), String> {
        if self.splitter.as_ref().is_some_and(EventSplitter::awaits_continuation) {
            return Err("the answer ends before an event that continues the stream".to_owned());
        }
        let checked = self.boundary.map_or(Ok(()), |boundary| boundary.check_end(self.framing));
        checked.map_err(|broken| broken.to_string())
    }

    fn ends_inside_event(&self) -> Option<bool> {
        self.boundary.as_ref().map(EventBoundary::is_inside_event)
    }

    /// Ends the stream after its last byte, which ends an event.
    fn finish(&mut self) {
        self.record.ended_inside_event = self.ends_inside_event();
        self.in_flight.stream_completed();
        let source = std::mem::replace(&mut self.source, Source::Ended);
        if let (Source::Body { connection, idle_timeout_ms, .. }, Some(upstream)) =
            (source, self.in_flight.upstream())
        {
            self.node.pool.keep(self.node.now_ms(), upstream, connection, idle_timeout_ms);
        }
        if (200..300).contains(&self.record.status) {
            self.in_flight.answer_succeeded(self.framing);
        }
        self.in_flight.end_attempt(AttemptResult::Good);
        self.record.outcome = Outcome::Answered;
        if let Some(resume) = &self.resume {
            let streams = resume.data.stream_attempts(self.in_flight.attempt());
            self.node.stream_ended(&streams);
        }
    }

    /// Ends the stream as interrupted. The error follows with the next poll: the
    /// server drops what it has not written yet when a body fails, and writes it when
    /// a body is pending.
    fn fail(&mut self, cx: &mut Context<'_>, result: AttemptResult, cause: String) {
        self.source = Source::Failing(Interrupted(cause.clone()));
        cx.waker().wake_by_ref();
        self.record.ended_inside_event = self.ends_inside_event();
        self.interrupt();
        self.in_flight.end_attempt(result);
        self.record.outcome = Outcome::Failed;
        self.record.reason = Some(cause);
    }

    fn interrupt(&mut self) {
        if let Some(resume) = &self.resume {
            self.in_flight.stream_interrupted(&resume.data);
        }
    }

    /// Continues the stream at another upstream after the current one broke off or
    /// refused. Returns false if that is not possible.
    fn try_resume(&mut self, broken: &Broken) -> bool {
        // Closes the connection: the upstream must not work on while another one
        // continues.
        let source = std::mem::replace(&mut self.source, Source::Ended);
        let inside_event = self.ends_inside_event();
        let now_ms = self.node.now_ms();
        let (Some(resume), Some(splitter)) = (&mut self.resume, &mut self.splitter) else {
            return false;
        };
        // Without an id, another upstream would repeat events.
        let last_event = splitter.last_id().map(HeaderValue::from_str).transpose();
        let Some(last_event) = last_event.ok().filter(|_| splitter.can_continue()) else {
            return false;
        };
        if now_ms >= resume.data.deadline_ms || self.node.answers_are_due() {
            return false;
        }
        if self.node.find_blocked_segment(&resume.data.shared_segments).is_some() {
            return false;
        }
        let last_upstream = self.in_flight.upstream().cloned();
        self.in_flight.end_attempt(broken.result);
        match source {
            Source::Waiting { .. } => {}
            // It is full for a moment and has not run the request.
            Source::Resuming(_) if broken.result == AttemptResult::Full => {
                resume.remaining_attempts += 1;
            }
            Source::Resuming(_) | Source::Verifying { .. } => {
                resume.tried.extend(last_upstream.clone());
            }
            Source::Body { .. } | Source::Failing(_) | Source::Ended => {
                resume.tried.extend(last_upstream.clone());
                resume.broken_ms = now_ms;
            }
        }
        match self.in_flight.settle_version(&resume.data, true) {
            Settling::Settled => {}
            Settling::Pending if now_ms < resume.broken_ms + MAX_CONTINUE_WAIT_MS => {
                self.node.entries_wanted.notify_one();
                let until = self.node.clock.instant(now_ms + VERSION_CHECK_INTERVAL_MS);
                let sleep = Box::pin(tokio::time::sleep_until(until));
                self.source = Source::Waiting { sleep, cause: broken.cause.clone() };
                return true;
            }
            Settling::Pending | Settling::Unknown => return false,
        }
        if resume.remaining_attempts == 0 {
            return false;
        }
        let Some(upstream) = self.in_flight.choose_next(&resume.data.work, &resume.tried) else {
            let wait_ms = self.in_flight.can_continue_in_ms(&resume.tried);
            let Some(wait_ms) = wait_ms.map(|wait_ms| wait_ms.max(MIN_CONTINUE_WAIT_MS)) else {
                return false;
            };
            if now_ms + wait_ms > resume.broken_ms + MAX_CONTINUE_WAIT_MS {
                return false;
            }
            let until = self.node.clock.instant(now_ms + wait_ms);
            let sleep = Box::pin(tokio::time::sleep_until(until));
            self.source = Source::Waiting { sleep, cause: broken.cause.clone() };
            return true;
        };
        if !self.node.try_retry(self.in_flight.service()) {
            // It got nothing, so the failure of the one before it is not its own.
            self.in_flight.end_attempt(AttemptResult::Unknown);
            return false;
        }
        resume.remaining_attempts -= 1;
        splitter.start_next_answer();
        if !resume.has_begun {
            self.in_flight.tell_origin(&resume.data);
        }
        let to_version = self.node.software_version(&upstream);
        info!(
            request = self.record.id,
            from = last_upstream.as_ref().map(UpstreamName::as_str),
            from_version = self.record.software_version.as_ref().map(SoftwareVersion::as_str),
            to = upstream.as_str(),
            to_version = to_version.as_ref().map(SoftwareVersion::as_str),
            last_event = splitter.last_id(),
            framing = <&'static str>::from(self.framing),
            inside_event,
            segments = list_segments(&resume.data.shared_segments),
            waited_ms = now_ms.saturating_sub(resume.broken_ms),
            cause = broken.cause,
            "stream resumes"
        );
        self.record.continued_at(&upstream);
        self.in_flight.prompt_sent(&resume.data.shared_segments);
        self.node.count(Counter::Resumed);
        let (node, data) = (self.node.clone(), resume.data.clone());
        let copy_source = self.in_flight.copy_source().cloned();
        self.source = Source::Resuming(Box::pin(async move {
            let until_ms = data.deadline_ms;
            let destination = Destination {
                upstream: &upstream,
                copy_source: copy_source.as_ref(),
                last_event: last_event.as_ref(),
                continues: true,
            };
            attempt::attempt(&node, &data, &destination, until_ms).await
        }));
        true
    }
}

impl StreamBody {
    pub(crate) fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        let is_open = !matches!(self.source, Source::Failing(_) | Source::Ended);
        if is_open && self.deadline.as_mut().poll(cx).is_ready() {
            let cause = "the stream did not end before the request's deadline".to_owned();
            self.fail(cx, AttemptResult::Unknown, cause);
            return Poll::Pending;
        }
        if let Some(UnconfirmedEvents { events, confirmed }) = &mut self.unconfirmed {
            let is_confirmed = ready!(confirmed.as_mut().poll(cx));
            let events = std::mem::take(events);
            self.unconfirmed = None;
            if is_confirmed {
                return Poll::Ready(Some(Ok(Frame::data(events))));
            }
            let cause = "others could not be told where the stream began".to_owned();
            self.fail(cx, AttemptResult::Unknown, cause);
            return Poll::Pending;
        }
        loop {
            let broken = match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Failing(error) => {
                    let error = error.clone();
                    self.source = Source::Ended;
                    return Poll::Ready(Some(Err(error)));
                }
                Source::Waiting { sleep, cause } => {
                    ready!(sleep.as_mut().poll(cx));
                    Broken { cause: std::mem::take(cause), result: AttemptResult::Unknown }
                }
                Source::Resuming(pending) => match ready!(pending.as_mut().poll(cx)) {
                    // Its text would be taken for events of the stream.
                    Ok(Answer { parts, .. }) if !parts.status.is_success() => {
                        Broken::failed(format!("the upstream answered {}", parts.status))
                    }
                    Ok(Answer { body, framing, connection, idle_timeout_ms, .. }) => {
                        self.in_flight.answer_begins();
                        self.record.framing = Some(framing);
                        self.framing = framing;
                        self.boundary = Some(EventBoundary::default());
                        self.source =
                            source_on(&mut self.in_flight, body, connection, idle_timeout_ms);
                        continue;
                    }
                    Err(failure @ Failure::NotRun(result)) => {
                        Broken { cause: describe(&failure), result }
                    }
                    Err(failure @ Failure::Withheld(_)) => {
                        Broken { cause: describe(&failure), result: AttemptResult::Unknown }
                    }
                    Err(failure) => {
                        if matches!(failure, Failure::Lost(_)) {
                            self.in_flight.connection_broke();
                        }
                        Broken::failed(describe(&failure))
                    }
                },
                Source::Verifying { verified, .. } => {
                    if ready!(verified.as_mut().poll(cx)) {
                        let source = std::mem::replace(&mut self.source, Source::Ended);
                        if let Source::Verifying { body, connection, idle_timeout_ms, .. } = source
                        {
                            self.source = Source::Body { body, connection, idle_timeout_ms };
                        }
                        continue;
                    }
                    let cause = "the upstream may have restarted with other software".to_owned();
                    Broken { cause, result: AttemptResult::Unknown }
                }
                Source::Body { body, .. } => match ready!(Pin::new(body).poll_frame(cx)) {
                    Some(Ok(frame)) => {
                        let Ok(bytes) = frame.into_data() else { continue };
                        match self.receive(bytes) {
                            Ok(Some(bytes)) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
                            Ok(None) if self.unconfirmed.is_some() => return self.poll_frame(cx),
                            Ok(None) => continue,
                            Err(error @ EventError::TooLarge) => {
                                self.fail(cx, AttemptResult::Unknown, error.to_string());
                                return Poll::Pending;
                            }
                            Err(error @ EventError::NotContinued { .. }) => {
                                Broken::failed(error.to_string())
                            }
                        }
                    }
                    None => match self.check_end() {
                        Ok(()) => {
                            self.finish();
                            return Poll::Ready(None);
                        }
                        Err(cause) => {
                            self.in_flight.connection_broke();
                            Broken::failed(cause)
                        }
                    },
                    Some(Err(error)) => {
                        self.in_flight.connection_broke();
                        Broken::failed(pool::cause(&error))
                    }
                },
            };
            if !self.try_resume(&broken) {
                self.fail(cx, broken.result, broken.cause);
                return Poll::Pending;
            }
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.interrupt();
    }
}

/// The source of a stream whose answer arrives on `connection`.
fn source_on(
    in_flight: &mut InFlightRequest,
    body: Incoming,
    connection: Connection,
    idle_timeout_ms: Option<u64>,
) -> Source {
    in_flight.stream_arrives_on(&connection);
    match in_flight.verify_version() {
        Some(verified) => Source::Verifying { verified, body, connection, idle_timeout_ms },
        None => Source::Body { body, connection, idle_timeout_ms },
    }
}

/// Describes a failure for logs.
pub(crate) fn describe(failure: &Failure) -> String {
    match failure {
        Failure::NotSent(cause) | Failure::Lost(cause) => cause.clone(),
        Failure::Withheld(cause) => (*cause).to_owned(),
        Failure::NotRun(result) => format!("the upstream refused the request: {result}"),
        Failure::Upstream(answer) => format!("the upstream answered {}", answer.parts.status),
        Failure::TimedOut => "the upstream did not answer within the time limit".to_owned(),
    }
}
