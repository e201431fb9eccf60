//! Tests of when a caller may get the first event of a stream.

use span_edge::{
    origin_confirmation::OriginConfirmation,
    stream_origin::{AttemptOrigin, RequestKey, StreamAttempt, StreamOrigin},
};

/// Guards against a stream that goes on where its request was sent first: the store names only
/// that origin until it has the record of the attempt that brought the first event.
#[test]
fn first_event_waits_until_the_store_names_no_earlier_origin() {
    struct Case {
        name: &'static str,
        /// Versions at which the attempts were sent.
        attempts: &'static [&'static str],
        recorded: &'static [u32],
        is_confirmed: bool,
    }
    let cases = [
        Case { name: "first attempt", attempts: &["v1"], recorded: &[], is_confirmed: true },
        Case {
            name: "second one at the same version",
            attempts: &["v1", "v1"],
            recorded: &[],
            is_confirmed: true,
        },
        Case { name: "moved", attempts: &["v1", "v2"], recorded: &[1], is_confirmed: false },
        Case { name: "recorded", attempts: &["v1", "v2"], recorded: &[1, 2], is_confirmed: true },
        Case {
            name: "moved back",
            attempts: &["v1", "v2", "v1"],
            recorded: &[1, 2],
            is_confirmed: false,
        },
    ];
    let request = RequestKey::new(b"r");
    for case in cases {
        let starts = (1..).zip(case.attempts).map(|(attempt, version)| AttemptOrigin {
            origin: StreamOrigin { service: "svc".into(), software_version: (*version).into() },
            attempt,
        });
        let mut confirmation = None;
        for start in starts {
            match &mut confirmation {
                None => confirmation = Some(OriginConfirmation::new(start)),
                Some(confirmation) => confirmation.start_attempt(start),
            }
        }
        let mut confirmation = confirmation.expect("each case has an attempt");
        for attempt in case.recorded {
            confirmation.recorded(StreamAttempt { request, attempt: *attempt });
        }
        assert_eq!(confirmation.is_confirmed(), case.is_confirmed, "{}", case.name);
    }
}
