//! Connections to peers, each used for calls in both directions.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use span_types::InstanceName;
use span_wire::{ByteCounts, CountingStream, peer_capnp::peer, start_rpc};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Mutex,
    task::AbortHandle,
};

use super::{Counter, server::PeerServer, state::SharedState};

/// Time limit of a connection attempt and of a call. The sum of both is below
/// the time after which a silent member becomes suspect, so that a connection
/// that no longer delivers bytes is replaced before that.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between checks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum of open connections that peers opened.
const MAX_ACCEPTED_CONNECTIONS: usize = 2_048;
/// Delay after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum PeerError {
    /// Nothing listens at the peer's address.
    #[error("the connection was refused")]
    Refused,
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection attempt or the call timed out.
    #[error("no answer within {} ms", CALL_TIMEOUT.as_millis())]
    Timeout,
    /// The connection broke or the peer answered with an error.
    #[error("the call failed: {0}")]
    Call(#[from] capnp::Error),
    /// The answer could not be decoded.
    #[error(transparent)]
    Convert(#[from] span_wire::ConvertError),
}

/// A connection to one peer, used for calls by both sides.
#[derive(Clone)]
pub(super) struct PeerConnection {
    pub client: peer::Client,
    task: AbortHandle,
    id: u64,
}

/// Open connections to peers.
#[derive(Default)]
pub(super) struct PeerConnections {
    by_instance: HashMap<InstanceName, PeerConnection>,
    connecting: HashMap<InstanceName, Rc<Mutex<()>>>,
    last_connection_id: u64,
    accepted_connections: usize,
}

impl PeerConnections {
    pub fn get(&self, instance: &InstanceName) -> Option<&PeerConnection> {
        self.by_instance.get(instance)
    }

    /// Closes the connection to an instance, if there is one.
    pub fn remove(&mut self, instance: &InstanceName) {
        if let Some(connection) = self.by_instance.remove(instance) {
            connection.task.abort();
        }
        self.connecting.remove(instance);
    }

    /// Uses an accepted connection for calls to the instance, unless there is
    /// one already. Returns whether it is used.
    pub fn insert_if_absent(
        &mut self,
        instance: &InstanceName,
        connection: &PeerConnection,
    ) -> bool {
        if self.by_instance.contains_key(instance) {
            return false;
        }
        self.by_instance.insert(instance.clone(), connection.clone());
        true
    }

    fn remove_if_current(&mut self, instance: &InstanceName, id: u64) {
        if self.by_instance.get(instance).is_some_and(|connection| connection.id == id) {
            self.remove(instance);
        }
    }

    fn next_connection_id(&mut self) -> u64 {
        self.last_connection_id += 1;
        self.last_connection_id
    }
}

/// Calls a peer over its connection, or over a new one. A call that fails or
/// times out closes the connection, since a connection can stop delivering
/// bytes without closing.
pub(super) async fn call<T, F, Fut>(
    shared: &SharedState,
    instance: &InstanceName,
    address: SocketAddr,
    call: F,
) -> Result<T, PeerError>
where
    F: FnOnce(peer::Client) -> Fut,
    Fut: Future<Output = Result<T, PeerError>>,
{
    let connection = match get_or_connect(shared, instance, address).await {
        Ok(connection) => connection,
        Err(error) => return Err(count_failure(shared, error)),
    };
    let result = tokio::time::timeout(CALL_TIMEOUT, call(connection.client)).await;
    let result = result.unwrap_or(Err(PeerError::Timeout));
    result.map_err(|error| {
        shared.borrow_mut().connections.remove_if_current(instance, connection.id);
        count_failure(shared, error)
    })
}

fn count_failure(shared: &SharedState, error: PeerError) -> PeerError {
    shared.borrow_mut().counters.increment(Counter::PeerFailures);
    error
}

async fn get_or_connect(
    shared: &SharedState,
    instance: &InstanceName,
    address: SocketAddr,
) -> Result<PeerConnection, PeerError> {
    let connecting = {
        let connections = &mut shared.borrow_mut().connections;
        if let Some(connection) = connections.get(instance) {
            return Ok(connection.clone());
        }
        Rc::clone(connections.connecting.entry(instance.clone()).or_default())
    };
    // One connection attempt at a time, since heartbeats and exchanges start
    // concurrently.
    let _connecting = connecting.lock().await;
    if let Some(connection) = shared.borrow().connections.get(instance) {
        return Ok(connection.clone());
    }
    let stream = open_stream(address).await?;
    shared.borrow_mut().counters.increment(Counter::PeerConnects);
    let connection = start(shared, stream, true, Some(instance.clone()));
    shared.borrow_mut().connections.by_instance.insert(instance.clone(), connection.clone());
    Ok(connection)
}

async fn open_stream(address: SocketAddr) -> Result<TcpStream, PeerError> {
    match tokio::time::timeout(CALL_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Err(PeerError::Refused)
        }
        Ok(Err(error)) => Err(PeerError::Connect(error)),
        Err(_) => Err(PeerError::Timeout),
    }
}

