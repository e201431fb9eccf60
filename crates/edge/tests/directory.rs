//! Tests of which routers the directory lists.

use span_edge::directory::choose_routers;
use span_member::Router;
use span_types::{Incarnation, Member};

fn routers(groups: &[(usize, u32)]) -> Vec<Router> {
    let millicores =
        groups.iter().flat_map(|(count, millicores)| std::iter::repeat_n(*millicores, *count));
    let address = "127.0.0.1:1".parse().expect("address");
    millicores
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

/// All callers of a workspace used one router with 0.12 of a core. Most of their
/// requests failed, while routers with half a core were idle (scenario scale-2 of
/// cordillera-rosemary-grown, seed 295355987593).
#[test]
fn strongest_routers_are_listed_until_they_suffice() {
    struct Case {
        name: &'static str,
        /// Number of routers, and thousandths of a core of each.
        groups: &'static [(usize, u32)],
        /// The same for the listed routers.
        chosen: &'static [(usize, u32)],
    }
    let cases = [
        Case { name: "all equal", groups: &[(6, 250)], chosen: &[(6, 250)] },
        Case {
            name: "enough strong routers",
            groups: &[(72, 120), (10, 500)],
            chosen: &[(10, 500)],
        },
        Case {
            name: "two strengths above half of the strongest",
            groups: &[(5, 400), (5, 500), (5, 120)],
            chosen: &[(5, 500), (5, 400)],
        },
        Case {
            name: "too few strong routers",
            groups: &[(1, 500), (20, 100)],
            chosen: &[(1, 500), (3, 100)],
        },
        Case {
            name: "strong routers have too little of the fleet's processors",
            groups: &[(4, 500), (100, 100)],
            chosen: &[(4, 500), (10, 100)],
        },
        Case {
            name: "some do not state their processor",
            groups: &[(3, 0), (6, 250)],
            chosen: &[(3, 0), (6, 250)],
        },
        Case { name: "none states its processor", groups: &[(6, 0)], chosen: &[(6, 0)] },
        Case { name: "more than an answer may list", groups: &[(80, 250)], chosen: &[(64, 250)] },
        Case { name: "no router", groups: &[], chosen: &[] },
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
