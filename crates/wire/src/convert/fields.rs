//! Conversion of fields that several messages contain.

use std::net::SocketAddr;

use capnp::text_list;
use span_fair::{ShardReport, SlotRow, VirtualTimeRow, WorkspaceRow};
use span_types::{Incarnation, InstanceName, Member, ShardId};

use super::ConvertError;
use crate::peer_capnp::{counts, member, numbers, shard, slots, standings};

/// Resolution of virtual times, which are sent as offsets from the lowest one. At
/// this resolution, an offset of up to 8,192 cost units per share fits into the
/// low part of a number. Finer steps are irrelevant, since requests cost hundreds
/// of units.
const VIRTUAL_TIME_STEPS_PER_UNIT: f64 = 8.0;

pub(super) fn write_member(mut to: member::Builder<'_>, from: &Member) {
    to.set_instance(from.instance.as_str());
    to.set_incarnation(from.incarnation.0);
}

pub(super) fn read_member(from: member::Reader<'_>) -> Result<Member, ConvertError> {
    let instance = from.get_instance()?.to_str()?;
    if instance.is_empty() {
        return Err(ConvertError::Missing("an instance name"));
    }
    Ok(Member {
        instance: InstanceName::from(instance),
        incarnation: Incarnation(from.get_incarnation()),
    })
}

pub(super) fn write_shard(mut to: shard::Builder<'_>, from: &ShardId) {
    to.set_service(from.service.as_str());
    to.set_index(from.index);
}

pub(super) fn read_shard(from: shard::Reader<'_>) -> Result<ShardId, ConvertError> {
    let service = from.get_service()?.to_str()?;
    if service.is_empty() {
        return Err(ConvertError::Missing("a service name"));
    }
    Ok(ShardId { service: service.into(), index: from.get_index() })
}

pub(super) fn read_address(text: capnp::text::Reader<'_>) -> Result<SocketAddr, ConvertError> {
    let text = text.to_str()?;
    text.parse().map_err(|_| ConvertError::InvalidAddress(text.to_owned()))
}

pub(super) fn write_names<'n>(
    mut to: text_list::Builder<'_>,
    names: impl Iterator<Item = &'n str>,
) {
    for (index, name) in (0..).zip(names) {
        to.set(index, name);
    }
}

pub(super) fn read_name<T: for<'a> From<&'a str>>(
    from: &text_list::Reader<'_>,
    index: u32,
) -> Result<T, ConvertError> {
    Ok(T::from(from.get(index)?.to_str()?))
}

/// Number of bits in the low part of a number.
const LOW_PART_BITS: u32 = 16;

/// Writes a column of numbers, split into low and high parts. The high parts
/// seldom change between messages and then compress well.
pub(super) fn write_number_column(
    mut to: numbers::Builder<'_>,
    from: impl ExactSizeIterator<Item = u64> + Clone,
) {
    let count = from.len() as u32;
    let mut low = to.reborrow().init_low(count);
    for (index, number) in (0..).zip(from.clone()) {
        low.set(index, number as u16);
    }
    let mut high = to.init_high(count);
    for (index, number) in (0..).zip(from) {
        high.set(index, number >> LOW_PART_BITS);
    }
}

/// Reads a column of numbers. `column` names it in errors, `rows` is its expected
/// length.
pub(super) fn read_number_column(
    column: &'static str,
    from: numbers::Reader<'_>,
    rows: u32,
) -> Result<Vec<u64>, ConvertError> {
    let (low, high) = (from.get_low()?, from.get_high()?);
    check_row_count(column, rows, low.len())?;
    check_row_count(column, rows, high.len())?;
    let number = |index| (high.get(index) << LOW_PART_BITS) | u64::from(low.get(index));
    Ok((0..rows).map(number).collect())
}

/// Writes a column of counts. Counts above 65,535 are capped, which does not
/// matter since a router has at most 4,096 connections.
pub(super) fn write_count_column(
    mut to: counts::Builder<'_>,
    from: impl ExactSizeIterator<Item = u32> + Clone,
) {
    let rows = from.len() as u32;
    let to_bytes = |count: u32| u16::try_from(count).unwrap_or(u16::MAX).to_le_bytes();
    let mut low = to.reborrow().init_low(rows);
    for (index, count) in (0..).zip(from.clone()) {
        low.set(index, to_bytes(count)[0]);
    }
    let mut high = to.init_high(rows);
    for (index, count) in (0..).zip(from) {
        high.set(index, to_bytes(count)[1]);
    }
}

/// Reads a column of counts. `column` names it in errors, `rows` is its expected
/// length.
pub(super) fn read_count_column(
    column: &'static str,
    from: counts::Reader<'_>,
    rows: u32,
) -> Result<Vec<u32>, ConvertError> {
    let (low, high) = (from.get_low()?, from.get_high()?);
    check_row_count(column, rows, low.len())?;
    check_row_count(column, rows, high.len())?;
    let count = |index| u32::from(u16::from_le_bytes([low.get(index), high.get(index)]));
    Ok((0..rows).map(count).collect())
}