/// Runs capnp-rpc over a stream until it closes or is idle. `is_opener` tells
/// whether this router opened the stream; `instance` is then the peer.
fn start(
    shared: &SharedState,
    stream: TcpStream,
    is_opener: bool,
    instance: Option<InstanceName>,
) -> PeerConnection {
    // Fails only if the socket is already closed.
    let _ = stream.set_nodelay(true);
    let counts = ByteCounts::default();
    let total = Some(shared.borrow().peer_bytes.clone());
    let (read, write) = stream.into_split();
    let read = CountingStream::new(read, counts.clone(), total.clone());
    let write = CountingStream::new(write, counts.clone(), total);
    let served = Rc::new(RefCell::new(None));
    let server = PeerServer::new(Rc::downgrade(shared), Rc::downgrade(&served));
    let rpc = start_rpc(read, write, capnp_rpc::new_client(server), is_opener);
    let id = shared.borrow_mut().connections.next_connection_id();
    let weak = Rc::downgrade(shared);
    let run = rpc.rpc_system;
    let task = tokio::task::spawn_local({
        let served = Rc::clone(&served);
        async move {
            tokio::select! {
                _ = run => {}
                () = wait_until_idle(&counts) => {}
            }
            let name = instance.or_else(|| {
                let connection: std::cell::Ref<'_, Option<ServedConnection>> = served.borrow();
                connection.as_ref().and_then(|connection| connection.instance.clone())
            });
            if let (Some(shared), Some(name)) = (weak.upgrade(), name) {
                shared.borrow_mut().connections.remove_if_current(&name, id);
            }
        }
    });
    let connection = PeerConnection { client: rpc.peer, task: task.abort_handle(), id };
    *served.borrow_mut() =
        Some(ServedConnection { connection: connection.clone(), instance: None });
    connection
}

/// A connection and its peer, for the server that answers calls on it.
pub(super) struct ServedConnection {
    pub connection: PeerConnection,
    /// Instance of the peer, once its first heartbeat arrived.
    pub instance: Option<InstanceName>,
}

/// Returns when nothing was received for one check interval.
async fn wait_until_idle(counts: &ByteCounts) {
    let mut received = counts.received();
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        if counts.received() == received {
            return;
        }
        received = counts.received();
    }
}

/// Accepts connections of peers until the thread ends.
pub(super) async fn accept(shared: SharedState, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _))
                if shared.borrow().connections.accepted_connections < MAX_ACCEPTED_CONNECTIONS =>
            {
                let connection = start(&shared, stream, false, None);
                shared.borrow_mut().connections.accepted_connections += 1;
                tokio::task::spawn_local(uncount_when_closed(shared.clone(), connection));
            }
            Ok(_) => tracing::warn!("too many connections of other routers"),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Removes an accepted connection from the count once it has closed.
async fn uncount_when_closed(shared: SharedState, connection: PeerConnection) {
    let PeerConnection { client, task, .. } = connection;
    drop(client);
    while !task.is_finished() {
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    shared.borrow_mut().connections.accepted_connections -= 1;
}
