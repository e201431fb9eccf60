//! Schedules of faults, derived from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use span_standin::{objects, relay};

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a router, which is restarted when the fault ends.
    Kill(usize),
    /// Stops a router with SIGSTOP until SIGCONT when the fault ends.
    Freeze(usize),
    /// Faults of a relay route.
    Route {
        /// Name of the route.
        name: String,
        /// Faults that are active until the fault ends.
        faults: relay::Faults,
    },
    /// Faults of the platform.
    Platform(objects::Faults),
}

/// Faults that begin and end at the same time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultEpisode {
    /// Start, in milliseconds since the start of the load.
    pub from_ms: u64,
    /// End, in milliseconds since the start of the load.
    pub to_ms: u64,
    /// One to three faults with different targets.
    pub faults: Vec<Fault>,
}

const EPISODE_PERIOD_MS: u64 = 4_000;
const MIN_EPISODE_MS: u64 = 500;
/// Below [`EPISODE_PERIOD_MS`], so that no fault lasts into the next episode.
const MAX_EPISODE_MS: u64 = 3_500;
const FIRST_EPISODE_MS: u64 = 1_000;
const MAX_FAULTS_PER_EPISODE: usize = 3;
const PLATFORM_DELAY_MS: u64 = 1_000;
const INSTANCE_LIST_LAG_MS: u64 = 3_000;

/// Returns the fault episodes for a load of `duration_ms` on a fleet of `router_count`
/// routers.
pub fn fault_schedule(
    seed: u64,
    duration_ms: u64,
    router_count: usize,
    upstreams: &[String],
) -> Vec<FaultEpisode> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let starts = (0..).map(|number| FIRST_EPISODE_MS + number * EPISODE_PERIOD_MS);
    let starts = starts.take_while(|from_ms| from_ms + EPISODE_PERIOD_MS <= duration_ms);
    let episode = |from_ms| {
        let count = rng.random_range(1..=MAX_FAULTS_PER_EPISODE);
        let mut faults = Vec::new();
        for _ in 0..count {
            let fault = random_fault(&mut rng, router_count, upstreams);
            if !faults.iter().any(|other| affect_same_target(other, &fault)) {
                faults.push(fault);
            }
        }
        FaultEpisode {
            from_ms,
            to_ms: from_ms + rng.random_range(MIN_EPISODE_MS..=MAX_EPISODE_MS),
            faults,
        }
    };
    starts.map(episode).collect()
}

/// Whether two faults have the same target, so that ending one would end the other.
fn affect_same_target(one: &Fault, two: &Fault) -> bool {
    match (one, two) {
        (Fault::Kill(a) | Fault::Freeze(a), Fault::Kill(b) | Fault::Freeze(b)) => a == b,
        (Fault::Route { name: a, .. }, Fault::Route { name: b, .. }) => a == b,
        (Fault::Platform(_), Fault::Platform(_)) => true,
        _ => false,
    }
}

fn random_fault(rng: &mut ChaCha8Rng, router_count: usize, upstreams: &[String]) -> Fault {
    let router = rng.random_range(0..router_count);
    match rng.random_range(0..7) {
        0 => Fault::Kill(router),
        1 => Fault::Freeze(router),
        2 => Fault::Route { name: format!("peer-{router}"), faults: random_cut(rng) },
        3 => Fault::Route { name: format!("client-{router}"), faults: random_cut(rng) },
        4 => Fault::Route {
            name: random_silenced_route(rng, router, upstreams),
            faults: silence_open_connections(),
        },
        5 => Fault::Route { name: format!("platform-{router}"), faults: random_cut(rng) },
        _ => Fault::Platform(random_platform_fault(rng)),
    }
}

fn random_cut(rng: &mut ChaCha8Rng) -> relay::Faults {
    let (cut_to_target, cut_to_client) = match rng.random_range(0..3) {
        0 => (true, false),
        1 => (false, true),
        _ => (true, true),
    };
    relay::Faults { cut_to_target, cut_to_client, ..relay::Faults::default() }
}

fn silence_open_connections() -> relay::Faults {
    relay::Faults { silence_open: true, ..relay::Faults::default() }
}

fn random_silenced_route(rng: &mut ChaCha8Rng, router: usize, upstreams: &[String]) -> String {
    let upstream = &upstreams[rng.random_range(0..upstreams.len())];
    match rng.random_range(0..3) {
        0 => format!("peer-{router}"),
        1 => format!("client-{router}"),
        _ => format!("upstream-{upstream}"),
    }
}

fn random_platform_fault(rng: &mut ChaCha8Rng) -> objects::Faults {
    let none = objects::Faults::default();
    match rng.random_range(0..5) {
        0 => objects::Faults { down: true, ..none },
        1 => objects::Faults { delay_ms: PLATFORM_DELAY_MS, ..none },
        2 => objects::Faults { lose_write_answers: true, ..none },
        3 => objects::Faults { stale_watches: true, ..none },
        _ => objects::Faults { list_lag_ms: INSTANCE_LIST_LAG_MS, silent: true, ..none },
    }
}
