//! Tests of splitting an event stream, so that another upstream can continue it.

#![allow(clippy::unwrap_used)]

use span_edge::sse::{EventError, EventSplitter};

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
        let mut splitter = EventSplitter::after(None);
        let mut forwarded = Vec::new();
        for chunk in case.chunks {
            forwarded.extend_from_slice(&splitter.push(chunk.as_bytes()).unwrap());
        }
        assert_eq!(String::from_utf8(forwarded).unwrap(), case.forwarded, "{}", case.name);
        assert_eq!(splitter.last_id(), case.last_id, "{}", case.name);
        assert_eq!(splitter.partial(), case.partial.as_bytes(), "{}", case.name);
    }
}

/// An answer that does not go on after the caller's last event would repeat events, or put
/// the text of an error into the stream.
#[test]
fn first_event_of_an_answer_comes_after_the_last_one() {
    struct Case {
        name: &'static str,
        last_id: &'static str,
        answer: &'static str,
        continues: bool,
    }
    let cases = [
        Case { name: "next number", last_id: "9", answer: "id: 10\n\n", continues: true },
        Case { name: "same number", last_id: "9", answer: "id:09\n\n", continues: false },
        Case { name: "earlier number", last_id: "10", answer: "id: 9\n\n", continues: false },
        Case { name: "other text", last_id: "b", answer: "id: a\n\n", continues: true },
        Case { name: "same text", last_id: "b", answer: "id: b\n\n", continues: false },
        Case { name: "no id", last_id: "1", answer: "data: a\n\nid: 2\n\n", continues: false },
        Case { name: "blank lines", last_id: "1", answer: "\n\r\n\nid: 2\n\n", continues: true },
        Case { name: "comment", last_id: "1", answer: ": a\n\nid: 2\n\n", continues: true },
        Case {
            name: "only the first",
            last_id: "1",
            answer: "id: 3\n\nid: 2\n\n",
            continues: true,
        },
    ];
    for Case { name, last_id, answer, continues } in cases {
        let taken_up = EventSplitter::after(Some(last_id.into()));
        let mut continued = EventSplitter::after(None);
        continued.push(format!("id: {last_id}\n\nid: ").as_bytes()).unwrap();
        continued.start_next_answer();
        for mut splitter in [taken_up, continued] {
            let result = splitter.push(answer.as_bytes());
            let last_id = last_id.into();
            let expected = if continues {
                Ok(answer.into())
            } else {
                Err(EventError::NotContinued { last_id })
            };
            assert_eq!(result, expected, "{name}");
        }
    }
}
