//! Fault schedules as functions of their seed.

use span_bench::schedule::{Fault, schedule};

/// Guards against schedules that cannot be repeated, that leave faults in
/// force into the next episode, or that lack a kind of fault.
#[test]
fn schedules_follow_from_the_seed() {
    let upstreams = ["a".to_owned(), "b".to_owned()];
    assert_eq!(schedule(5, 30_000, 6, &upstreams), schedule(5, 30_000, 6, &upstreams));
    assert_ne!(schedule(5, 30_000, 6, &upstreams), schedule(6, 30_000, 6, &upstreams));
    let (mut kinds, mut combined) = ([0; 4], 0);
    for seed in 0..20 {
        let episodes = schedule(seed, 30_000, 6, &upstreams);
        for pair in episodes.windows(2) {
            assert!(pair[0].to_ms < pair[1].from_ms);
        }
        for episode in &episodes {
            assert!(episode.from_ms < episode.to_ms && episode.to_ms <= 30_000);
            assert!((1..=3).contains(&episode.faults.len()));
            combined += usize::from(episode.faults.len() > 1);
            for fault in &episode.faults {
                kinds[kind(fault)] += 1;
            }
        }
    }
    assert!(combined > 0 && kinds.iter().all(|count| *count > 0), "{kinds:?}");
}

fn kind(fault: &Fault) -> usize {
    match fault {
        Fault::Kill(_) => 0,
        Fault::Freeze(_) => 1,
        Fault::Route { .. } => 2,
        Fault::Platform(_) => 3,
    }
}
