//! Streams whose upstream may have restarted before their connection was opened.

use std::{rc::Rc, time::Duration};

use span_types::{ServiceName, SoftwareVersion, UpstreamName};
use tokio::{task::spawn_local, time::sleep};
use tracing::info;

use crate::{
    forward::RequestData,
    metrics::Counter,
    node::Node,
    registry::is_new_process,
    stream_origin::{StreamAttempt, StreamOrigin},
    upstream_process::{ConnectedProcess, ProcessVersion},
};

/// Interval between two looks at whether the version of a process is certain, in milliseconds.
pub(crate) const VERSION_CHECK_INTERVAL_MS: u64 = 40;
/// Longest time for which a process's version is awaited before a stream goes on there, in
/// milliseconds. Callers give up on a stream that is silent for two seconds or more.
const MAX_VERSION_WAIT_MS: u64 = 1_000;
/// Time for which the version is awaited at which an interrupted stream began, in milliseconds:
/// that within which processes write their entries after an outage of the store, and some calls.
const MAX_SETTLE_MS: u64 = 4_000;

/// The process that sends the events of a stream.
#[derive(Clone, Debug)]
pub(crate) struct StreamProcess {
    pub(crate) upstream: UpstreamName,
    pub(crate) connection: Rc<ConnectedProcess>,
    /// When it last sent something.
    pub(crate) last_bytes_ms: u64,
}

/// A stream that was interrupted before it was certain at which version it began.
pub(crate) struct UnsettledStream {
    pub(crate) service: ServiceName,
    pub(crate) process: StreamProcess,
    /// The version that others were told.
    pub(crate) told_version: SoftwareVersion,
}

impl Node {
    /// The process of an upstream to which a connection is about to be opened; none if the
    /// upstream was removed.
    pub(crate) fn process_to_connect(&self, upstream: &UpstreamName) -> Option<ConnectedProcess> {
        let entry = self.state().registry.get(upstream)?.clone();
        Some(ConnectedProcess { entry, opened_ms: self.now_ms() })
    }

    /// Version of the process that sends a stream.
    pub(crate) fn process_version(&self, process: &StreamProcess) -> ProcessVersion {
        let state = self.state();
        let StreamProcess { upstream, connection, last_bytes_ms } = process;
        let known = state.registry.last_entry(upstream);
        state.processes.version(upstream, connection, known, *last_bytes_ms)
    }

    /// Whether a connection was opened to the process that an upstream has now, as far as this
    /// router knows.
    pub(crate) fn is_present_process(
        &self,
        upstream: &UpstreamName,
        connection: &ConnectedProcess,
    ) -> bool {
        let state = self.state();
        let known = state.registry.get(upstream);
        known.is_some_and(|known| !is_new_process(&connection.entry, known))
    }

    /// Records that a process has sent something whose version is certain.
    pub(crate) fn process_sends(
        &self,
        now_ms: u64,
        upstream: &UpstreamName,
        connection: &ConnectedProcess,
    ) {
        let mut state = self.state();
        let state = &mut *state;
        let known = state.registry.get(upstream);
        state.processes.record_bytes(now_ms, upstream, connection, known);
    }

    /// Records that a connection to an upstream broke or was refused.
    pub(crate) fn connection_broke(&self, upstream: &UpstreamName) {
        let now_ms = self.now_ms();
        self.state().processes.record_broken(now_ms, upstream);
    }

    /// Waits until it is certain that a process has the version at which a stream goes on.
    /// Returns false if it has another one or that is not known in time.
    pub(crate) async fn await_version(
        &self,
        process: &StreamProcess,
        wanted: &SoftwareVersion,
    ) -> bool {
        let until_ms = self.now_ms() + MAX_VERSION_WAIT_MS;
        loop {
            let found = self.process_version(process);
            if found.version() != wanted {
                return false;
            }
            match found {
                ProcessVersion::Certain(_) | ProcessVersion::Likely(_) => return true,
                ProcessVersion::Assumed(_) if self.now_ms() < until_ms => {}
                ProcessVersion::Assumed(_) | ProcessVersion::Ambiguous(_) => return false,
            }
            self.entries_wanted.notify_one();
            sleep(Duration::from_millis(VERSION_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Tells others that a stream began elsewhere than they were told. `attempt` is higher than
    /// the one of which they know.
    pub(crate) fn stream_moved(&self, data: &RequestData, attempt: u32, origin: &StreamOrigin) {
        info!(
            request = String::from_utf8_lossy(data.id.as_bytes()).as_ref(),
            service = origin.service.as_str(),
            software_version = origin.known_version().map(SoftwareVersion::as_str),
            attempt,
            "the version at which a stream began is another one than its upstream's entry said"
        );
        let is_told = self.stream_sent(data, attempt, origin, None).is_some();
        self.stream_began(&data.stream_attempts(attempt), origin, is_told);
    }

    /// Tells others that nobody knows at which version a stream began, which is interrupted, and
    /// later at which one it did, if that turns out.
    pub(crate) fn settle_stream(
        self: &Rc<Self>,
        data: &Rc<RequestData>,
        attempt: u32,
        stream: UnsettledStream,
    ) {
        let UnsettledStream { service, process, told_version } = stream;
        let found = self.process_version(&process);
        if let ProcessVersion::Certain(version) = &found {
            if *version != told_version {
                let origin = StreamOrigin { service, software_version: version.clone() };
                self.stream_moved(data, attempt + 1, &origin);
            }
            return;
        }
        if matches!(found, ProcessVersion::Likely(_)) {
            return;
        }
        self.count(Counter::StreamsUnsettled);
        let undetermined = StreamOrigin::undetermined(&service);
        let now_ms = self.now_ms();
        info!(
            request = String::from_utf8_lossy(data.id.as_bytes()).as_ref(),
            upstream = process.upstream.as_str(),
            assumed_version = found.version().as_str(),
            is_ambiguous = matches!(found, ProcessVersion::Ambiguous(_)),
            connection_age_ms = now_ms.saturating_sub(process.connection.opened_ms),
            "it is not known at which version an interrupted stream began"
        );
        self.tell_stream(&data.stream_attempts(attempt + 1), &undetermined);
        let (node, data) = (self.clone(), data.clone());
        let until_ms = now_ms + MAX_SETTLE_MS;
        spawn_local(async move {
            while node.now_ms() < until_ms {
                match node.process_version(&process) {
                    ProcessVersion::Assumed(_) | ProcessVersion::Likely(_) => {}
                    ProcessVersion::Ambiguous(_) => return,
                    ProcessVersion::Certain(version) => {
                        let origin = StreamOrigin { service, software_version: version };
                        node.tell_stream(&data.stream_attempts(attempt + 2), &origin);
                        return;
                    }
                }
                node.entries_wanted.notify_one();
                sleep(Duration::from_millis(VERSION_CHECK_INTERVAL_MS)).await;
            }
        });
    }

    /// Keeps where a stream began, and tells others in any case.
    fn tell_stream(&self, streams: &[StreamAttempt], origin: &StreamOrigin) {
        self.stream_began(streams, origin, false);
        let now_ms = self.now_ms();
        let notices = {
            let mut state = self.state();
            let origins = &mut state.stream_origins;
            streams.iter().filter_map(|stream| origins.tell(now_ms, stream.request)).collect()
        };
        self.send_notices(notices);
    }
}
