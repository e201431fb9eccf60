//! Accepted connections: room for them, and the stream that counts what they do.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use span_http::OrderlyCloseStream;
use span_types::WorkspaceName;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
    task::yield_now,
    time::sleep,
};
use tracing::warn;

use crate::{
    charged_buffer::{ChargedBuffer, OutOfMemory},
    connection_table::{Activity, ConnectionId, ConnectionTable},
    memory_budget::{Charge, Group, MemoryBudget, MemoryUse},
    pool,
    refusals::{Refusal, Refusals},
};

/// Memory of a connection that waits for a request, in bytes.
const IDLE_CONNECTION_BYTES: u64 = 12 << 10;
/// Bytes of one request from which on the read buffer of its connection grows.
const SMALL_READ_BYTES: usize = 4 << 10;
/// Memory of a connection with a full read buffer, as a multiple of the buffer: the allocation
/// doubles when it grows.
const READ_BUFFER_FACTOR: u64 = 2;
/// Lines of a head from which on it is read with room for all fields that fit into it. The
/// HTTP library has room for 100 fields on the stack, and allocates more for each head.
const MANY_FIELDS: usize = 100;
/// Interval of checks whether a client that has sent ahead has closed its connection.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often connections are closed to make room for one use of memory.
const MAX_ROOM_ATTEMPTS: usize = 2;
/// Number of workspaces above which those without a body are forgotten.
const MAX_GROUPS: usize = 1_024;
/// Descriptors for listeners, the store and other routers.
const CONTROL_DESCRIPTORS: usize = 32;
/// Interval at which late heads are looked for, in milliseconds.
const LATE_HEADS_INTERVAL_MS: u64 = 250;

/// All accepted connections, and the memory budget that they share with what they carry.
pub(crate) struct Connections {
    pub(crate) budget: MemoryBudget,
    table: RefCell<ConnectionTable<Rc<Notify>>>,
    refusals: RefCell<Refusals>,
    /// What the bodies of each workspace use.
    groups: RefCell<HashMap<WorkspaceName, Group>>,
    late_heads_checked_ms: Cell<u64>,
    /// The listener whose connections are closed as soon as they have no request, if any.
    ends_idle: Cell<Option<usize>>,
    /// Notified when that begins.
    pub(crate) idle_ends: Notify,
}

impl Connections {
    pub(crate) fn new(memory_bytes: u64) -> Self {
        Self {
            budget: MemoryBudget::of_machine(memory_bytes),
            table: RefCell::default(),
            refusals: RefCell::default(),
            groups: RefCell::default(),
            late_heads_checked_ms: Cell::new(0),
            ends_idle: Cell::new(None),
            idle_ends: Notify::new(),
        }
    }

    pub(crate) fn refuse(&self, refusal: Refusal) {
        self.refusals.borrow_mut().count(refusal);
    }

    /// Counts of what was refused since the start.
    pub(crate) fn refusal_counts(&self) -> Vec<(&'static str, u64)> {
        self.refusals.borrow().counts().collect()
    }

    /// Closes each connection of a listener as soon as it has no request and nothing to read.
    pub(crate) fn end_idle(&self, listener: usize) {
        self.ends_idle.set(Some(listener));
        self.idle_ends.notify_waiters();
    }

    pub(crate) fn ends_idle(&self) -> bool {
        self.ends_idle.get().is_some()
    }

    /// Number of open connections of a listener in each activity.
    pub(crate) fn count_activities(&self, listener: usize) -> BTreeMap<Activity, usize> {
        self.table.borrow().count_activities(listener)
    }

    /// Number of open connections of all listeners.
    pub(crate) fn len(&self) -> usize {
        self.table.borrow().len()
    }

