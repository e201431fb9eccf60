//! Parts that several messages contain.

use std::net::SocketAddr;

use capnp::{primitive_list, text_list};
use span_fair::{SlotRow, Standing};
use span_types::{Incarnation, InstanceName, Member, ShardId};

use super::ConvertError;
use crate::peer_capnp::{member, shard, slots, standings};

/// Standings travel as offsets from the lowest virtual time in this unit.
const STEPS_PER_UNIT: f64 = 256.0;

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
    text.parse().map_err(|_| ConvertError::Address(text.to_owned()))
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

pub(super) fn write_numbers<T>(
    mut to: primitive_list::Builder<'_, T>,
    numbers: impl Iterator<Item = T>,
) where
    T: capnp::private::layout::PrimitiveElement + capnp::introspect::Introspect,
{
    for (index, number) in (0..).zip(numbers) {
        to.set(index, number);
    }
}

/// Checks that a column is as long as the first one of its table.
pub(super) fn same_length(
    column: &'static str,
    expected: u32,
    found: u32,
) -> Result<(), ConvertError> {
    if expected == found { Ok(()) } else { Err(ConvertError::Columns { column, expected, found }) }
}

pub(super) fn write_slots(mut to: slots::Builder<'_>, from: &[SlotRow]) {
    let rows = from.len() as u32;
    let names = from.iter().map(|row| row.upstream.as_str());
    write_names(to.reborrow().init_upstreams(rows), names);
    write_numbers(to.reborrow().init_held(rows), from.iter().map(|row| narrow(row.held)));
    write_numbers(to.init_in_flight(rows), from.iter().map(|row| narrow(row.in_flight)));
}

/// A router has at most 4,096 connections, so a larger number of slots at one
/// upstream makes no difference to it.
fn narrow(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

pub(super) fn read_slots(from: slots::Reader<'_>) -> Result<Vec<SlotRow>, ConvertError> {
    let upstreams = from.get_upstreams()?;
    let (held, in_flight) = (from.get_held()?, from.get_in_flight()?);
    same_length("held slots", upstreams.len(), held.len())?;
    same_length("slots in flight", upstreams.len(), in_flight.len())?;
    let row = |index| {
        Ok(SlotRow {
            upstream: read_name(&upstreams, index)?,
            held: held.get(index).into(),
            in_flight: in_flight.get(index).into(),
        })
    };
    (0..upstreams.len()).map(row).collect()
}

/// Rounds a virtual time to the unit of the standings; the bits below are
/// noise that cannot be compressed.
pub(super) fn rounded(virtual_time: f64) -> f64 {
    (virtual_time * STEPS_PER_UNIT).round() / STEPS_PER_UNIT
}

pub(super) fn finite(virtual_time: f64) -> Result<f64, ConvertError> {
    if virtual_time.is_finite() { Ok(virtual_time) } else { Err(ConvertError::NotFinite) }
}

pub(super) fn write_standings(mut to: standings::Builder<'_>, from: &[Standing]) {
    let rows = from.len() as u32;
    let base = from.iter().map(|row| row.virtual_time).fold(f64::INFINITY, f64::min);
    let base = if base.is_finite() { base.floor() } else { 0.0 };
    to.set_base(base);
    let names = from.iter().map(|row| row.workspace.as_str());
    write_names(to.reborrow().init_workspaces(rows), names);
    let offsets =
        from.iter().map(|row| ((row.virtual_time - base) * STEPS_PER_UNIT).round() as u64);
    write_numbers(to.reborrow().init_offsets(rows), offsets);
    write_numbers(to.init_included_costs(rows), from.iter().map(|row| row.included_cost));
}

pub(super) fn read_standings(from: standings::Reader<'_>) -> Result<Vec<Standing>, ConvertError> {
    let workspaces = from.get_workspaces()?;
    let (offsets, included) = (from.get_offsets()?, from.get_included_costs()?);
    let base = finite(from.get_base())?;
    same_length("virtual times", workspaces.len(), offsets.len())?;
    same_length("included costs", workspaces.len(), included.len())?;
    let row = |index| {
        Ok(Standing {
            workspace: read_name(&workspaces, index)?,
            virtual_time: base + offsets.get(index) as f64 / STEPS_PER_UNIT,
            included_cost: included.get(index),
        })
    };
    (0..workspaces.len()).map(row).collect()
}
