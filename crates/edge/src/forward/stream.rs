//! Event streams on their way to callers.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use http_body::{Body, Frame};
use hyper::body::Incoming;
use span_types::UpstreamName;
use tokio::time::Sleep;
use tracing::info;

use super::{
    attempt::{self, Answer, Call, Failure, To},
    body::BrokenOff,
    flight::Flight,
    record::{Outcome, Record},
};
use crate::{
    metrics::Counter, node::Node, pool::Connection, sse::EventSplitter,
    upstream_load::AttemptResult,
};

/// What a stream needs to go on at another upstream.
pub(crate) struct Resume {
    pub(crate) call: Rc<Call>,
    pub(crate) attempts_left: u32,
    pub(crate) tried: Vec<UpstreamName>,
    pub(crate) splitter: EventSplitter,
}

type NextAttempt = LocalBoxFuture<'static, Result<Answer, Failure>>;

enum Source {
    Body { body: Incoming, connection: Connection, idle_ms: Option<u64> },
    Resuming(NextAttempt),
    Ended,
}

/// An answer that is passed on as it comes.
///
/// Dropping it before its end closes the connection to the upstream, which
/// makes the upstream stop.
pub(crate) struct StreamBody {
    node: Rc<Node>,
    source: Source,
    flight: Flight,
    record: Record,
    deadline: Pin<Box<Sleep>>,
    resume: Option<Resume>,
    /// Time of the last event.
    event_ms: u64,
}

impl StreamBody {
    pub(crate) fn new(
        node: &Rc<Node>,
        answer: Answer,
        flight: Flight,
        record: Record,
        deadline_ms: u64,
        resume: Option<Resume>,
    ) -> Self {
        let Answer { body, connection, idle_ms, .. } = answer;
        let deadline = tokio::time::sleep_until(node.clock.instant(deadline_ms));
        Self {
            node: node.clone(),
            source: Source::Body { body, connection, idle_ms },
            flight,
            record,
            deadline: Box::pin(deadline),
            resume,
            event_ms: node.now_ms(),
        }
    }

    fn data(&mut self, bytes: Bytes) -> Result<Option<Bytes>, BrokenOff> {
        let now_ms = self.node.now_ms();
        let pause_ms = now_ms.saturating_sub(std::mem::replace(&mut self.event_ms, now_ms));
        self.record.longest_pause_ms = self.record.longest_pause_ms.max(Some(pause_ms));
        if let Some(upstream) = self.flight.upstream().filter(|_| pause_ms > 0) {
            self.node.event(self.flight.service(), upstream, pause_ms);
        }
        let Some(resume) = &mut self.resume else {
            return Ok(Some(bytes));
        };
        let whole = resume.splitter.push(&bytes).map_err(|error| BrokenOff(error.to_string()))?;
        Ok((!whole.is_empty()).then_some(whole))
    }

    fn end(&mut self) -> Option<Bytes> {
        let source = std::mem::replace(&mut self.source, Source::Ended);
        if let (Source::Body { connection, idle_ms, .. }, Some(upstream)) =
            (source, self.flight.upstream())
        {
            self.node.pool.keep(self.node.now_ms(), upstream, connection, idle_ms);
        }
        self.flight.judge(AttemptResult::Good);
        self.record.outcome = Outcome::Answered;
        let rest = self.resume.as_mut().map(|resume| resume.splitter.take_partial());
        rest.filter(|rest| !rest.is_empty())
    }

    fn fail(&mut self, result: AttemptResult, cause: String) -> BrokenOff {
        self.source = Source::Ended;
        self.flight.judge(result);
        self.record.outcome = Outcome::Failed;
        self.record.reason = Some(cause.clone());
        BrokenOff(cause)
    }

    /// Goes on at another upstream after the present one failed.
    fn go_on(&mut self, cause: &str) -> bool {
        // The upstream must not work on while another one continues.
        self.source = Source::Ended;
        let Some(resume) = &mut self.resume else {
            return false;
        };
        if resume.attempts_left == 0 || self.node.now_ms() >= resume.call.deadline_ms {
            return false;
        }
        let failed = self.flight.upstream().cloned();
        self.flight.judge(AttemptResult::Failed);
        resume.tried.extend(failed.clone());
        if !self.node.may_repeat(self.flight.service()) {
            return false;
        }
        let Some(upstream) = self.flight.move_on(&resume.call.work, &resume.tried) else {
            return false;
        };
        resume.attempts_left -= 1;
        resume.splitter.take_partial();
        let last_event = resume.splitter.last_id().map(str::to_owned);
        info!(
            request = self.record.id,
            from = failed.as_ref().map(UpstreamName::as_str),
            to = upstream.as_str(),
            last_event,
            cause,
            "stream resumes"
        );
        self.record.attempts += 1;
        self.record.upstream = Some(upstream.to_string());
        self.node.count(Counter::Resumed);
        let (node, call) = (self.node.clone(), resume.call.clone());
        let holder = self.flight.holder().cloned();
        self.source = Source::Resuming(Box::pin(async move {
            let until_ms = call.deadline_ms;
            let last_event = last_event.as_deref();
            let to = To { upstream: &upstream, holder: holder.as_ref(), last_event };
            attempt::attempt(&node, &call, &to, until_ms).await
        }));
        true
    }
}

impl StreamBody {
    pub(crate) fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if self.deadline.as_mut().poll(cx).is_ready() && !matches!(self.source, Source::Ended) {
            let cause = "the time for the request is over".to_owned();
            return Poll::Ready(Some(Err(self.fail(AttemptResult::Unknown, cause))));
        }
        loop {
            match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Resuming(next) => match ready!(next.as_mut().poll(cx)) {
                    Ok(Answer { body, connection, idle_ms, .. }) => {
                        self.source = Source::Body { body, connection, idle_ms };
                    }
                    Err(failure) => {
                        let cause = describe(&failure);
                        if !self.go_on(&cause) {
                            return Poll::Ready(Some(Err(self.fail(AttemptResult::Failed, cause))));
                        }
                    }
                },
                Source::Body { body, .. } => match ready!(Pin::new(body).poll_frame(cx)) {
                    Some(Ok(frame)) => {
                        let Ok(bytes) = frame.into_data() else { continue };
                        match self.data(bytes) {
                            Ok(Some(bytes)) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
                            Ok(None) => {}
                            Err(BrokenOff(cause)) => {
                                return Poll::Ready(Some(Err(
                                    self.fail(AttemptResult::Unknown, cause)
                                )));
                            }
                        }
                    }
                    None => return Poll::Ready(self.end().map(|rest| Ok(Frame::data(rest)))),
                    Some(Err(error)) => {
                        let cause = error.to_string();
                        if !self.go_on(&cause) {
                            return Poll::Ready(Some(Err(self.fail(AttemptResult::Failed, cause))));
                        }
                    }
                },
            }
        }
    }
}

/// What went wrong, for logs.
pub(crate) fn describe(failure: &Failure) -> String {
    match failure {
        Failure::NotSent(cause) | Failure::Lost(cause) => cause.clone(),
        Failure::NotRun(result) => format!("the upstream refused the request: {result}"),
        Failure::Upstream(answer) => format!("the upstream answered {}", answer.parts.status),
        Failure::TimedOut => "the time for the answer is over".to_owned(),
    }
}