    /// Closes heads that take longer than `head_timeout_ms`, and reports what was refused.
    pub(crate) fn tick(&self, now_ms: u64, head_timeout_ms: u64) {
        self.table.borrow_mut().tick(now_ms);
        if now_ms >= self.late_heads_checked_ms.get() + LATE_HEADS_INTERVAL_MS {
            self.late_heads_checked_ms.set(now_ms);
            for close in self.table.borrow_mut().late_heads(head_timeout_ms) {
                self.refuse(Refusal::LateHeads);
                close.notify_one();
            }
        }
        let report = self.refusals.borrow_mut().take_report(now_ms);
        if let Some(refused) = report {
            let used = |memory_use| self.budget.used_bytes(memory_use);
            warn!(
                refused,
                connections = self.len(),
                budget_bytes = self.budget.limit_bytes(),
                connection_bytes = used(MemoryUse::Connections),
                head_bytes = used(MemoryUse::Heads),
                body_bytes = used(MemoryUse::Bodies),
                answer_bytes = used(MemoryUse::Answers),
                upstream_bytes = used(MemoryUse::Upstreams),
                "clients are refused for lack of room"
            );
        }
    }

    /// Closes the connections that are cheapest to lose until `bytes` will become free, those
    /// of one listener or of all. Returns whether any was closed.
    fn make_room(&self, listener: Option<usize>, bytes: u64) -> bool {
        let mut has_closed = false;
        for _ in 0..bytes.div_ceil(IDLE_CONNECTION_BYTES) {
            let victim = self.table.borrow_mut().choose_victim(listener);
            let Some((_, close)) = victim else { break };
            self.refuse(Refusal::ClosedForRoom);
            close.notify_one();
            has_closed = true;
        }
        has_closed
    }

    /// Closes the connection of `listener` that is cheapest to lose. Returns whether there is
    /// one.
    pub(crate) async fn replace_one(&self, listener: usize) -> bool {
        let has_closed = self.make_room(Some(listener), 1);
        // Its task has to run to release what it holds.
        yield_now().await;
        has_closed
    }

    /// Charges `bytes`, and closes other connections if that makes room. None without room.
    pub(crate) async fn charge(&self, memory_use: MemoryUse, bytes: u64) -> Option<Charge> {
        for _ in 0..MAX_ROOM_ATTEMPTS {
            if let Some(charge) = self.budget.try_charge(memory_use, bytes) {
                return Some(charge);
            }
            if !self.make_room(None, bytes) {
                return None;
            }
            yield_now().await;
        }
        self.budget.try_charge(memory_use, bytes)
    }

    /// Starts to charge the body of a request.
    pub(crate) fn start_body(&self, workspace: Option<&WorkspaceName>) -> Charge {
        let Some(workspace) = workspace else { return self.budget.start(MemoryUse::Bodies) };
        let mut groups = self.groups.borrow_mut();
        // Forgets workspaces without a body now and then.
        if groups.len() >= MAX_GROUPS {
            groups.retain(|_, group| group.used_bytes() > 0);
        }
        let group = groups.entry(workspace.clone()).or_default();
        self.budget.start_in_group(MemoryUse::Bodies, group)
    }

    /// Whether one more connection to an upstream leaves descriptors for the control side, of
    /// the `max_sockets` of the process.
    pub(crate) fn has_descriptor(&self, max_sockets: usize) -> bool {
        let upstream_bytes = self.budget.used_bytes(MemoryUse::Upstreams);
        let upstream_count = upstream_bytes / pool::CONNECTION_BYTES;
        self.len() + upstream_count as usize + CONTROL_DESCRIPTORS < max_sockets
    }

    /// Moves `data` into a buffer, and closes other connections if that makes room. Returns
    /// whether all of it fits.
    pub(crate) async fn push(&self, buffer: &mut ChargedBuffer, data: &mut Bytes) -> bool {
        for _ in 0..MAX_ROOM_ATTEMPTS {
            match buffer.push(data) {
                Ok(()) => return true,
                Err(OutOfMemory { needed_bytes, can_make_room }) => {
                    if !can_make_room || !self.make_room(None, needed_bytes) {
                        return false;
                    }
                    yield_now().await;
                }
            }
        }
        buffer.push(data).is_ok()
    }

