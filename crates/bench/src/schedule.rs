//! Faults and their times, derived from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use span_standin::{objects, relay};

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kill a router; it is started again at the end.
    Kill(usize),
    /// Freeze a router with SIGSTOP; SIGCONT at the end.
    Freeze(usize),
    /// Faults on a relay route.
    Route {
        /// Name of the route.
        name: String,
        /// Faults in force until the end.
        faults: relay::Faults,
    },
    /// Faults of the platform.
    Platform(objects::Faults),
}

/// Faults that begin and end together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Episode {
    /// Start since the start of the load, in milliseconds.
    pub from_ms: u64,
    /// End since the start of the load, in milliseconds.
    pub to_ms: u64,
    /// One to three faults.
    pub faults: Vec<Fault>,
}

const EPISODE_MS: u64 = 4_000;
const MIN_LENGTH_MS: u64 = 500;
const MAX_LENGTH_MS: u64 = 3_500;
const FIRST_MS: u64 = 1_000;
const MAX_FAULTS: usize = 3;
const PLATFORM_DELAY_MS: u64 = 1_000;
const LIST_LAG_MS: u64 = 3_000;

/// Episodes for a load of `duration_ms` over `routers` routers.
pub fn schedule(seed: u64, duration_ms: u64, routers: usize, upstreams: &[String]) -> Vec<Episode> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let starts = (0..).map(|number| FIRST_MS + number * EPISODE_MS);
    let starts = starts.take_while(|from_ms| from_ms + EPISODE_MS <= duration_ms);
    let episode = |from_ms| {
        let count = rng.random_range(1..=MAX_FAULTS);
        let mut faults = Vec::new();
        for _ in 0..count {
            let fault = fault(&mut rng, routers, upstreams);
            if !faults.iter().any(|other| concern_same(other, &fault)) {
                faults.push(fault);
            }
        }
        Episode {
            from_ms,
            to_ms: from_ms + rng.random_range(MIN_LENGTH_MS..=MAX_LENGTH_MS),
            faults,
        }
    };
    starts.map(episode).collect()
}

/// Ending one of two faults on the same thing would end the other.
fn concern_same(one: &Fault, two: &Fault) -> bool {
    match (one, two) {
        (Fault::Kill(a) | Fault::Freeze(a), Fault::Kill(b) | Fault::Freeze(b)) => a == b,
        (Fault::Route { name: a, .. }, Fault::Route { name: b, .. }) => a == b,
        (Fault::Platform(_), Fault::Platform(_)) => true,
        _ => false,
    }
}

fn fault(rng: &mut ChaCha8Rng, routers: usize, upstreams: &[String]) -> Fault {
    let router = rng.random_range(0..routers);
    match rng.random_range(0..7) {
        0 => Fault::Kill(router),
        1 => Fault::Freeze(router),
        2 => Fault::Route { name: format!("peer-{router}"), faults: cut(rng) },
        3 => Fault::Route { name: format!("client-{router}"), faults: cut(rng) },
        4 => Fault::Route { name: silenced(rng, router, upstreams), faults: silence() },
        5 => Fault::Route { name: format!("platform-{router}"), faults: cut(rng) },
        _ => Fault::Platform(platform(rng)),
    }
}

fn cut(rng: &mut ChaCha8Rng) -> relay::Faults {
    let (cut_to_target, cut_to_client) = match rng.random_range(0..3) {
        0 => (true, false),
        1 => (false, true),
        _ => (true, true),
    };
    relay::Faults { cut_to_target, cut_to_client, ..relay::Faults::default() }
}

fn silence() -> relay::Faults {
    relay::Faults { silence_open: true, ..relay::Faults::default() }
}

fn silenced(rng: &mut ChaCha8Rng, router: usize, upstreams: &[String]) -> String {
    let upstream = &upstreams[rng.random_range(0..upstreams.len())];
    match rng.random_range(0..3) {
        0 => format!("peer-{router}"),
        1 => format!("client-{router}"),
        _ => format!("upstream-{upstream}"),
    }
}

fn platform(rng: &mut ChaCha8Rng) -> objects::Faults {
    let none = objects::Faults::default();
    match rng.random_range(0..5) {
        0 => objects::Faults { down: true, ..none },
        1 => objects::Faults { delay_ms: PLATFORM_DELAY_MS, ..none },
        2 => objects::Faults { lose_write_answers: true, ..none },
        3 => objects::Faults { stale_watches: true, ..none },
        _ => objects::Faults { list_lag_ms: LIST_LAG_MS, silent: true, ..none },
    }
}
