//! What callers were told against what ran.

use std::collections::{HashMap, HashSet};

use serde::Serialize;
use span_load::{AnswerKind, AttemptRecord, request_generator::Idempotency};
use span_standin::Execution;
use span_types::Outcome;

/// Counts of requests and of broken promises.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Requests, each with all its attempts.
    pub requests: u64,
    /// Attempts.
    pub attempts: u64,
    /// Requests with their whole answer.
    pub completed: u64,
    /// Requests told `not_run`.
    pub not_run: u64,
    /// Requests told `completed` without the answer: their key ran before.
    pub told_completed: u64,
    /// Requests told `unknown`.
    pub unknown: u64,
    /// Requests answered with an error without one of these outcomes.
    pub other_errors: u64,
    /// Requests without a key that may run once and whose connection broke:
    /// the caller was told nothing and may not repeat them, so for the caller
    /// they are unknown.
    pub broken_once: u64,
    /// Other requests that ended without a whole answer and without being told.
    pub lost: u64,
    /// Attempts that broke off or got no answer, repeated ones included.
    pub broken_attempts: u64,
    /// Answers that are not their request's.
    pub crossed: u64,
    /// Answers of which only the start arrived.
    pub incomplete: u64,
    /// Attempts told `not_run` that ran.
    pub not_run_that_ran: u64,
    /// Requests told `completed`, with or without the answer, that no upstream
    /// executed.
    pub completed_that_did_not_run: u64,
    /// Non-idempotent requests that ran more than once.
    pub duplicated_non_idempotent: u64,
    /// Whole answers told as something else than completed, or the reverse.
    pub wrong_outcome: u64,
}

/// Audits a run.
pub fn audit(records: &[AttemptRecord], executions: &[Execution]) -> Audit {
    let started: Vec<&str> = executions
        .iter()
        .filter(|execution| execution.started_us > 0)
        .map(|execution| execution.nonce.as_str())
        .collect();
    let ran: HashSet<&str> = started.iter().copied().collect();
    let ran_names: HashSet<&str> = started.iter().map(|nonce| name(nonce)).collect();
    let mut audit = Audit::default();
    for record in records {
        audit.attempt(record, &ran, &ran_names);
        if record.last {
            audit.request(record);
        }
    }
    audit.duplicated_non_idempotent = duplicates(records, &started);
    audit
}

impl Audit {
    fn attempt(&mut self, record: &AttemptRecord, ran: &HashSet<&str>, ran_names: &HashSet<&str>) {
        self.attempts += 1;
        let whole = record.answer == AnswerKind::Complete;
        let told = record.outcome;
        self.crossed += u64::from(record.answer == AnswerKind::Foreign);
        self.incomplete += u64::from(record.answer == AnswerKind::Partial);
        let broken = matches!(record.answer, AnswerKind::Partial | AnswerKind::Missing);
        self.broken_attempts += u64::from(broken);
        let not_run = told == Some(Outcome::NotRun) && !whole;
        self.not_run_that_ran += u64::from(not_run && ran.contains(record.nonce.as_str()));
        let did_not_run = !ran_names.contains(record.name.as_str());
        let completed = told == Some(Outcome::Completed) && record.answer == AnswerKind::Error;
        self.completed_that_did_not_run += u64::from((whole || completed) && did_not_run);
        let wrong = whole && told.is_some_and(|told| told != Outcome::Completed);
        self.wrong_outcome += u64::from(wrong);
    }

    fn request(&mut self, record: &AttemptRecord) {
        self.requests += 1;
        let count = match (record.is_result_known(), record.answer, record.outcome) {
            (false, _, _) if is_lost(record) => &mut self.lost,
            (false, _, _) => &mut self.broken_once,
            (true, AnswerKind::Complete, _) => &mut self.completed,
            (true, _, Some(Outcome::NotRun)) => &mut self.not_run,
            (true, _, Some(Outcome::Completed)) => &mut self.told_completed,
            (true, _, Some(Outcome::Unknown)) => &mut self.unknown,
            (true, _, _) => &mut self.other_errors,
        };
        *count += 1;
    }
}

/// Whether a request ended without a whole answer and without being told,
/// although its caller could repeat it or got something else.
pub fn is_lost(record: &AttemptRecord) -> bool {
    let broken = matches!(record.answer, AnswerKind::Partial | AnswerKind::Missing);
    let broken_once = broken && record.repeat == Idempotency::Once;
    record.last && !record.is_result_known() && !broken_once
}

/// Name of the request that an attempt's nonce belongs to.
fn name(nonce: &str) -> &str {
    nonce.rsplit_once('#').map_or(nonce, |(name, _)| name)
}

fn duplicates(records: &[AttemptRecord], started: &[&str]) -> u64 {
    let once = records.iter().filter(|record| record.repeat != Idempotency::Idempotent);
    let once: HashSet<&str> = once.map(|record| record.name.as_str()).collect();
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for nonce in started {
        let name = name(nonce);
        if once.contains(name) {
            *runs.entry(name).or_default() += 1;
        }
    }
    runs.values().filter(|count| **count > 1).count() as u64
}
