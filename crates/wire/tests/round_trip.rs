//! Messages that must survive a round trip, and messages that must be rejected.

mod common;

use capnp::{
    message::{Builder, Reader, ReaderOptions},
    serialize,
};
use span_fair::{Allocation, ShardCostRow, ShardReport};
use span_types::{Revision, ShardId};
use span_wire::{
    ConfigBody, ConfigReply, ConvertError, group_by_shard_and_owner, peer_capnp, read_allocation,
    read_allocation_replies, read_config, read_cost_tables, read_heartbeat, read_report,
    write_allocation, write_allocation_replies, write_config, write_cost_tables, write_heartbeat,
    write_report,
};

type Message = Reader<serialize::OwnedSegments>;

fn serialize_and_parse(builder: &Builder<capnp::message::HeapAllocator>) -> Message {
    let bytes = serialize::write_message_to_words(builder);
    parse(&bytes).expect("a complete message")
}

fn parse(mut bytes: &[u8]) -> capnp::Result<Message> {
    serialize::read_message(&mut bytes, ReaderOptions::new())
}

fn round_trip_report(report: &ShardReport) -> ShardReport {
    let mut builder = Builder::new_default();
    write_report(builder.init_root(), report);
    let message = serialize_and_parse(&builder);
    read_report(message.get_root().expect("root")).expect("valid")
}

/// Guards against a column that is lost, swapped or truncated.
#[test]
fn report_round_trip() {
    let full = common::report(16, 18, 7);
    let cases = [
        full.clone(),
        ShardReport { applied_owner: None, applied_seq: 0, ..full.clone() },
        ShardReport { standings: common::standings(16, 3), ..full.clone() },
        ShardReport { workspaces: Vec::new(), slots: Vec::new(), ..full },
    ];
    for case in cases {
        assert_eq!(round_trip_report(&case), case);
    }
}

/// Guards against standings whose order or offsets change.
#[test]
fn allocation_round_trip() {
    let full = common::allocation(16, 18, 7);
    let mut empty = full.clone();
    empty.standings.clear();
    empty.slots.clear();
    let mut large_offset = full.clone();
    large_offset.standings[3].virtual_time = 1e12;
    for case in [full, empty, large_offset] {
        let mut builder = Builder::new_default();
        write_allocation(builder.init_root(), &case);
        let message = serialize_and_parse(&builder);
        assert_eq!(read_allocation(message.get_root().expect("root")).expect("valid"), case);
    }
}

/// Guards against standings that are taken from the report although the owner
/// replied with others.
#[test]
fn allocation_reply_round_trip() {
    let report = common::report(16, 18, 7);
    let full = Allocation {
        standings: common::reply_standings(&report, 7),
        ..common::allocation(16, 18, 7)
    };
    let mut costs_differ = full.clone();
    costs_differ.standings[3].included_cost += 1;
    let mut fewer = full.clone();
    fewer.standings.pop();
    let mut reordered = full.clone();
    reordered.standings.swap(2, 5);
    let none = Allocation { standings: Vec::new(), ..full.clone() };
    let mut other_shard = full.clone();
    other_shard.shard.index = 4;
    for case in [full, costs_differ, fewer, reordered, none, other_shard] {
        let mut builder = Builder::new_default();
        let params: peer_capnp::peer::allocate_params::Builder<'_> = builder.init_root();
        let (rows, reports) = ([case.clone()], [report.clone()]);
        write_allocation_replies(params.init_allocations(1), &rows, &reports);
        let message = serialize_and_parse(&builder);
        let params: peer_capnp::peer::allocate_params::Reader<'_> =
            message.get_root().expect("root");
        let read = read_allocation_replies(params.get_allocations().expect("rows"), &reports);
        assert_eq!(read.expect("valid"), rows);
    }
}

/// Guards against heartbeats that lose an address or a piggybacked update.
#[test]
fn heartbeat_round_trip() {
    let mut with_updates = common::heartbeat(9);
    with_updates.updates = vec![common::update("router-3"), common::update("router-4")];
    with_updates.wants_all_updates = true;
    for case in [common::heartbeat(0), with_updates] {
        let mut builder = Builder::new_default();
        write_heartbeat(builder.init_root(), &case);
        let message = serialize_and_parse(&builder);
        assert_eq!(read_heartbeat(message.get_root().expect("root")).expect("valid"), case);
    }
}

/// Guards against a configuration reply of one kind that is read as another.
#[test]
fn config_reply_round_trip() {
    let bodies = [
        ConfigBody::Current,
        ConfigBody::Delta(b"delta".to_vec()),
        ConfigBody::Document(b"document".to_vec()),
    ];
    for body in bodies {
        let case = ConfigReply { revision: Revision(12), body };
        let mut builder = Builder::new_default();
        write_config(builder.init_root(), &case);
        let message = serialize_and_parse(&builder);
        assert_eq!(read_config(message.get_root().expect("root")).expect("valid"), case);
    }
}

