//! Compares what callers were told with what the upstreams executed.

use std::collections::{HashMap, HashSet};

use serde::Serialize;
use span_load::{AnswerKind, AttemptRecord, request_generator::Idempotency};
use span_standin::Execution;
use span_types::Outcome;

/// Numbers of requests by result, and of violated guarantees.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Requests; all attempts of a request count as one.
    pub requests: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Requests that received their complete answer.
    pub completed: u64,
    /// Requests whose caller was told `not_run`.
    pub not_run: u64,
    /// Requests whose caller was told `completed` without the answer, because their
    /// idempotency key ran before.
    pub told_completed: u64,
    /// Requests whose caller was told `unknown`.
    pub unknown: u64,
    /// Requests answered with an error that has none of these outcomes.
    pub other_errors: u64,
    /// Requests that may run at most once, have no idempotency key, and whose
    /// connection was interrupted. The caller was told nothing and must not retry, so
    /// their outcome is unknown to the caller.
    pub broken_once: u64,
    /// Other requests that ended without a complete answer and without an outcome.
    pub lost: u64,
    /// Attempts that were interrupted or got no answer, including those that were
    /// retried.
    pub broken_attempts: u64,
    /// Answers with content that does not belong to their request.
    pub crossed: u64,
    /// Answers of which only the beginning arrived.
    pub incomplete: u64,
    /// Attempts that ran although the caller was told `not_run`.
    pub not_run_that_ran: u64,
    /// Attempts that received a complete answer or were told `completed` although no
    /// upstream executed their request.
    pub completed_that_did_not_run: u64,
    /// Non-idempotent requests that ran more than once.
    pub duplicated_non_idempotent: u64,
    /// Complete answers with an outcome other than `completed`.
    pub wrong_outcome: u64,
}

/// Audits the attempts of a run against the executions at the upstreams.
pub fn audit(records: &[AttemptRecord], executions: &[Execution]) -> Audit {
    let started: Vec<&str> = executions
        .iter()
        .filter(|execution| execution.started_us > 0)
        .map(|execution| execution.nonce.as_str())
        .collect();
    let ran_attempts: HashSet<&str> = started.iter().copied().collect();
    let ran_requests: HashSet<&str> = started.iter().map(|nonce| request_name(nonce)).collect();
    let mut audit = Audit::default();
    for record in records {
        audit.count_attempt(record, &ran_attempts, &ran_requests);
        if record.last {
            audit.count_request(record);
        }
    }
    audit.duplicated_non_idempotent = count_duplicates(records, &started);
    audit
}

impl Audit {
    fn count_attempt(
        &mut self,
        record: &AttemptRecord,
        ran_attempts: &HashSet<&str>,
        ran_requests: &HashSet<&str>,
    ) {
        self.attempts += 1;
        let is_complete = record.answer == AnswerKind::Complete;
        let outcome = record.outcome;
        self.crossed += u64::from(record.answer == AnswerKind::Foreign);
        self.incomplete += u64::from(record.answer == AnswerKind::Partial);
        let is_interrupted = matches!(record.answer, AnswerKind::Partial | AnswerKind::Missing);
        self.broken_attempts += u64::from(is_interrupted);
        let is_told_not_run = outcome == Some(Outcome::NotRun) && !is_complete;
        self.not_run_that_ran +=
            u64::from(is_told_not_run && ran_attempts.contains(record.nonce.as_str()));
        let did_not_run = !ran_requests.contains(record.name.as_str());
        let is_told_completed =
            outcome == Some(Outcome::Completed) && record.answer == AnswerKind::Error;
        self.completed_that_did_not_run +=
            u64::from((is_complete || is_told_completed) && did_not_run);
        let has_wrong_outcome =
            is_complete && outcome.is_some_and(|outcome| outcome != Outcome::Completed);
        self.wrong_outcome += u64::from(has_wrong_outcome);
    }

    fn count_request(&mut self, record: &AttemptRecord) {
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

/// Whether a request ended without a complete answer and without an outcome, although
/// its caller could retry it or received content of another request.
pub fn is_lost(record: &AttemptRecord) -> bool {
    let is_interrupted = matches!(record.answer, AnswerKind::Partial | AnswerKind::Missing);
    let is_interrupted_once = is_interrupted && record.repeat == Idempotency::Once;
    record.last && !record.is_result_known() && !is_interrupted_once
}

/// Returns the name of the request that the nonce of an attempt belongs to.
fn request_name(nonce: &str) -> &str {
    nonce.rsplit_once('#').map_or(nonce, |(request_name, _)| request_name)
}

/// Counts the requests that may run at most once but ran more often.
fn count_duplicates(records: &[AttemptRecord], started: &[&str]) -> u64 {
    let non_idempotent = records.iter().filter(|record| record.repeat != Idempotency::Idempotent);
    let non_idempotent: HashSet<&str> = non_idempotent.map(|record| record.name.as_str()).collect();
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for nonce in started {
        let request_name = request_name(nonce);
        if non_idempotent.contains(request_name) {
            *runs.entry(request_name).or_default() += 1;
        }
    }
    runs.values().filter(|count| **count > 1).count() as u64
}
