//! Connections to other routers.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use span_types::InstanceName;
use span_wire::{ByteCounts, CountingStream, peer_capnp::peer, start_rpc};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Mutex,
    task::AbortHandle,
};

use super::{Counter, core::Shared, server::PeerServer};

/// Time for a connection attempt and for a call. Together they stay below the
/// time after which a silent member is suspect, so that a connection that went
/// silent is replaced in time.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between checks for connections that carry nothing.
const IDLE_CHECK: Duration = Duration::from_secs(30);
/// Connections that other routers may have open here.
const MAX_ACCEPTED: usize = 2_048;
/// Wait after a failed accept, most often for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// A call to another router failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum PeerError {
    /// Nothing listens at its address.
    #[error("the connection was refused")]
    Refused,
    /// The connection could not be made.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// No answer came in time.
    #[error("no answer within {} ms", CALL_TIMEOUT.as_millis())]
    Timeout,
    /// The call failed.
    #[error("the call failed: {0}")]
    Call(#[from] capnp::Error),
    /// The answer cannot be used.
    #[error(transparent)]
    Convert(#[from] span_wire::ConvertError),
}

/// A connection to one router, used by both sides.
#[derive(Clone)]
pub(super) struct Link {
    pub client: peer::Client,
    task: AbortHandle,
    id: u64,
}

/// Connections by instance.
#[derive(Default)]
pub(super) struct Links {
    links: HashMap<InstanceName, Link>,
    connecting: HashMap<InstanceName, Rc<Mutex<()>>>,
    last_id: u64,
    accepted: usize,
}

impl Links {
    pub fn get(&self, instance: &InstanceName) -> Option<&Link> {
        self.links.get(instance)
    }

    /// Closes the connection to an instance.
    pub fn remove(&mut self, instance: &InstanceName) {
        if let Some(link) = self.links.remove(instance) {
            link.task.abort();
        }
        self.connecting.remove(instance);
    }

    /// Uses an accepted connection for calls too, unless there is one already.
    pub fn adopt(&mut self, instance: &InstanceName, link: &Link) -> bool {
        if self.links.contains_key(instance) {
            return false;
        }
        self.links.insert(instance.clone(), link.clone());
        true
    }

    fn remove_link(&mut self, instance: &InstanceName, id: u64) {
        if self.links.get(instance).is_some_and(|link| link.id == id) {
            self.remove(instance);
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Calls a router, over the connection to it or a new one. A call that fails
/// or takes too long closes the connection, since connections can go silent.
pub(super) async fn call<T, F, Fut>(
    shared: &Shared,
    instance: &InstanceName,
    address: SocketAddr,
    call: F,
) -> Result<T, PeerError>
where
    F: FnOnce(peer::Client) -> Fut,
    Fut: Future<Output = Result<T, PeerError>>,
{
    let link = match link(shared, instance, address).await {
        Ok(link) => link,
        Err(error) => return Err(count_failure(shared, error)),
    };
    let result = tokio::time::timeout(CALL_TIMEOUT, call(link.client)).await;
    let result = result.unwrap_or(Err(PeerError::Timeout));
    result.map_err(|error| {
        shared.borrow_mut().links.remove_link(instance, link.id);
        count_failure(shared, error)
    })
}

fn count_failure(shared: &Shared, error: PeerError) -> PeerError {
    shared.borrow_mut().counters.increment(Counter::PeerFailures);
    error
}

async fn link(
    shared: &Shared,
    instance: &InstanceName,
    address: SocketAddr,
) -> Result<Link, PeerError> {
    let connecting = {
        let links = &mut shared.borrow_mut().links;
        if let Some(link) = links.get(instance) {
            return Ok(link.clone());
        }
        Rc::clone(links.connecting.entry(instance.clone()).or_default())
    };
    // One attempt at a time: heartbeats and exchanges start at the same moment.
    let _connecting = connecting.lock().await;
    if let Some(link) = shared.borrow().links.get(instance) {
        return Ok(link.clone());
    }
    let stream = connect(address).await?;
    shared.borrow_mut().counters.increment(Counter::PeerConnects);
    let link = start(shared, stream, true, Some(instance.clone()));
    shared.borrow_mut().links.links.insert(instance.clone(), link.clone());
    Ok(link)
}

async fn connect(address: SocketAddr) -> Result<TcpStream, PeerError> {
    match tokio::time::timeout(CALL_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Err(PeerError::Refused)
        }
        Ok(Err(error)) => Err(PeerError::Connect(error)),
        Err(_) => Err(PeerError::Timeout),
    }
}

/// Runs capnp-rpc over a stream until it closes.
fn start(shared: &Shared, stream: TcpStream, opened: bool, instance: Option<InstanceName>) -> Link {
    // Only fails on a socket that is already closed.
    let _ = stream.set_nodelay(true);
    let counts = ByteCounts::default();
    let total = Some(shared.borrow().bytes.clone());
    let (read, write) = stream.into_split();
    let read = CountingStream::new(read, counts.clone(), total.clone());
    let write = CountingStream::new(write, counts.clone(), total);
    let own_link = Rc::new(RefCell::new(None));
    let server = PeerServer::new(Rc::downgrade(shared), Rc::downgrade(&own_link));
    let connection = start_rpc(read, write, capnp_rpc::new_client(server), opened);
    let id = shared.borrow_mut().links.next_id();
    let weak = Rc::downgrade(shared);
    let run = connection.rpc_system;
    let task = tokio::task::spawn_local({
        let own_link = Rc::clone(&own_link);
        async move {
            tokio::select! {
                _ = run => {}
                () = idle(&counts) => {}
            }
            let name = instance.or_else(|| {
                let link: std::cell::Ref<'_, Option<OwnLink>> = own_link.borrow();
                link.as_ref().and_then(|link| link.instance.clone())
            });
            if let (Some(shared), Some(name)) = (weak.upgrade(), name) {
                shared.borrow_mut().links.remove_link(&name, id);
            }
        }
    });
    let link = Link { client: connection.peer, task: task.abort_handle(), id };
    *own_link.borrow_mut() = Some(OwnLink { link: link.clone(), instance: None });
    link
}

/// A connection as the server on it knows it.
pub(super) struct OwnLink {
    pub link: Link,
    /// Router at the other end, once its heartbeat came.
    pub instance: Option<InstanceName>,
}

/// Ends when nothing was received for a whole interval.
async fn idle(counts: &ByteCounts) {
    let mut received = counts.received();
    loop {
        tokio::time::sleep(IDLE_CHECK).await;
        if counts.received() == received {
            return;
        }
        received = counts.received();
    }
}

/// Accepts connections of other routers.
pub(super) async fn accept(shared: Shared, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.borrow().links.accepted < MAX_ACCEPTED => {
                let link = start(&shared, stream, false, None);
                shared.borrow_mut().links.accepted += 1;
                tokio::task::spawn_local(release(shared.clone(), link));
            }
            Ok(_) => tracing::warn!("too many connections of other routers"),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

/// Counts an accepted connection until it ends.
async fn release(shared: Shared, link: Link) {
    let Link { client, task, .. } = link;
    drop(client);
    while !task.is_finished() {
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    shared.borrow_mut().links.accepted -= 1;
}
