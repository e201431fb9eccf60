//! Generates the sequence of requests of one caller from the seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::workload::{WorkloadSpec, WorkspaceLoad};

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// At most once; the caller chooses an idempotency key and may retry with it.
    Keyed,
    /// At most once; a router mints the idempotency key, and the caller may retry with
    /// it.
    Minted,
    /// At most once, without an idempotency key; the caller does not retry.
    Once,
}

impl Idempotency {
    /// Whether the request has an idempotency key, so that the caller may retry it.
    pub fn has_key(self) -> bool {
        matches!(self, Self::Keyed | Self::Minted)
    }
}

/// One request that a caller will send.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Unique name; also the idempotency key of a keyed request.
    pub name: String,
    /// The request goes to the plain service rather than to the model service.
    pub is_plain_call: bool,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub output_tokens: u64,
    /// Cost that the caller announces, in cost units, if any.
    pub cost_hint: Option<u64>,
    /// How often the request may run.
    pub idempotency: Idempotency,
    /// The caller sends the same idempotency key again after the answer, as a program
    /// does whose answer was lost.
    pub resend_after_answer: bool,
    /// Index of the router that the caller asks for addresses, and that it uses if it is
    /// told none.
    pub router_index: usize,
    /// Time since the previous request of an open loop, in milliseconds.
    pub interval_ms: f64,
}

/// Largest factor by which a hint may exceed the cost or fall below it.
const MAX_HINT_ERROR_FACTOR: f64 = 10.0;
// Fractions of the requests that have a cost hint, that have each kind of idempotency
// (of the plain calls), and that are sent again after the answer (of those with a key).
const HINTED_FRACTION: f64 = 0.7;
const KEYED_FRACTION: f64 = 0.12;
const MINTED_FRACTION: f64 = 0.08;
const ONCE_FRACTION: f64 = 0.1;
const RESENT_FRACTION: f64 = 0.1;
/// Smallest value of the Pareto distribution of output tokens.
const MIN_OUTPUT_TOKENS: f64 = 12.0;
/// Exponent of the Pareto distribution of output tokens. Below 2 its variance is
/// unbounded, so that few requests carry much of the cost.
const OUTPUT_TAIL_EXPONENT: f64 = 1.3;
const MAX_PROMPT_TOKENS: u64 = 64;

/// Generates an unlimited sequence of requests.
#[derive(Debug)]
pub struct RequestGenerator {
    rng: ChaCha8Rng,
    name_prefix: String,
    next_number: u64,
    plain_fraction: f64,
    max_output_tokens: u64,
    open_per_second: f64,
    entry_weights: Vec<f64>,
}

impl RequestGenerator {
    /// Creates the generator of caller number `caller` of a workspace. Closed-loop
    /// and open-loop callers must have different numbers.
    pub fn new(spec: &WorkloadSpec, workspace: &WorkspaceLoad, caller: u32) -> Self {
        let name_prefix = format!("{}-{}-{caller}", spec.seed, workspace.name);
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        rng.set_stream(random_stream(&name_prefix));
        Self {
            rng,
            name_prefix,
            next_number: 0,
            plain_fraction: spec.plain_fraction,
            max_output_tokens: spec.max_output_tokens,
            open_per_second: workspace.open_per_second,
            entry_weights: workspace.entry_weights.clone(),
        }
    }

    /// Generates the next request.
    pub fn next_request(&mut self) -> PlannedRequest {
        let name = format!("{}-{}", self.name_prefix, self.next_number);
        self.next_number += 1;
        let is_plain_call = self.rng.random_bool(self.plain_fraction);
        let prompt_tokens = self.rng.random_range(4..=MAX_PROMPT_TOKENS);
        let output_tokens = self.output_tokens();
        let idempotency = self.idempotency(is_plain_call);
        PlannedRequest {
            name,
            is_plain_call,
            prompt_tokens,
            output_tokens,
            cost_hint: self.cost_hint(prompt_tokens + output_tokens),
            idempotency,
            resend_after_answer: idempotency.has_key() && self.rng.random_bool(RESENT_FRACTION),
            router_index: self.router_index(),
            interval_ms: self.interval_ms(),
        }
    }

    /// Samples a bounded Pareto distribution by inversion.
    fn output_tokens(&mut self) -> u64 {
        let uniform: f64 = self.rng.random();
        let tokens = MIN_OUTPUT_TOKENS * (1.0 - uniform).powf(-1.0 / OUTPUT_TAIL_EXPONENT);
        (tokens as u64).min(self.max_output_tokens)
    }

    fn cost_hint(&mut self, cost: u64) -> Option<u64> {
        let factor = MAX_HINT_ERROR_FACTOR.powf(self.rng.random_range(-1.0..=1.0));
        let cost_hint = ((cost as f64 * factor).round() as u64).max(1);
        self.rng.random_bool(HINTED_FRACTION).then_some(cost_hint)
    }

    /// Model calls are always idempotent; a fraction of the plain calls is not.
    fn idempotency(&mut self, is_plain_call: bool) -> Idempotency {
        let uniform: f64 = self.rng.random();
        match uniform {
            _ if !is_plain_call => Idempotency::Idempotent,
            u if u < KEYED_FRACTION => Idempotency::Keyed,
            u if u < KEYED_FRACTION + MINTED_FRACTION => Idempotency::Minted,
            u if u < KEYED_FRACTION + MINTED_FRACTION + ONCE_FRACTION => Idempotency::Once,
            _ => Idempotency::Idempotent,
        }
    }

    fn router_index(&mut self) -> usize {
        let total: f64 = self.entry_weights.iter().sum();
        let mut remaining_weight = self.rng.random::<f64>() * total;
        for (router, weight) in self.entry_weights.iter().enumerate() {
            remaining_weight -= weight;
            if remaining_weight < 0.0 {
                return router;
            }
        }
        0
    }

    fn interval_ms(&mut self) -> f64 {
        let uniform: f64 = self.rng.random();
        if self.open_per_second <= 0.0 {
            return 0.0;
        }
        -(1.0 - uniform).ln() * 1000.0 / self.open_per_second
    }
}

/// Returns the number of the generator's stream for one caller, so that the requests of
/// different callers are independent.
fn random_stream(name_prefix: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name_prefix.as_bytes())
}
