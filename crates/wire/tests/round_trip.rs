//! Conversions there and back, and messages that must be refused.

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

fn transport(builder: &Builder<capnp::message::HeapAllocator>) -> Message {
    let bytes = serialize::write_message_to_words(builder);
    parse(&bytes).expect("a whole message")
}

fn parse(mut bytes: &[u8]) -> capnp::Result<Message> {
    serialize::read_message(&mut bytes, ReaderOptions::new())
}

fn through_report(report: &ShardReport) -> ShardReport {
    let mut builder = Builder::new_default();
    write_report(builder.init_root(), report);
    let message = transport(&builder);
    read_report(message.get_root().expect("root")).expect("valid")
}

/// Guards against a column that is lost, swapped or cut.
#[test]
fn reports() {
    let full = common::report(16, 18, 7);
    let cases = [
        full.clone(),
        ShardReport { applied_owner: None, applied_seq: 0, ..full.clone() },
        ShardReport { standings: common::standings(16, 3), ..full.clone() },
        ShardReport { workspaces: Vec::new(), slots: Vec::new(), ..full },
    ];
    for case in cases {
        assert_eq!(through_report(&case), case);
    }
}

/// Guards against standings that lose their order or distance in transport.
#[test]
fn allocations() {
    let full = common::allocation(16, 18, 7);
    let mut empty = full.clone();
    empty.standings.clear();
    empty.slots.clear();
    let mut far = full.clone();
    far.standings[3].virtual_time = 1e12;
    for case in [full, empty, far] {
        let mut builder = Builder::new_default();
        write_allocation(builder.init_root(), &case);
        let message = transport(&builder);
        assert_eq!(read_allocation(message.get_root().expect("root")).expect("valid"), case);
    }
}

/// Guards against standings that are filled in from the report although the
/// owner said something else.
#[test]
fn answers() {
    let report = common::report(16, 18, 7);
    let full =
        Allocation { standings: common::answered(&report, 7), ..common::allocation(16, 18, 7) };
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
        let message = transport(&builder);
        let params: peer_capnp::peer::allocate_params::Reader<'_> =
            message.get_root().expect("root");
        let read = read_allocation_replies(params.get_allocations().expect("rows"), &reports);
        assert_eq!(read.expect("valid"), rows);
    }
}

/// Guards against heartbeats that lose an address or a piggybacked update.
#[test]
fn heartbeats() {
    let mut busy = common::heartbeat(9);
    busy.updates = vec![common::update("router-3"), common::update("router-4")];
    busy.wants_all_updates = true;
    for case in [common::heartbeat(0), busy] {
        let mut builder = Builder::new_default();
        write_heartbeat(builder.init_root(), &case);
        let message = transport(&builder);
        assert_eq!(read_heartbeat(message.get_root().expect("root")).expect("valid"), case);
    }
}

/// Guards against configurations of one kind that arrive as another.
#[test]
fn configurations() {
    let bodies = [
        ConfigBody::Current,
        ConfigBody::Delta(b"delta".to_vec()),
        ConfigBody::Document(b"document".to_vec()),
    ];
    for body in bodies {
        let case = ConfigReply { revision: Revision(12), body };
        let mut builder = Builder::new_default();
        write_config(builder.init_root(), &case);
        let message = transport(&builder);
        assert_eq!(read_config(message.get_root().expect("root")).expect("valid"), case);
    }
}

/// Guards against counters of shard owners that are mixed up.
#[test]
fn owner_rows() {
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
    let message = transport(&builder);
    let params: peer_capnp::peer::merge_params::Reader<'_> = message.get_root().expect("root");
    assert_eq!(read_cost_tables(params.get_rows().expect("rows")).expect("valid"), rows);
}

/// A fault in a message and the error that it has to produce.
struct Hostile {
    name: &'static str,
    spoil: fn(peer_capnp::allocation::Builder<'_>),
    refused: fn(&ConvertError) -> bool,
}

const HOSTILE: [Hostile; 5] = [
    Hostile {
        name: "columns of different lengths",
        spoil: |message| {
            let slots = message.get_slots().expect("slots");
            slots.init_held().init_low(1);
        },
        refused: |error| matches!(error, ConvertError::Columns { .. }),
    },
    Hostile {
        name: "a virtual time that is not a number",
        spoil: |message| {
            let mut standings = message.get_standings().expect("standings");
            standings.set_base(f64::NAN);
        },
        refused: |error| matches!(error, ConvertError::NotFinite),
    },
    Hostile {
        name: "no service name",
        spoil: |message| {
            message.init_shard();
        },
        refused: |error| matches!(error, ConvertError::Missing(_)),
    },
    Hostile {
        name: "no owner",
        spoil: |message| {
            message.init_owner();
        },
        refused: |error| matches!(error, ConvertError::Missing(_)),
    },
    Hostile {
        name: "a name that is not UTF-8",
        spoil: |message| {
            let mut owner = message.get_owner().expect("owner");
            owner.set_instance(capnp::text::Reader(b"\xff\xfe"));
        },
        refused: |error| matches!(error, ConvertError::Text(_)),
    },
];

/// Guards against a peer that stops the control thread or plants values that
/// later computations cannot bear.
#[test]
fn hostile_allocations_are_refused() {
    for case in HOSTILE {
        let mut builder = Builder::new_default();
        write_allocation(builder.init_root(), &common::allocation(4, 4, 1));
        (case.spoil)(builder.get_root().expect("root"));
        let message = transport(&builder);
        let error = read_allocation(message.get_root().expect("root")).expect_err(case.name);
        assert!((case.refused)(&error), "{}: {error}", case.name);
    }
}

/// Guards against a panic on a message that is cut or damaged anywhere.
#[test]
fn cut_and_damaged_messages_do_not_panic() {
    let mut builder = Builder::new_default();
    write_report(builder.init_root(), &common::report(4, 4, 1));
    let bytes = serialize::write_message_to_words(&builder);
    for length in 0..bytes.len() {
        assert!(parse(&bytes[..length]).is_err(), "cut at {length}");
    }
    for position in 0..bytes.len() {
        for mask in [0x01, 0x80, 0xff] {
            let mut damaged = bytes.clone();
            damaged[position] ^= mask;
            let Ok(message) = parse(&damaged) else { continue };
            // Some damage only changes a number, which no reader can notice.
            let _ = message.get_root().map(read_report);
        }
    }
}

/// Guards against states that a later version adds being taken for another.
#[test]
fn unknown_member_state_is_refused() {
    let mut builder = Builder::new_default();
    write_heartbeat(builder.init_root(), &common::heartbeat(1));
    let root: peer_capnp::heartbeat::Builder<'_> = builder.get_root().expect("root");
    root.get_sender().expect("sender").set_state(17);
    let message = transport(&builder);
    let error = read_heartbeat(message.get_root().expect("root")).expect_err("refused");
    assert!(matches!(error, ConvertError::State(17)), "{error}");
}
