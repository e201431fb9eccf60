//! Server for calls of peers.

use std::{
    cell::RefCell,
    rc::{Rc, Weak},
};

use capnp::Error;
use span_types::{InstanceName, Revision};
use span_wire::{
    group_by_shard_and_owner, peer_capnp::peer, read_allocations, read_cost_tables, read_heartbeat,
    read_reports, write_allocation_replies, write_config, write_cost_tables, write_heartbeat,
};

use super::{
    MintedState,
    peers::ServedConnection,
    platform_sync,
    state::{ControlState, SharedState},
};

/// Serves the calls on one connection.
pub(super) struct PeerServer {
    control: Weak<RefCell<ControlState>>,
    connection: Weak<RefCell<Option<ServedConnection>>>,
}

impl PeerServer {
    pub fn new(
        control: Weak<RefCell<ControlState>>,
        connection: Weak<RefCell<Option<ServedConnection>>>,
    ) -> Self {
        Self { control, connection }
    }

    fn control_state(&self) -> Result<SharedState, Error> {
        self.control.upgrade().ok_or_else(|| Error::disconnected("the router has ended".into()))
    }

    /// Records which peer uses this connection, so that calls to the peer can
    /// use it too.
    fn record_peer(&self, control: &SharedState, instance: &InstanceName) {
        let Some(own) = self.connection.upgrade() else {
            return;
        };
        if let Some(own) = own.borrow_mut().as_mut()
            && own.instance.is_none()
        {
            own.instance = Some(instance.clone());
            control.borrow_mut().connections.insert_if_absent(instance, &own.connection);
        }
    }
}

impl peer::Server for PeerServer {
    async fn heartbeat(
        self: Rc<Self>,
        params: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> Result<(), Error> {
        let shared = self.control_state()?;
        let received = read_heartbeat(params.get()?.get_beat()?)?;
        let (sender, wants_all_updates) =
            (received.sender.router.member.instance.clone(), received.wants_all_updates);
        self.record_peer(&shared, &sender);
        let sender_is_newer = shared.borrow_mut().handle_heartbeat(received);
        let answer = shared.borrow_mut().make_heartbeat(&sender, wants_all_updates, false);
        write_heartbeat(results.get().init_beat(), &answer);
        if sender_is_newer {
            platform_sync::fetch_config_from(&shared, sender);
        }
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let shared = self.control_state()?;
        let reports = read_reports(params.get()?.get_reports()?)?;
        let mut control = shared.borrow_mut();
        control.counters.increment(super::Counter::ExchangesServed);
        let allocations: Vec<_> =
            reports.iter().filter_map(|report| control.handle_report(report)).collect();
        let answers = results.get().init_allocations(allocations.len() as u32);
        write_allocation_replies(answers, &allocations, &reports);
        Ok(())
    }

    async fn merge(
        self: Rc<Self>,
        params: peer::MergeParams,
        mut results: peer::MergeResults,
    ) -> Result<(), Error> {
        let shared = self.control_state()?;
        let rows = read_cost_tables(params.get()?.get_rows()?)?;
        let mut control = shared.borrow_mut();
        control.merge_costs_of_other_shards(&rows);
        let services = rows.iter().map(|row| &row.shard.service);
        let own = control.owned_shard_costs(&services.collect());
        let tables = group_by_shard_and_owner(&own);
        write_cost_tables(results.get().init_rows(tables.len() as u32), &tables);
        Ok(())
    }

    async fn allocate(
        self: Rc<Self>,
        params: peer::AllocateParams,
        _results: peer::AllocateResults,
    ) -> Result<(), Error> {
        let shared = self.control_state()?;
        for allocation in read_allocations(params.get()?.get_allocations()?)? {
            shared.borrow_mut().apply_allocation(allocation);
        }
        Ok(())
    }

    async fn fetch_config(
        self: Rc<Self>,
        params: peer::FetchConfigParams,
        mut results: peer::FetchConfigResults,
    ) -> Result<(), Error> {
        let shared = self.control_state()?;
        let since = Revision(params.get()?.get_since());
        let answer = shared.borrow().config.reply_to(since);
        let answer = answer.map_err(|error| Error::failed(error.to_string()))?;
        write_config(results.get().init_config(), &answer);
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: peer::ClaimParams,
        mut results: peer::ClaimResults,
    ) -> Result<(), Error> {
        let shared = self.control_state()?;
        let key = params.get()?.get_key()?.to_str()?;
        let lookup = shared.borrow().settings.minted.clone();
        let state = key.parse().map_or(MintedState::Unknown, |id| lookup(&id));
        results.get().set_state(state as u8);
        Ok(())
    }
}