    /// Records that the body of a request is awaited on a connection, or that it is complete.
    pub(crate) fn reads_body(&self, id: Option<ConnectionId>, is_reading: bool) {
        if let Some(id) = id {
            self.table.borrow_mut().reads_body(id, is_reading);
        }
    }
}

/// An accepted connection. It counts as open until this is dropped.
pub(crate) struct OpenConnection {
    connections: Rc<Connections>,
    /// The listener that accepted it.
    listener: usize,
    pub(crate) id: ConnectionId,
    /// Notified when the connection has to be closed.
    pub(crate) close: Rc<Notify>,
    charge: RefCell<Charge>,
    /// Bytes of the request that is read.
    read_bytes: Cell<usize>,
    /// Memory with a full read buffer, in bytes.
    full_bytes: u64,
    /// Lines of the head that is read.
    head_lines: Cell<usize>,
    /// Whether a head with many fields has begun.
    pub(crate) has_many_fields: Cell<bool>,
    /// Notified when that happens.
    pub(crate) many_fields_begin: Notify,
    /// Whether bytes have arrived that may follow the request which is served.
    has_read_ahead: Cell<bool>,
    /// Notified when that happens.
    reads_ahead: Notify,
}

impl OpenConnection {
    /// Takes up a connection of a listener whose read buffer has at most `buffer_bytes`. None
    /// if there is no memory for it.
    pub(crate) async fn open(
        connections: &Rc<Connections>,
        listener: usize,
        buffer_bytes: usize,
    ) -> Option<Rc<Self>> {
        let charge = connections.charge(MemoryUse::Connections, IDLE_CONNECTION_BYTES).await;
        let Some(charge) = charge else {
            connections.refuse(Refusal::RefusedConnectionMemory);
            return None;
        };
        let close = Rc::new(Notify::new());
        let id = connections.table.borrow_mut().add(listener, close.clone());
        Some(Rc::new(Self {
            connections: connections.clone(),
            listener,
            id,
            close,
            charge: RefCell::new(charge),
            read_bytes: Cell::new(0),
            full_bytes: READ_BUFFER_FACTOR * buffer_bytes as u64,
            head_lines: Cell::new(0),
            has_many_fields: Cell::new(false),
            many_fields_begin: Notify::new(),
            has_read_ahead: Cell::new(false),
            reads_ahead: Notify::new(),
        }))
    }

    /// Records that the head of a request is complete. The request ends when the result is
    /// dropped.
    pub(crate) fn request_begins(self: &Rc<Self>) -> OpenRequest {
        self.read_bytes.set(0);
        self.head_lines.set(0);
        self.has_read_ahead.set(false);
        self.connections.table.borrow_mut().request_begins(self.id);
        OpenRequest(self.clone())
    }

    /// Records bytes that arrived. Returns whether there is memory for them. A connection with a
    /// request is kept without: its buffer is bounded, and its request is refused truthfully.
    fn received(&self, bytes: usize) -> bool {
        self.connections.table.borrow_mut().received(self.id, bytes as u64);
        let activity = self.connections.table.borrow().activity(self.id);
        self.read_bytes.update(|read| read + bytes);
        let mut charge = self.charge.borrow_mut();
        let missing_bytes = self.full_bytes.saturating_sub(charge.bytes());
        if missing_bytes == 0 || self.read_bytes.get() <= SMALL_READ_BYTES {
            return true;
        }
        if charge.try_grow(missing_bytes) {
            return true;
        }
        let has_request = !matches!(activity, None | Some(Activity::Idle | Activity::ReadingHead));
        if self.connections.make_room(None, missing_bytes) || has_request {
            charge.grow(missing_bytes);
            return true;
        }
        self.connections.refuse(Refusal::RefusedHeadMemory);
        false
    }

    /// Waits until the connection has to be polled to see whether its client has closed it. The
    /// server does not read on, and would not see that, while it holds bytes that were sent ahead.
    pub(crate) async fn close_check_is_due(&self) {
        if !self.has_read_ahead.get() {
            self.reads_ahead.notified().await;
        }
        sleep(CLOSE_CHECK_INTERVAL).await;
    }

