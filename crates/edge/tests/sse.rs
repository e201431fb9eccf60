//! Guards the joining of two runs of one stream.

#![allow(clippy::unwrap_used)]

use span_edge::sse::EventSplitter;

#[test]
fn only_whole_events_are_passed_on() {
    struct Case {
        name: &'static str,
        chunks: &'static [&'static str],
        passed: &'static str,
        last_id: Option<&'static str>,
        partial: &'static str,
    }
    let cases = [
        Case {
            name: "one event a chunk",
            chunks: &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
            passed: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            last_id: Some("2"),
            partial: "",
        },
        Case {
            name: "an upstream that stops in the middle of an event",
            chunks: &["id: 1\ndata: a\n\nid: 2\nda"],
            passed: "id: 1\ndata: a\n\n",
            last_id: Some("1"),
            partial: "id: 2\nda",
        },
        Case {
            name: "an event over several chunks",
            chunks: &["id: 1\n", "data: a\n", "\nid: 2"],
            passed: "id: 1\ndata: a\n\n",
            last_id: Some("1"),
            partial: "id: 2",
        },
        Case {
            name: "carriage returns",
            chunks: &["id: 7\r\ndata: a\r\n\r\nid: 8\r\n"],
            passed: "id: 7\r\ndata: a\r\n\r\n",
            last_id: Some("7"),
            partial: "id: 8\r\n",
        },
        Case {
            name: "no event yet",
            chunks: &["id: 1\n"],
            passed: "",
            last_id: None,
            partial: "id: 1\n",
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for chunk in case.chunks {
            passed.extend_from_slice(&splitter.push(chunk.as_bytes()).unwrap());
        }
        assert_eq!(String::from_utf8(passed).unwrap(), case.passed, "{}", case.name);
        assert_eq!(splitter.last_id(), case.last_id, "{}", case.name);
        assert_eq!(splitter.take_partial(), case.partial, "{}", case.name);
    }
}
