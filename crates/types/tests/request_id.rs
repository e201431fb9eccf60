//! Formatting and parsing of request ids.

use span_types::{Incarnation, RequestId};

/// Guards against ids that change when they are formatted and parsed.
#[test]
fn request_id_round_trip() {
    struct Case {
        instance: &'static str,
        incarnation: u64,
        seq: u64,
    }
    let cases = [
        Case { instance: "r1", incarnation: 0, seq: 0 },
        Case { instance: "hall-atl.r1", incarnation: u64::MAX, seq: 7 },
        Case { instance: "10.0.0.1", incarnation: 12, seq: u64::MAX },
    ];
    for case in cases {
        let id = RequestId {
            instance: case.instance.into(),
            incarnation: Incarnation(case.incarnation),
            seq: case.seq,
        };
        assert_eq!(id.to_string().parse(), Ok(id));
    }
}

/// Guards against other texts that are accepted as request ids.
#[test]
fn invalid_request_id_is_rejected() {
    for text in ["", "r1", "r1.1", ".1.1", "r1.x.1", "r1.1.", "r1.-1.1"] {
        assert!(text.parse::<RequestId>().is_err(), "{text:?}");
    }
}
