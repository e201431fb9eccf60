//! The sequence of requests of one caller, derived from the seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::workload::{Spec, WorkspaceLoad};

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// At most once; the caller chose a key and may repeat it.
    Keyed,
    /// At most once, without a key; the caller does not repeat it.
    Once,
}

/// One request as a caller plans it.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Unique name; the key of a keyed request.
    pub name: String,
    /// Call to the plain service rather than to the model.
    pub plain: bool,
    /// Prompt, in tokens.
    pub prompt_tokens: u64,
    /// Output, in tokens.
    pub output_tokens: u64,
    /// Cost that the caller tells in advance.
    pub cost_hint: Option<u64>,
    /// How often it may run.
    pub repeat: Repeat,
    /// The caller sends the same key a second time after the answer, as a
    /// program with a lost answer does.
    pub resend: bool,
    /// Router to enter through when the caller has no addresses.
    pub entry: usize,
    /// Time since the request before in an open loop, in milliseconds.
    pub gap_ms: f64,
}

/// Factor by which hints may be wrong, either way.
const HINT_ERROR: f64 = 10.0;
const HINTED_FRACTION: f64 = 0.7;
const KEYED_FRACTION: f64 = 0.2;
const ONCE_FRACTION: f64 = 0.1;
const RESEND_FRACTION: f64 = 0.1;
const MIN_OUTPUT_TOKENS: f64 = 12.0;
/// Exponent of the output's Pareto distribution: below 2 its variance is
/// unbounded, so few requests carry much of the cost.
const TAIL_EXPONENT: f64 = 1.3;
const MAX_PROMPT_TOKENS: u64 = 64;

/// An endless sequence of requests.
#[derive(Debug)]
pub struct Planner {
    rng: ChaCha8Rng,
    prefix: String,
    next: u64,
    plain_fraction: f64,
    max_output_tokens: u64,
    open_per_second: f64,
    entry_weights: Vec<f64>,
}

impl Planner {
    /// The sequence of caller number `caller` of a workspace. Callers of
    /// closed and open loops have different numbers.
    pub fn new(spec: &Spec, workspace: &WorkspaceLoad, caller: u32) -> Self {
        let prefix = format!("{}-{}-{caller}", spec.seed, workspace.name);
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        rng.set_stream(xxhash_stream(&prefix));
        Self {
            rng,
            prefix,
            next: 0,
            plain_fraction: spec.plain_fraction,
            max_output_tokens: spec.max_output_tokens,
            open_per_second: workspace.open_per_second,
            entry_weights: workspace.entry_weights.clone(),
        }
    }

    /// The next request.
    pub fn plan(&mut self) -> Planned {
        let name = format!("{}-{}", self.prefix, self.next);
        self.next += 1;
        let plain = self.rng.random_bool(self.plain_fraction);
        let prompt_tokens = self.rng.random_range(4..=MAX_PROMPT_TOKENS);
        let output_tokens = self.output_tokens();
        let repeat = self.repeat(plain);
        Planned {
            name,
            plain,
            prompt_tokens,
            output_tokens,
            cost_hint: self.hint(prompt_tokens + output_tokens),
            repeat,
            resend: repeat == Repeat::Keyed && self.rng.random_bool(RESEND_FRACTION),
            entry: self.entry(),
            gap_ms: self.gap_ms(),
        }
    }

    /// Bounded Pareto distribution by inversion.
    fn output_tokens(&mut self) -> u64 {
        let uniform: f64 = self.rng.random();
        let tokens = MIN_OUTPUT_TOKENS * (1.0 - uniform).powf(-1.0 / TAIL_EXPONENT);
        (tokens as u64).min(self.max_output_tokens)
    }

    fn hint(&mut self, cost: u64) -> Option<u64> {
        let factor = HINT_ERROR.powf(self.rng.random_range(-1.0..=1.0));
        let hint = ((cost as f64 * factor).round() as u64).max(1);
        self.rng.random_bool(HINTED_FRACTION).then_some(hint)
    }

    /// Model calls may always be repeated; part of the plain calls may not.
    fn repeat(&mut self, plain: bool) -> Repeat {
        let uniform: f64 = self.rng.random();
        match uniform {
            _ if !plain => Repeat::Idempotent,
            u if u < KEYED_FRACTION => Repeat::Keyed,
            u if u < KEYED_FRACTION + ONCE_FRACTION => Repeat::Once,
            _ => Repeat::Idempotent,
        }
    }

    fn entry(&mut self) -> usize {
        let total: f64 = self.entry_weights.iter().sum();
        let mut left = self.rng.random::<f64>() * total;
        for (router, weight) in self.entry_weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return router;
            }
        }
        0
    }

    fn gap_ms(&mut self) -> f64 {
        let uniform: f64 = self.rng.random();
        if self.open_per_second <= 0.0 {
            return 0.0;
        }
        -(1.0 - uniform).ln() * 1000.0 / self.open_per_second
    }
}

/// Stream number of a caller's generator.
fn xxhash_stream(prefix: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(prefix.as_bytes())
}