    /// Records that bytes arrive.
    fn record_read_ahead(&self) {
        let activity = self.connections.table.borrow().activity(self.id);
        let is_ahead = matches!(activity, Some(Activity::Working | Activity::AnswerUnread));
        if is_ahead && !self.has_read_ahead.replace(true) {
            self.reads_ahead.notify_one();
        }
    }

    /// Whether `bytes` make a head the first one with more fields than `MANY_FIELDS`.
    fn begins_many_fields(&self, bytes: &[u8]) -> bool {
        let activity = self.connections.table.borrow().activity(self.id);
        if self.has_many_fields.get() || activity != Some(Activity::ReadingHead) {
            return false;
        }
        let head = bytes.windows(4).position(|end| end == b"\r\n\r\n");
        let head = &bytes[..head.unwrap_or(bytes.len())];
        let lines = head.iter().filter(|byte| **byte == b'\n').count();
        self.head_lines.update(|before| before + lines);
        let begins = self.head_lines.get() >= MANY_FIELDS;
        self.has_many_fields.set(begins);
        begins
    }

    /// Whether the connection has to be closed if nothing has arrived on it.
    fn ends_if_quiet(&self) -> bool {
        let activity = || self.connections.table.borrow().activity(self.id);
        self.connections.ends_idle.get() == Some(self.listener)
            && activity() == Some(Activity::Idle)
    }

    fn written(&self, takes_bytes: bool) {
        self.connections.table.borrow_mut().written(self.id, takes_bytes);
    }
}

/// Whether the client has closed its side of a connection.
fn has_closed(socket: &SockRef<'_>) -> bool {
    let mut polled = [PollFd::new(&**socket, PollFlags::RDHUP)];
    let is_known = poll(&mut polled, Some(&Timespec::default())).is_ok();
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    is_known && polled[0].revents().intersects(ends)
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().remove(self.id);
    }
}

/// A request whose answer is not complete.
pub(crate) struct OpenRequest(Rc<OpenConnection>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.connections.table.borrow_mut().request_ends(self.0.id);
    }
}

/// The stream of an accepted connection.
pub(crate) struct CountedStream {
    stream: OrderlyCloseStream,
    connection: Rc<OpenConnection>,
    /// Bytes that were read before and are read again.
    replay: Bytes,
    /// Whether nothing is read until `put_back`.
    is_paused: bool,
}

impl CountedStream {
    pub(crate) fn new(stream: OrderlyCloseStream, connection: Rc<OpenConnection>) -> Self {
        Self { stream, connection, replay: Bytes::new(), is_paused: false }
    }

    /// The stream with `bytes` to be read again before all others.
    pub(crate) fn put_back(self, bytes: &[u8]) -> Self {
        Self { replay: [bytes, &self.replay].concat().into(), is_paused: false, ..self }
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if !matches!(written, Poll::Ready(Err(_))) {
            self.connection.written(written.is_ready());
        }
        written
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_paused {
            return Poll::Pending;
        }
        if !self.replay.is_empty() {
            let count = self.replay.len().min(buf.remaining());
            buf.put_slice(&self.replay.split_to(count));
            return Poll::Ready(Ok(()));
        }
        let filled = buf.filled().len();
        if self.connection.ends_if_quiet() {
            // The end of the stream, for the server, unless a request has arrived.
            let count = self.stream.read_arrived(buf.initialize_unfilled())?;
            buf.advance(count);
        } else {
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        }
        let bytes = buf.filled().len() - filled;
        if bytes > 0 {
            if !self.connection.received(bytes) {
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
            self.connection.record_read_ahead();
        }
        if self.connection.begins_many_fields(&buf.filled()[filled..]) {
            self.replay = Bytes::copy_from_slice(&buf.filled()[filled..]);
            buf.set_filled(filled);
            self.is_paused = true;
            self.connection.many_fields_begin.notify_one();
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The server flushes each time that it is polled.
        if self.connection.has_read_ahead.get() && has_closed(&self.stream.socket()) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
