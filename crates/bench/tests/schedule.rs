//! Tests of fault schedules.

use span_bench::schedule::{Fault, fault_schedule};

/// Guards against schedules that are not reproducible, that leave faults active into
/// the next episode, or that lack a kind of fault.
#[test]
fn schedules_depend_only_on_the_seed() {
    let upstreams = ["a".to_owned(), "b".to_owned()];
    assert_eq!(fault_schedule(5, 30_000, 6, &upstreams), fault_schedule(5, 30_000, 6, &upstreams));
    assert_ne!(fault_schedule(5, 30_000, 6, &upstreams), fault_schedule(6, 30_000, 6, &upstreams));
    let (mut kind_counts, mut combined_episodes) = ([0; 4], 0);
    for seed in 0..20 {
        let episodes = fault_schedule(seed, 30_000, 6, &upstreams);
        for pair in episodes.windows(2) {
            assert!(pair[0].to_ms < pair[1].from_ms);
        }
        for episode in &episodes {
            assert!(episode.from_ms < episode.to_ms && episode.to_ms <= 30_000);
            assert!((1..=3).contains(&episode.faults.len()));
            combined_episodes += usize::from(episode.faults.len() > 1);
            for fault in &episode.faults {
                kind_counts[kind_index(fault)] += 1;
            }
        }
    }
    assert!(combined_episodes > 0 && kind_counts.iter().all(|count| *count > 0), "{kind_counts:?}");
}

fn kind_index(fault: &Fault) -> usize {
    match fault {
        Fault::Kill(_) => 0,
        Fault::Freeze(_) => 1,
        Fault::Route { .. } => 2,
        Fault::Platform(_) => 3,
    }
}
