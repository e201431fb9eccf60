//! Datagrams to other routers that wait to be sent.

use std::{cell::RefCell, net::IpAddr};

use tokio::sync::Notify;

use crate::peers::Packet;

/// Datagrams that wait to be sent, with their receivers.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    packets: RefCell<Vec<(Vec<IpAddr>, Packet)>>,
    filled: Notify,
}

impl Outbox {
    /// Adds a datagram for each of the receivers.
    pub(crate) fn push(&self, receivers: Vec<IpAddr>, packet: Packet) {
        self.packets.borrow_mut().push((receivers, packet));
        self.filled.notify_one();
    }

    /// Waits until there are datagrams, and removes them.
    pub(crate) async fn take(&self) -> Vec<(Vec<IpAddr>, Packet)> {
        self.filled.notified().await;
        std::mem::take(&mut *self.packets.borrow_mut())
    }
}
