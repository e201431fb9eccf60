//! Admission control of a service: its lanes, and what they have in common.

use std::collections::BTreeMap;

use span_types::WorkspaceName;
use strum::{EnumCount, IntoEnumIterator};

use crate::{
    admission::{Admission, AdmissionRequest, DispatchedRequest, Rejection, SlotCounts, Ticket},
    lane::Lane,
};

/// Identifies a request of a service that waits for a slot or has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LaneTicket {
    /// Lane of the request.
    pub lane: Lane,
    /// Its ticket there.
    pub ticket: Ticket,
}

/// The requests of a service that wait at this router for a slot.
///
/// Each lane holds a workspace to its whole share of the service: which part of the share
/// it uses in which lane is up to the workspace. While upstreams name limits on requests
/// per second, there is no capacity to spare for a workspace that uses its share once in
/// each lane, so a request then counts in all of them.
#[derive(Debug, Default)]
pub struct ServiceAdmission {
    lanes: [Admission; Lane::COUNT],
}

impl ServiceAdmission {
    /// Admission control of one lane.
    pub fn lane(&self, lane: Lane) -> &Admission {
        &self.lanes[lane as usize]
    }

    /// Adds a request to the queue of a lane, unless it cannot be dispatched in time.
    ///
    /// # Errors
    ///
    /// The request is rejected and will not run.
    pub fn enqueue(
        &mut self,
        now_ms: u64,
        lane: Lane,
        slots: SlotCounts,
        request: &AdmissionRequest,
    ) -> Result<LaneTicket, Rejection> {
        let ticket = self.lanes[lane as usize].enqueue(now_ms, slots, request)?;
        Ok(LaneTicket { lane, ticket })
    }

    /// Admits a request that takes up a stream. It does not wait: the returned ticket counts
    /// as dispatched.
    ///
    /// # Errors
    ///
    /// The request is rejected and will not run.
    pub fn admit_now(
        &mut self,
        now_ms: u64,
        lane: Lane,
        slots: SlotCounts,
        request: &AdmissionRequest,
    ) -> Result<LaneTicket, Rejection> {
        let ticket = self.lanes[lane as usize].admit_now(now_ms, slots, request)?;
        if slots.is_limited {
            self.charge_other_lanes(now_ms, lane, &request.workspace, request.cost, true);
        }
        Ok(LaneTicket { lane, ticket })
    }

    /// Removes the next request from the queue of a lane, if a slot is free for it.
    pub fn dispatch(&mut self, now_ms: u64, lane: Lane, slots: SlotCounts) -> Option<LaneTicket> {
        let dispatched = self.lanes[lane as usize].dispatch(now_ms, slots)?;
        let DispatchedRequest { ticket, workspace, cost } = dispatched;
        if slots.is_limited {
            self.charge_other_lanes(now_ms, lane, &workspace, cost, false);
        }
        Some(LaneTicket { lane, ticket })
    }

    fn charge_other_lanes(
        &mut self,
        now_ms: u64,
        lane: Lane,
        workspace: &WorkspaceName,
        cost: u64,
        takes_up: bool,
    ) {
        for other in Lane::iter().filter(|other| *other != lane) {
            self.lanes[other as usize].charge(now_ms, workspace, cost, takes_up);
        }
    }

    /// Removes a waiting request. Returns false if it has been dispatched.
    pub fn cancel(&mut self, ticket: LaneTicket) -> bool {
        self.lanes[ticket.lane as usize].cancel(ticket.ticket)
    }

    /// Sets the limits of workspaces whose demand exceeds their share, in cost units per
    /// second. Other workspaces have no limit.
    pub fn set_limits(&mut self, now_ms: u64, limits: &BTreeMap<WorkspaceName, f64>) {
        for lane in &mut self.lanes {
            lane.set_limits(now_ms, limits);
        }
    }

    /// Removes the waiting requests of workspaces that are not in `names`, and returns
    /// them; they did not run. Requests without a key stay.
    pub fn retain_workspaces(&mut self, names: &[WorkspaceName]) -> Vec<LaneTicket> {
        let mut removed = Vec::new();
        for lane in Lane::iter() {
            let tickets = self.lanes[lane as usize].retain_workspaces(names);
            removed.extend(tickets.into_iter().map(|ticket| LaneTicket { lane, ticket }));
        }
        removed
    }
}
