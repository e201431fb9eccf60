//! Guards against a stream of events that was broken off and counts as complete, and
//! against a complete one that counts as broken off.

use span_http::{BrokenStream, EventBoundary, Framing};

#[test]
fn stream_is_complete_only_between_events() {
    use BrokenStream::{InsideEvent, NoEvent};
    use Framing::{Chunked, Length, UntilClose};
    struct Case {
        name: &'static str,
        stream: &'static [u8],
        framing: Framing,
        end: Result<(), BrokenStream>,
    }
    let cases = [
        Case { name: "one event", stream: b"data: a\n\n", framing: UntilClose, end: Ok(()) },
        Case { name: "CRLF", stream: b"data: a\r\n\r\n", framing: UntilClose, end: Ok(()) },
        Case { name: "comment", stream: b": idle\n\n", framing: Chunked, end: Ok(()) },
        Case { name: "more blank lines", stream: b"data: a\n\n\n", framing: Chunked, end: Ok(()) },
        Case {
            name: "no blank line",
            stream: b"data: a\n",
            framing: Chunked,
            end: Err(InsideEvent),
        },
        Case { name: "no line end", stream: b"data: a", framing: Length, end: Err(InsideEvent) },
        Case {
            name: "second event is cut",
            stream: b"data: a\n\nid: 2\n",
            framing: UntilClose,
            end: Err(InsideEvent),
        },
        Case {
            name: "cut inside the last CRLF",
            stream: b"data: a\r\n\r",
            framing: UntilClose,
            end: Err(InsideEvent),
        },
        Case {
            name: "no event before the close",
            stream: b"",
            framing: UntilClose,
            end: Err(NoEvent),
        },
        Case { name: "no event in chunks", stream: b"", framing: Chunked, end: Ok(()) },
        Case { name: "no event with a length", stream: b"", framing: Length, end: Ok(()) },
    ];
    for case in cases {
        for split in 0..=case.stream.len() {
            let mut boundary = EventBoundary::default();
            let (first, second) = case.stream.split_at(split);
            boundary.push(first);
            boundary.push(second);
            assert_eq!(boundary.check_end(case.framing), case.end, "{}, {split}", case.name);
        }
    }
}
