//! Conversion of allocations.

use capnp::struct_list;
use span_fair::{Allocation, ShardReport};

use super::{
    ConvertError,
    fields::{
        check_finite, read_member, read_reply_standings, read_shard, read_slots, read_standings,
        round_virtual_time, write_member, write_reply_standings, write_shard, write_slots,
        write_standings,
    },
};
use crate::peer_capnp::allocation;

/// Writes an allocation. Rounds virtual times to 1/8 cost unit per share.
pub fn write_allocation(mut to: allocation::Builder<'_>, from: &Allocation) {
    write_all_but_standings(to.reborrow(), from);
    write_standings(to.init_standings(), &from.standings);
}

fn write_all_but_standings(mut to: allocation::Builder<'_>, from: &Allocation) {
    write_shard(to.reborrow().init_shard(), &from.shard);
    write_member(to.reborrow().init_owner(), &from.owner);
    to.set_seq(from.seq);
    to.set_answers(from.answers);
    to.set_virtual_time(round_virtual_time(from.virtual_time));
    to.set_valid_for_ms(from.valid_for_ms);
    to.set_next_report_ms(from.next_report_ms);
    to.set_saturated(from.saturated);
    to.set_confirm(from.confirm);
    write_slots(to.init_slots(), &from.slots);
}

/// Reads an allocation.
///
/// # Errors
///
/// Fails if the message is malformed or inconsistent.
pub fn read_allocation(from: allocation::Reader<'_>) -> Result<Allocation, ConvertError> {
    let standings = read_standings(from.get_standings()?)?;
    Ok(Allocation { standings, ..read_all_but_standings(from)? })
}

fn read_all_but_standings(from: allocation::Reader<'_>) -> Result<Allocation, ConvertError> {
    Ok(Allocation {
        shard: read_shard(from.get_shard()?)?,
        owner: read_member(from.get_owner()?)?,
        seq: from.get_seq(),
        answers: from.get_answers(),
        virtual_time: check_finite(from.get_virtual_time())?,
        valid_for_ms: from.get_valid_for_ms(),
        next_report_ms: from.get_next_report_ms(),
        saturated: from.get_saturated(),
        confirm: from.get_confirm(),
        slots: read_slots(from.get_slots()?)?,
        standings: Vec::new(),
    })
}

/// Writes the allocations that reply to `reports` into a list of the same length.
/// Leaves out names and costs that the receiver can take from its report.
pub fn write_allocation_replies(
    mut to: struct_list::Builder<'_, allocation::Owned>,
    from: &[Allocation],
    reports: &[ShardReport],
) {
    for (index, row) in (0..).zip(from) {
        let mut to = to.reborrow().get(index);
        match reports.iter().find(|report| report.shard == row.shard) {
            Some(report) => {
                write_all_but_standings(to.reborrow(), row);
                write_reply_standings(to.init_standings(), &row.standings, report);
            }
            None => write_allocation(to, row),
        }
    }
}

/// Reads the allocations that reply to `reports`.
///
/// # Errors
///
/// The errors of [`read_allocation`].
pub fn read_allocation_replies(
    from: struct_list::Reader<'_, allocation::Owned>,
    reports: &[ShardReport],
) -> Result<Vec<Allocation>, ConvertError> {
    let read = |row: allocation::Reader<'_>| {
        let head = read_all_but_standings(row)?;
        let standings = row.get_standings()?;
        let standings = match reports.iter().find(|report| report.shard == head.shard) {
            Some(report) => read_reply_standings(standings, report)?,
            None => read_standings(standings)?,
        };
        Ok(Allocation { standings, ..head })
    };
    from.iter().map(read).collect()
}

/// Writes allocations into a list of the same length.
pub fn write_allocations(mut to: struct_list::Builder<'_, allocation::Owned>, from: &[Allocation]) {
    for (index, row) in (0..).zip(from) {
        write_allocation(to.reborrow().get(index), row);
    }
}

/// Reads a list of allocations.
///
/// # Errors
///
/// The errors of [`read_allocation`].
pub fn read_allocations(
    from: struct_list::Reader<'_, allocation::Owned>,
) -> Result<Vec<Allocation>, ConvertError> {
    from.iter().map(read_allocation).collect()
}
