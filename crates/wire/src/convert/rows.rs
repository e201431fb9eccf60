//! Counters between the owners of a service's shards.

use super::{
    ConvertError,
    shared::{
        read_member, read_name, read_shard, same_length, write_member, write_names, write_numbers,
        write_shard,
    },
};
use crate::{OwnerRow, OwnerRows, peer_capnp::rows};

/// Writes the rows of an owner.
pub fn write_rows(mut to: rows::Builder<'_>, from: &OwnerRows) {
    write_shard(to.reborrow().init_shard(), &from.shard);
    write_member(to.reborrow().init_owner(), &from.owner);
    let count = from.rows.len() as u32;
    write_names(
        to.reborrow().init_workspaces(count),
        from.rows.iter().map(|row| row.workspace.as_str()),
    );
    write_numbers(to.reborrow().init_costs(count), from.rows.iter().map(|row| row.cost));
    write_numbers(to.init_backlogged(count), from.rows.iter().map(|row| row.backlogged));
}

/// Reads the rows of an owner.
///
/// # Errors
///
/// [`ConvertError`] if the message is damaged or inconsistent.
pub fn read_rows(from: rows::Reader<'_>) -> Result<OwnerRows, ConvertError> {
    let names = from.get_workspaces()?;
    let (costs, backlogged) = (from.get_costs()?, from.get_backlogged()?);
    same_length("costs", names.len(), costs.len())?;
    same_length("backlogged workspaces", names.len(), backlogged.len())?;
    let row = |index| {
        Ok(OwnerRow {
            workspace: read_name(&names, index)?,
            cost: costs.get(index),
            backlogged: backlogged.get(index),
        })
    };
    Ok(OwnerRows {
        shard: read_shard(from.get_shard()?)?,
        owner: read_member(from.get_owner()?)?,
        rows: (0..names.len()).map(row).collect::<Result<_, ConvertError>>()?,
    })
}
