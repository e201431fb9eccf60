//! Allocations.

use capnp::struct_list;
use span_fair::{Allocation, ShardReport};

use super::{
    ConvertError,
    shared::{
        finite, read_answer_standings, read_member, read_shard, read_slots, read_standings,
        rounded, write_answer_standings, write_member, write_shard, write_slots, write_standings,
    },
};
use crate::peer_capnp::allocation;

/// Writes an allocation. Virtual times are rounded to 1/8.
pub fn write_allocation(mut to: allocation::Builder<'_>, from: &Allocation) {
    write_head(to.reborrow(), from);
    write_standings(to.init_standings(), &from.standings);
}

fn write_head(mut to: allocation::Builder<'_>, from: &Allocation) {
    write_shard(to.reborrow().init_shard(), &from.shard);
    write_member(to.reborrow().init_owner(), &from.owner);
    to.set_seq(from.seq);
    to.set_answers(from.answers);
    to.set_virtual_time(rounded(from.virtual_time));
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
/// [`ConvertError`] if the message is damaged or inconsistent.
pub fn read_allocation(from: allocation::Reader<'_>) -> Result<Allocation, ConvertError> {
    let standings = read_standings(from.get_standings()?)?;
    Ok(Allocation { standings, ..read_head(from)? })
}

fn read_head(from: allocation::Reader<'_>) -> Result<Allocation, ConvertError> {
    Ok(Allocation {
        shard: read_shard(from.get_shard()?)?,
        owner: read_member(from.get_owner()?)?,
        seq: from.get_seq(),
        answers: from.get_answers(),
        virtual_time: finite(from.get_virtual_time())?,
        valid_for_ms: from.get_valid_for_ms(),
        next_report_ms: from.get_next_report_ms(),
        saturated: from.get_saturated(),
        confirm: from.get_confirm(),
        slots: read_slots(from.get_slots()?)?,
        standings: Vec::new(),
    })
}

/// Writes the allocations that answer `reports` into a list of the same length.
/// What a report said is not said again.
pub fn write_allocation_replies(
    mut to: struct_list::Builder<'_, allocation::Owned>,
    from: &[Allocation],
    reports: &[ShardReport],
) {
    for (index, row) in (0..).zip(from) {
        let mut to = to.reborrow().get(index);
        match reports.iter().find(|report| report.shard == row.shard) {
            Some(report) => {
                write_head(to.reborrow(), row);
                write_answer_standings(to.init_standings(), &row.standings, report);
            }
            None => write_allocation(to, row),
        }
    }
}

/// Reads the allocations that answer `reports`.
///
/// # Errors
///
/// As [`read_allocation`].
pub fn read_allocation_replies(
    from: struct_list::Reader<'_, allocation::Owned>,
    reports: &[ShardReport],
) -> Result<Vec<Allocation>, ConvertError> {
    let read = |row: allocation::Reader<'_>| {
        let head = read_head(row)?;
        let standings = row.get_standings()?;
        let standings = match reports.iter().find(|report| report.shard == head.shard) {
            Some(report) => read_answer_standings(standings, report)?,
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
/// As [`read_allocation`].
pub fn read_allocations(
    from: struct_list::Reader<'_, allocation::Owned>,
) -> Result<Vec<Allocation>, ConvertError> {
    from.iter().map(read_allocation).collect()
}