/// Guards against costs that are assigned to the wrong shard, owner or workspace.
#[test]
fn cost_table_round_trip() {
    let row = |index: u32| ShardCostRow {
        shard: ShardId { index: index / 4, ..common::shard() },
        owner: common::member("router-2"),
        workspace: format!("workspace-{index}").into(),
        cost: u64::from(index) * 1_000,
    };
    let rows: Vec<ShardCostRow> = (0..9).map(row).collect();
    let tables = group_by_shard_and_owner(&rows);
    assert_eq!(tables.len(), 3);
    let mut builder = Builder::new_default();
    let params: peer_capnp::peer::merge_params::Builder<'_> = builder.init_root();
    write_cost_tables(params.init_rows(tables.len() as u32), &tables);
    let message = serialize_and_parse(&builder);
    let params: peer_capnp::peer::merge_params::Reader<'_> = message.get_root().expect("root");
    assert_eq!(read_cost_tables(params.get_rows().expect("rows")).expect("valid"), rows);
}

/// A change that makes a message invalid, and the error that must follow.
struct InvalidAllocation {
    name: &'static str,
    corrupt: fn(peer_capnp::allocation::Builder<'_>),
    is_expected: fn(&ConvertError) -> bool,
}

const INVALID_ALLOCATIONS: [InvalidAllocation; 5] = [
    InvalidAllocation {
        name: "columns of different lengths",
        corrupt: |message| {
            let slots = message.get_slots().expect("slots");
            slots.init_held().init_low(1);
        },
        is_expected: |error| matches!(error, ConvertError::ColumnLength { .. }),
    },
    InvalidAllocation {
        name: "a virtual time that is not a number",
        corrupt: |message| {
            let mut standings = message.get_standings().expect("standings");
            standings.set_base(f64::NAN);
        },
        is_expected: |error| matches!(error, ConvertError::NotFinite),
    },
    InvalidAllocation {
        name: "no service name",
        corrupt: |message| {
            message.init_shard();
        },
        is_expected: |error| matches!(error, ConvertError::Missing(_)),
    },
    InvalidAllocation {
        name: "no owner",
        corrupt: |message| {
            message.init_owner();
        },
        is_expected: |error| matches!(error, ConvertError::Missing(_)),
    },
    InvalidAllocation {
        name: "a name that is not UTF-8",
        corrupt: |message| {
            let mut owner = message.get_owner().expect("owner");
            owner.set_instance(capnp::text::Reader(b"\xff\xfe"));
        },
        is_expected: |error| matches!(error, ConvertError::InvalidUtf8(_)),
    },
];

/// Guards against a peer whose invalid message makes the control thread panic or
/// brings in values that later computations cannot handle.
#[test]
fn invalid_allocations_are_rejected() {
    for case in INVALID_ALLOCATIONS {
        let mut builder = Builder::new_default();
        write_allocation(builder.init_root(), &common::allocation(4, 4, 1));
        (case.corrupt)(builder.get_root().expect("root"));
        let message = serialize_and_parse(&builder);
        let error = read_allocation(message.get_root().expect("root")).expect_err(case.name);
        assert!((case.is_expected)(&error), "{}: {error}", case.name);
    }
}

/// Guards against a panic on a message that is truncated or corrupted at any
/// position.
#[test]
fn truncated_and_corrupted_messages_do_not_panic() {
    let mut builder = Builder::new_default();
    write_report(builder.init_root(), &common::report(4, 4, 1));
    let bytes = serialize::write_message_to_words(&builder);
    for length in 0..bytes.len() {
        assert!(parse(&bytes[..length]).is_err(), "truncated at {length}");
    }
    for position in 0..bytes.len() {
        for mask in [0x01, 0x80, 0xff] {
            let mut corrupted = bytes.clone();
            corrupted[position] ^= mask;
            let Ok(message) = parse(&corrupted) else { continue };
            // May succeed: a reader cannot detect a changed number.
            let _ = message.get_root().map(read_report);
        }
    }
}

/// Guards against a member state of a later version that is taken for a known
/// one.
#[test]
fn unknown_member_state_is_rejected() {
    let mut builder = Builder::new_default();
    write_heartbeat(builder.init_root(), &common::heartbeat(1));
    let root: peer_capnp::heartbeat::Builder<'_> = builder.get_root().expect("root");
    root.get_sender().expect("sender").set_state(17);
    let message = serialize_and_parse(&builder);
    let error =
        read_heartbeat(message.get_root().expect("root")).expect_err("the state is rejected");
    assert!(matches!(error, ConvertError::UnknownMemberState(17)), "{error}");
}
