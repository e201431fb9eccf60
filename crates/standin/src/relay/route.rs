//! One route of the relay.

use std::{io, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::pipe::{Direction, DirectionGate, forward};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Addresses and delay of a route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouteSettings {
    /// Identifies the route when its faults are changed.
    pub name: String,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address that connections are relayed to.
    pub target: SocketAddr,
    /// Delay added in each direction, in microseconds.
    pub delay_us: u64,
}

/// Faults of a route; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Bytes from the client to the target are held back until the fault ends.
    pub cut_to_target: bool,
    /// Bytes from the target to the client are held back until the fault ends.
    pub cut_to_client: bool,
    /// New connections are closed immediately.
    pub refuse_new: bool,
    /// Connections that are open when the fault begins are closed.
    pub close_open: bool,
    /// Connections that are open when the fault begins forward nothing from then
    /// on, even after the fault ends.
    pub silence_open: bool,
}

/// Active faults, and the connections that `close_open` and `silence_open`
/// applied to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RouteState {
    pub faults: Faults,
    /// Connections with a lower number were closed.
    pub closed_before: u64,
    /// Connections with a lower number were silenced permanently.
    pub silenced_before: u64,
    /// Number of the next connection.
    pub next_connection: u64,
}

/// A running route.
#[derive(Debug)]
pub(super) struct Route {
    address: SocketAddr,
    state: watch::Sender<RouteState>,
}

impl Route {
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn faults(&self) -> Faults {
        self.state.borrow().faults
    }

    pub fn set_faults(&self, faults: Faults) {
        self.state.send_modify(|state| {
            state.faults = Faults { close_open: false, silence_open: false, ..faults };
            if faults.close_open {
                state.closed_before = state.next_connection;
            }
            if faults.silence_open {
                state.silenced_before = state.next_connection;
            }
        });
    }
}

/// Starts a route.
pub(super) async fn bind(settings: RouteSettings) -> io::Result<Route> {
    let listener = TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let (state, _) = watch::channel(RouteState::default());
    tokio::spawn(accept_loop(listener, settings, state.clone()));
    Ok(Route { address, state })
}

async fn accept_loop(
    listener: TcpListener,
    settings: RouteSettings,
    state: watch::Sender<RouteState>,
) {
    loop {
        // Accepting fails when file descriptors run out. Others are closed soon,
        // so try again.
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if state.borrow().faults.refuse_new {
            continue;
        }
        let mut connection = 0;
        state.send_modify(|state| {
            connection = state.next_connection;
            state.next_connection += 1;
        });
        tokio::spawn(relay_connection(client, connection, settings.clone(), state.subscribe()));
    }
}

async fn relay_connection(
    client: TcpStream,
    connection: u64,
    settings: RouteSettings,
    mut state: watch::Receiver<RouteState>,
) {
    // If the target refuses the connection, close the client's: a relay that
    // has accepted the client cannot refuse it.
    let Ok(target) = TcpStream::connect(settings.target).await else {
        return;
    };
    // These fail only on a socket that is already closed.
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let delay = Duration::from_micros(settings.delay_us);
    let gate = |direction| DirectionGate { state: state.clone(), connection, direction };
    let (to_target, to_client) = (gate(Direction::ToTarget), gate(Direction::ToClient));
    let both_directions = async {
        tokio::join!(
            forward(client_read, target_write, delay, to_target),
            forward(target_read, client_write, delay, to_client),
        )
    };
    tokio::select! {
        _ = both_directions => {}
        _ = state.wait_for(|state| connection < state.closed_before) => {}
    }
}
