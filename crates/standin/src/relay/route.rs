//! One relayed address.

use std::{io, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::pipe::{Direction, Switch, pass};

const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Where a route listens and leads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouteSettings {
    /// Name under which its faults are changed.
    pub name: String,
    /// Address to listen on; port 0 chooses a free one.
    pub listen: SocketAddr,
    /// Address to connect to.
    pub target: SocketAddr,
    /// Delay added in each direction, in microseconds.
    pub delay_us: u64,
}

/// Faults of a route; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Nothing passes from the client to the target.
    pub cut_to_target: bool,
    /// Nothing passes from the target to the client.
    pub cut_to_client: bool,
    /// New connections are closed at once.
    pub refuse_new: bool,
    /// The connections that are open now are closed.
    pub close_open: bool,
    /// The connections that are open now pass nothing on any more.
    pub silence_open: bool,
}

/// Faults in force, and which connections the one-time orders concern.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct State {
    pub faults: Faults,
    /// Connections with a lower number are closed.
    pub closed_below: u64,
    /// Connections with a lower number are silent for good.
    pub silent_below: u64,
    /// Number of the next connection.
    pub next_connection: u64,
}

/// A running route.
#[derive(Debug)]
pub(super) struct Route {
    address: SocketAddr,
    state: watch::Sender<State>,
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
                state.closed_below = state.next_connection;
            }
            if faults.silence_open {
                state.silent_below = state.next_connection;
            }
        });
    }
}

/// Binds a route and starts relaying.
pub(super) async fn bind(settings: RouteSettings) -> io::Result<Route> {
    let listener = TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let (state, _) = watch::channel(State::default());
    tokio::spawn(accept_loop(listener, settings, state.clone()));
    Ok(Route { address, state })
}

async fn accept_loop(listener: TcpListener, settings: RouteSettings, state: watch::Sender<State>) {
    loop {
        // Accepting fails when file descriptors run out; some are closed soon.
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        if state.borrow().faults.refuse_new {
            continue;
        }
        let mut number = 0;
        state.send_modify(|state| {
            number = state.next_connection;
            state.next_connection += 1;
        });
        tokio::spawn(relay(client, number, settings.clone(), state.subscribe()));
    }
}

async fn relay(
    client: TcpStream,
    number: u64,
    settings: RouteSettings,
    mut state: watch::Receiver<State>,
) {
    // A refused target closes the client's connection, as far as a relay can
    // show a refusal.
    let Ok(target) = TcpStream::connect(settings.target).await else {
        return;
    };
    // These only fail on a socket that is already closed.
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let delay = Duration::from_micros(settings.delay_us);
    let switch = |direction| Switch { state: state.clone(), number, direction };
    let (out, back) = (switch(Direction::ToTarget), switch(Direction::ToClient));
    let both = async {
        tokio::join!(
            pass(client_read, target_write, delay, out),
            pass(target_read, client_write, delay, back),
        )
    };
    tokio::select! {
        _ = both => {}
        _ = state.wait_for(|state| number < state.closed_below) => {}
    }
}
