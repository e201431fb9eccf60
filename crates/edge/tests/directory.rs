//! Guards which routers callers are sent to.

use span_edge::directory::choose_routers;
use span_member::Router;
use span_types::{Incarnation, Member};

fn routers(groups: &[(usize, u32)]) -> Vec<Router> {
    let powers = groups.iter().flat_map(|(count, power)| std::iter::repeat_n(*power, *count));
    let address = "127.0.0.1:1".parse().expect("address");
    powers
        .enumerate()
        .map(|(index, processor_millicores)| Router {
            member: Member {
                instance: format!("router-{index}").into(),
                incarnation: Incarnation(1),
            },
            http_address: address,
            peer_address: address,
            failure_domain: "domain".into(),
            processor_millicores,
        })
        .collect()
}

/// A workspace whose callers all used one router with 0.12 of a core had most
/// of its requests fail, while routers with half a core were idle
/// (cordillera-rosemary-grown, scale-2 --seed 295355987593).
#[test]
fn callers_are_sent_to_the_strongest_routers_that_suffice() {
    struct Case {
        name: &'static str,
        /// Number of routers and thousandths of a core of each.
        groups: &'static [(usize, u32)],
        /// The same of those chosen.
        chosen: &'static [(usize, u32)],
    }
    let cases = [
        Case { name: "all alike", groups: &[(6, 250)], chosen: &[(6, 250)] },
        Case { name: "strong ones", groups: &[(72, 120), (10, 500)], chosen: &[(10, 500)] },
        Case {
            name: "nearly as strong",
            groups: &[(5, 400), (5, 500), (5, 120)],
            chosen: &[(5, 500), (5, 400)],
        },
        Case { name: "too few", groups: &[(1, 500), (20, 100)], chosen: &[(1, 500), (3, 100)] },
        Case {
            name: "too small a part",
            groups: &[(4, 500), (100, 100)],
            chosen: &[(4, 500), (10, 100)],
        },
        Case { name: "not told", groups: &[(3, 0), (6, 250)], chosen: &[(3, 0), (6, 250)] },
        Case { name: "nothing told", groups: &[(6, 0)], chosen: &[(6, 0)] },
        Case { name: "more than an answer holds", groups: &[(80, 250)], chosen: &[(64, 250)] },
        Case { name: "none", groups: &[], chosen: &[] },
    ];
    for case in cases {
        let all = routers(case.groups);
        let chosen = choose_routers(all.iter().collect());
        let chosen: Vec<u32> = chosen.iter().map(|router| router.processor_millicores).collect();
        let expected: Vec<u32> =
            routers(case.chosen).iter().map(|router| router.processor_millicores).collect();
        assert_eq!(chosen, expected, "{}", case.name);
    }
}
