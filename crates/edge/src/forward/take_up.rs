//! Requests that take up a stream of an earlier one.

use std::{collections::BTreeSet, rc::Rc};

use http::request;
use span_types::{ServiceName, SoftwareVersion};
use tokio::time::sleep_until;
use tracing::info;

use super::{
    CheckedRequest, DEFAULT_RETRY_AFTER_MS, ErrorReply, record::RequestRecord,
    stream::MIN_CONTINUE_WAIT_MS,
};
use crate::{
    config::RouteKind,
    node::Node,
    origin_inquiry::{OriginVerdict, RecordSearch},
    origin_search::OriginFinding,
    stream_origin::{AttemptOrigin, RequestKey, RouteScope, StreamOrigin},
};

/// A stream that a request takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TakenUpStream {
    /// The request that began it; none if the caller does not name it.
    pub(super) request: Option<RequestKey>,
}

/// The stream that a request takes up, if it does.
pub(super) fn taken_up_stream(
    node: &Node,
    parts: &request::Parts,
    kind: RouteKind,
) -> Option<TakenUpStream> {
    let names = &node.wire_format.headers;
    let resumed = parts.headers.get(&names.resumed_request_id);
    let takes_up = resumed.is_some() || parts.headers.contains_key(&names.last_event_id);
    let request = resumed.map(|id| RequestKey::new(id.as_bytes()));
    (kind.is_stream() && takes_up).then_some(TakenUpStream { request })
}

/// Finds out where a stream can go on that its caller takes up.
///
/// # Errors
///
/// That is not known, or the configuration does not allow it. The stream cannot go on
/// then, so the caller is told at once.
pub(super) async fn find_origin(
    node: &Rc<Node>,
    stream: TakenUpStream,
    checked: &CheckedRequest,
    record: &RequestRecord,
) -> Result<AttemptOrigin, ErrorReply> {
    let started_ms = node.now_ms();
    let services = checked.route.services().cloned().collect();
    let scope = RouteScope { route: checked.route.id(), services };
    // Nobody knows the request's own id, as they do not know a stream without a name.
    let request = stream.request.unwrap_or_else(|| RequestKey::new(checked.id.as_bytes()));
    let finding = node.find_stream_origin(request, stream.request.is_some(), &scope).await;
    let OriginFinding { verdict, candidates, untold, knows_history, search, witnesses } = &finding;
    let (start, source) = match verdict {
        OriginVerdict::Found(start, source) => (Some(start), Some(<&'static str>::from(source))),
        OriginVerdict::Unknown | OriginVerdict::Contradictory => (None, None),
    };
    let origin = start.map(|start| &start.origin);
    info!(
        request = record.id,
        takes_up = record.takes_up,
        service = origin.map(|origin| origin.service.as_str()),
        software_version =
            origin.and_then(StreamOrigin::known_version).map(SoftwareVersion::as_str),
        attempt = start.map(|start| start.attempt),
        source,
        candidates = list_versions(candidates),
        untold = list_versions(untold),
        witnesses,
        knows_history,
        records = <&'static str>::from(search),
        contradictory = *verdict == OriginVerdict::Contradictory,
        uptime_ms = started_ms,
        waited_ms = node.now_ms().saturating_sub(started_ms),
        "stream is taken up"
    );
    let refuse = |message| Err(ErrorReply::not_run(message, DEFAULT_RETRY_AFTER_MS));
    match start {
        None if matches!(search, RecordSearch::Failed | RecordSearch::Pending) => refuse(
            "the store cannot be asked at the moment where the stream began; the request did not \
             run",
        ),
        None => refuse("it is not known where the stream began; the request did not run"),
        Some(start) if !scope.services.contains(&start.origin.service) => {
            refuse("the route no longer leads to the stream's service; the request did not run")
        }
        Some(start) if start.origin.known_version().is_none() => {
            refuse("it is not known yet at which version the stream began; the request did not run")
        }
        Some(start) => Ok(start.clone()),
    }
}

/// Formats where streams may have begun for a log line.
fn list_versions(candidates: &BTreeSet<StreamOrigin>) -> String {
    let texts = candidates
        .iter()
        .map(|StreamOrigin { service, software_version }| format!("{service} {software_version}"));
    texts.collect::<Vec<_>>().join(", ")
}

/// Waits until an upstream can continue a stream of `version`, at most until `until_ms`.
/// Does not wait if there is no such upstream.
pub(super) async fn await_upstream(
    node: &Rc<Node>,
    service: &ServiceName,
    version: &SoftwareVersion,
    until_ms: u64,
) {
    while let Some(wait_ms) = node.can_continue_in_ms(service, version, &[]) {
        let next_ms = node.now_ms() + wait_ms.max(MIN_CONTINUE_WAIT_MS);
        if wait_ms == 0 || next_ms > until_ms {
            return;
        }
        sleep_until(node.clock.instant(next_ms)).await;
    }
}
