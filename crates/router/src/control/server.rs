//! Answers to calls of other routers.

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
    core::{Core, Shared},
    follow,
    peers::OwnLink,
};

/// Serves one connection.
pub(super) struct PeerServer {
    core: Weak<RefCell<Core>>,
    link: Weak<RefCell<Option<OwnLink>>>,
}

impl PeerServer {
    pub fn new(core: Weak<RefCell<Core>>, link: Weak<RefCell<Option<OwnLink>>>) -> Self {
        Self { core, link }
    }

    fn core(&self) -> Result<Shared, Error> {
        self.core.upgrade().ok_or_else(|| Error::disconnected("the router has ended".into()))
    }

    /// Notes who is at the other end, so that calls to it use this connection.
    fn identify(&self, core: &Shared, instance: &InstanceName) {
        let Some(own) = self.link.upgrade() else {
            return;
        };
        if let Some(own) = own.borrow_mut().as_mut()
            && own.instance.is_none()
        {
            own.instance = Some(instance.clone());
            core.borrow_mut().links.adopt(instance, &own.link);
        }
    }
}

impl peer::Server for PeerServer {
    async fn heartbeat(
        self: Rc<Self>,
        params: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> Result<(), Error> {
        let shared = self.core()?;
        let beat = read_heartbeat(params.get()?.get_beat()?)?;
        let (sender, wants_all) =
            (beat.sender.router.member.instance.clone(), beat.wants_all_updates);
        self.identify(&shared, &sender);
        let behind = shared.borrow_mut().take_beat(beat);
        let answer = shared.borrow_mut().make_beat(&sender, wants_all, false);
        write_heartbeat(results.get().init_beat(), &answer);
        if behind {
            follow::fetch_from(&shared, sender);
        }
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let shared = self.core()?;
        let reports = read_reports(params.get()?.get_reports()?)?;
        let mut core = shared.borrow_mut();
        core.counters.increment(super::Counter::ExchangesServed);
        let allocations: Vec<_> =
            reports.iter().filter_map(|report| core.owner_report(report)).collect();
        let answers = results.get().init_allocations(allocations.len() as u32);
        write_allocation_replies(answers, &allocations, &reports);
        Ok(())
    }

    async fn merge(
        self: Rc<Self>,
        params: peer::MergeParams,
        mut results: peer::MergeResults,
    ) -> Result<(), Error> {
        let shared = self.core()?;
        let rows = read_cost_tables(params.get()?.get_rows()?)?;
        let mut core = shared.borrow_mut();
        core.merge_rows(&rows);
        let services = rows.iter().map(|row| &row.shard.service);
        let own = core.owner_rows(&services.collect());
        let tables = group_by_shard_and_owner(&own);
        write_cost_tables(results.get().init_rows(tables.len() as u32), &tables);
        Ok(())
    }

    async fn allocate(
        self: Rc<Self>,
        params: peer::AllocateParams,
        _results: peer::AllocateResults,
    ) -> Result<(), Error> {
        let shared = self.core()?;
        for allocation in read_allocations(params.get()?.get_allocations()?)? {
            shared.borrow_mut().apply(allocation);
        }
        Ok(())
    }

    async fn fetch_config(
        self: Rc<Self>,
        params: peer::FetchConfigParams,
        mut results: peer::FetchConfigResults,
    ) -> Result<(), Error> {
        let shared = self.core()?;
        let since = Revision(params.get()?.get_since());
        let answer = shared.borrow().config.answer(since);
        let answer = answer.map_err(|error| Error::failed(error.to_string()))?;
        write_config(results.get().init_config(), &answer);
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: peer::ClaimParams,
        mut results: peer::ClaimResults,
    ) -> Result<(), Error> {
        let shared = self.core()?;
        let key = params.get()?.get_key()?.to_str()?;
        let lookup = shared.borrow().settings.minted.clone();
        let state = key.parse().map_or(MintedState::Unknown, |id| lookup(&id));
        results.get().set_state(state as u8);
        Ok(())
    }
}