/// Checks that a column is as long as the first column of its table.
fn check_row_count(column: &'static str, expected: u32, found: u32) -> Result<(), ConvertError> {
    if expected == found {
        Ok(())
    } else {
        Err(ConvertError::ColumnLength { column, expected, found })
    }
}

pub(super) fn write_slots(mut to: slots::Builder<'_>, from: &[SlotRow]) {
    let names = from.iter().map(|row| row.upstream.as_str());
    write_names(to.reborrow().init_upstreams(from.len() as u32), names);
    write_count_column(to.reborrow().init_held(), from.iter().map(|row| row.held));
    write_count_column(to.init_in_flight(), from.iter().map(|row| row.in_flight));
}

pub(super) fn read_slots(from: slots::Reader<'_>) -> Result<Vec<SlotRow>, ConvertError> {
    let upstreams = from.get_upstreams()?;
    let held = read_count_column("held slots", from.get_held()?, upstreams.len())?;
    let in_flight = read_count_column("slots in flight", from.get_in_flight()?, upstreams.len())?;
    let row = |index| {
        Ok(SlotRow {
            upstream: read_name(&upstreams, index)?,
            held: held[index as usize],
            in_flight: in_flight[index as usize],
        })
    };
    (0..upstreams.len()).map(row).collect()
}

/// Rounds a virtual time to the resolution of the standings. More precise bits
/// are noise that does not compress.
pub(super) fn round_virtual_time(virtual_time: f64) -> f64 {
    (virtual_time * VIRTUAL_TIME_STEPS_PER_UNIT).round() / VIRTUAL_TIME_STEPS_PER_UNIT
}

pub(super) fn check_finite(virtual_time: f64) -> Result<f64, ConvertError> {
    if virtual_time.is_finite() { Ok(virtual_time) } else { Err(ConvertError::NotFinite) }
}

pub(super) fn write_standings(mut to: standings::Builder<'_>, from: &[VirtualTimeRow]) {
    let base = from.iter().map(|row| row.virtual_time).fold(f64::INFINITY, f64::min);
    let base = if base.is_finite() { base.floor() } else { 0.0 };
    to.set_base(base);
    let names = from.iter().map(|row| row.workspace.as_str());
    write_names(to.reborrow().init_workspaces(from.len() as u32), names);
    let offset = |row: &VirtualTimeRow| {
        ((row.virtual_time - base) * VIRTUAL_TIME_STEPS_PER_UNIT).round() as u64
    };
    write_number_column(to.reborrow().init_offsets(), from.iter().map(offset));
    write_number_column(to.init_included_costs(), from.iter().map(|row| row.included_cost));
}

/// Writes the standings in the reply to `report`. Writes only the virtual times
/// if the rows match those of the report in order, name and cost.
pub(super) fn write_reply_standings(
    mut to: standings::Builder<'_>,
    from: &[VirtualTimeRow],
    report: &ShardReport,
) {
    write_standings(to.reborrow(), from);
    let is_same_row = |(row, reported): (&VirtualTimeRow, &WorkspaceRow)| {
        row.workspace == reported.workspace && row.included_cost == reported_cost(reported)
    };
    if from.len() == report.workspaces.len() && from.iter().zip(&report.workspaces).all(is_same_row)
    {
        to.reborrow().init_workspaces(0);
        to.init_included_costs();
    }
}

/// Reads the standings in the reply to `report`. Takes names and costs from the
/// report if the reply has none.
pub(super) fn read_reply_standings(
    from: standings::Reader<'_>,
    report: &ShardReport,
) -> Result<Vec<VirtualTimeRow>, ConvertError> {
    let rows = from.get_offsets()?.get_low()?.len();
    if rows == 0 || !from.get_workspaces()?.is_empty() {
        return read_standings(from);
    }
    check_row_count("virtual times", report.workspaces.len() as u32, rows)?;
    let base = check_finite(from.get_base())?;
    let offsets = read_number_column("virtual times", from.get_offsets()?, rows)?;
    let standing = |(reported, offset): (&WorkspaceRow, u64)| VirtualTimeRow {
        workspace: reported.workspace.clone(),
        virtual_time: base + offset as f64 / VIRTUAL_TIME_STEPS_PER_UNIT,
        included_cost: reported_cost(reported),
    };
    Ok(report.workspaces.iter().zip(offsets).map(standing).collect())
}

fn reported_cost(row: &WorkspaceRow) -> u64 {
    row.served_cost.saturating_add(row.reserved_cost)
}

pub(super) fn read_standings(
    from: standings::Reader<'_>,
) -> Result<Vec<VirtualTimeRow>, ConvertError> {
    let workspaces = from.get_workspaces()?;
    let base = check_finite(from.get_base())?;
    let rows = workspaces.len();
    let offsets = read_number_column("virtual times", from.get_offsets()?, rows)?;
    let included = read_number_column("included costs", from.get_included_costs()?, rows)?;
    let row = |index| {
        Ok(VirtualTimeRow {
            workspace: read_name(&workspaces, index)?,
            virtual_time: base + offsets[index as usize] as f64 / VIRTUAL_TIME_STEPS_PER_UNIT,
            included_cost: included[index as usize],
        })
    };
    (0..rows).map(row).collect()
}
