//! Counters between the owners of a service's shards.

use capnp::struct_list;
use span_fair::ShardCostRow;

use super::{
    ConvertError,
    shared::{
        read_member, read_name, read_numbers, read_shard, write_member, write_names, write_numbers,
        write_shard,
    },
};
use crate::peer_capnp::rows;

/// Splits rows into tables, one per shard and owner, as they travel.
pub fn group_by_shard_and_owner(rows: &[ShardCostRow]) -> Vec<&[ShardCostRow]> {
    rows.chunk_by(|a, b| a.shard == b.shard && a.owner == b.owner).collect()
}

/// Writes tables into a list of the same length.
pub fn write_cost_tables(mut to: struct_list::Builder<'_, rows::Owned>, from: &[&[ShardCostRow]]) {
    for (index, table) in (0..).zip(from) {
        write_table(to.reborrow().get(index), table);
    }
}

fn write_table(mut to: rows::Builder<'_>, from: &[ShardCostRow]) {
    let Some(first) = from.first() else {
        return;
    };
    write_shard(to.reborrow().init_shard(), &first.shard);
    write_member(to.reborrow().init_owner(), &first.owner);
    let count = from.len() as u32;
    let names = from.iter().map(|row| row.workspace.as_str());
    write_names(to.reborrow().init_workspaces(count), names);
    write_numbers(to.init_costs(), from.iter().map(|row| row.cost));
}

/// Reads a list of tables.
///
/// # Errors
///
/// [`ConvertError`] if the message is damaged or inconsistent.
pub fn read_cost_tables(
    from: struct_list::Reader<'_, rows::Owned>,
) -> Result<Vec<ShardCostRow>, ConvertError> {
    let mut rows = Vec::new();
    for table in from {
        read_table(table, &mut rows)?;
    }
    Ok(rows)
}

fn read_table(from: rows::Reader<'_>, rows: &mut Vec<ShardCostRow>) -> Result<(), ConvertError> {
    let names = from.get_workspaces()?;
    let costs = read_numbers("costs", from.get_costs()?, names.len())?;
    let shard = read_shard(from.get_shard()?)?;
    let owner = read_member(from.get_owner()?)?;
    for index in 0..names.len() {
        rows.push(ShardCostRow {
            shard: shard.clone(),
            owner: owner.clone(),
            workspace: read_name(&names, index)?,
            cost: costs[index as usize],
        });
    }
    Ok(())
}
