//! Conversion of the reports that routers send to shard owners.

use capnp::struct_list;
use span_fair::{ShardReport, WorkspaceRow};

use super::{
    ConvertError,
    fields::{
        read_count_column, read_member, read_name, read_number_column, read_shard, read_slots,
        read_standings, write_count_column, write_member, write_names, write_number_column,
        write_shard, write_slots, write_standings,
    },
};
use crate::peer_capnp::report;

/// Writes a report.
pub fn write_report(mut to: report::Builder<'_>, from: &ShardReport) {
    write_shard(to.reborrow().init_shard(), &from.shard);
    write_member(to.reborrow().init_router(), &from.router);
    if let Some(owner) = &from.applied_owner {
        write_member(to.reborrow().init_applied_owner(), owner);
    }
    to.set_applied_seq(from.applied_seq);
    to.set_seq(from.seq);
    to.set_max_cost(from.max_cost);
    to.set_max_rate(from.max_rate);
    let rows = &from.workspaces;
    let count = rows.len() as u32;
    write_names(
        to.reborrow().init_workspaces(count),
        rows.iter().map(|row| row.workspace.as_str()),
    );
    let served = rows.iter().map(|row| row.served_cost);
    write_number_column(to.reborrow().init_served_costs(), served);
    let reserved = rows.iter().map(|row| row.reserved_cost);
    write_number_column(to.reborrow().init_reserved_costs(), reserved);
    write_count_column(to.reborrow().init_in_flight(), rows.iter().map(|row| row.in_flight));
    write_count_column(to.reborrow().init_waiting(), rows.iter().map(|row| row.waiting));
    write_slots(to.reborrow().init_slots(), &from.slots);
    if !from.standings.is_empty() {
        write_standings(to.init_standings(), &from.standings);
    }
}

/// Reads a report.
///
/// # Errors
///
/// Fails if the message is malformed or inconsistent.
pub fn read_report(from: report::Reader<'_>) -> Result<ShardReport, ConvertError> {
    let applied_owner = match from.has_applied_owner() {
        true => Some(read_member(from.get_applied_owner()?)?),
        false => None,
    };
    Ok(ShardReport {
        shard: read_shard(from.get_shard()?)?,
        router: read_member(from.get_router()?)?,
        seq: from.get_seq(),
        max_cost: from.get_max_cost(),
        max_rate: from.get_max_rate(),
        applied_owner,
        applied_seq: from.get_applied_seq(),
        workspaces: read_workspaces(from)?,
        slots: read_slots(from.get_slots()?)?,
        standings: read_standings(from.get_standings()?)?,
    })
}

fn read_workspaces(from: report::Reader<'_>) -> Result<Vec<WorkspaceRow>, ConvertError> {
    let names = from.get_workspaces()?;
    let rows = names.len();
    let served = read_number_column("served costs", from.get_served_costs()?, rows)?;
    let reserved = read_number_column("reserved costs", from.get_reserved_costs()?, rows)?;
    let in_flight = read_count_column("requests in flight", from.get_in_flight()?, rows)?;
    let waiting = read_count_column("waiting requests", from.get_waiting()?, rows)?;
    let row = |index| {
        Ok(WorkspaceRow {
            workspace: read_name(&names, index)?,
            served_cost: served[index as usize],
            reserved_cost: reserved[index as usize],
            in_flight: in_flight[index as usize],
            waiting: waiting[index as usize],
        })
    };
    (0..names.len()).map(row).collect()
}

/// Writes reports into a list of the same length.
pub fn write_reports(mut to: struct_list::Builder<'_, report::Owned>, from: &[ShardReport]) {
    for (index, row) in (0..).zip(from) {
        write_report(to.reborrow().get(index), row);
    }
}

/// Reads a list of reports.
///
/// # Errors
///
/// The errors of [`read_report`].
pub fn read_reports(
    from: struct_list::Reader<'_, report::Owned>,
) -> Result<Vec<ShardReport>, ConvertError> {
    from.iter().map(read_report).collect()
}
