//! Tests of splitting an event stream, so that another upstream can continue it.

#![allow(clippy::unwrap_used)]

use span_edge::sse::EventSplitter;

/// A caller that got part of an event would get the event twice, or broken, after
/// another upstream continues the stream.
#[test]
fn only_complete_events_are_forwarded() {
    struct Case {
        name: &'static str,
        chunks: &'static [&'static str],
        forwarded: &'static str,
        last_id: Option<&'static str>,
        partial: &'static str,
    }
    let cases = [
        Case {
            name: "one event per chunk",
            chunks: &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
            forwarded: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            last_id: Some("2"),
            partial: "",
        },
        Case {
            name: "interrupted in the middle of an event",
            chunks: &["id: 1\ndata: a\n\nid: 2\nda"],
            forwarded: "id: 1\ndata: a\n\n",
            last_id: Some("1"),
            partial: "id: 2\nda",
        },
        Case {
            name: "one event in several chunks",
            chunks: &["id: 1\n", "data: a\n", "\nid: 2"],
            forwarded: "id: 1\ndata: a\n\n",
            last_id: Some("1"),
            partial: "id: 2",
        },
        Case {
            name: "lines that end with CRLF",
            chunks: &["id: 7\r\ndata: a\r\n\r\nid: 8\r\n"],
            forwarded: "id: 7\r\ndata: a\r\n\r\n",
            last_id: Some("7"),
            partial: "id: 8\r\n",
        },
        Case {
            name: "no complete event",
            chunks: &["id: 1\n"],
            forwarded: "",
            last_id: None,
            partial: "id: 1\n",
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::default();
        let mut forwarded = Vec::new();
        for chunk in case.chunks {
            forwarded.extend_from_slice(&splitter.push(chunk.as_bytes()).unwrap());
        }
        assert_eq!(String::from_utf8(forwarded).unwrap(), case.forwarded, "{}", case.name);
        assert_eq!(splitter.last_id(), case.last_id, "{}", case.name);
        assert_eq!(splitter.take_partial(), case.partial, "{}", case.name);
    }
}
