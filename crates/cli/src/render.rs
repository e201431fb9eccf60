//! Renders responses as text for people.

use std::fmt::Write;

use span_config::Problem;
use span_intent::message::{
    ConfirmResponse, HistoryEntry, HistoryResponse, OrderResponse, PlanResponse, RouterState,
    StatusResponse,
};

use crate::client::CallFailure;

pub(crate) fn plan(response: &PlanResponse) -> String {
    let plan = &response.plan;
    let mut text = format!("{plan}\n");
    if !plan.changes.is_empty() {
        let _ = match response.confirmed_as {
            Some(revision) => writeln!(text, "\nconfirmed as revision {revision}"),
            None => writeln!(text, "\nconfirm with: rosemaryspan confirm {}", plan.id),
        };
    }
    text
}

pub(crate) fn confirm(response: &ConfirmResponse) -> String {
    let note = if response.repeated { " (already confirmed)" } else { "" };
    format!("plan {} is confirmed as revision {}{note}\n", response.plan, response.revision)
}

pub(crate) fn status(response: &StatusResponse) -> String {
    let count = response.routers.len();
    let in_force = response.routers.iter().filter(|router| router.state == RouterState::InForce);
    let in_force = in_force.count();
    let mut text = format!(
        "accepted revision {}: in force at {in_force} of {count} routers\n",
        response.revision
    );
    for router in &response.routers {
        let _ = write!(text, "  {} ({}): {}", router.instance, router.failure_domain, router.state);
        if let Some(revision) = router.revision {
            let _ = write!(text, ", revision {revision}");
        }
        if router.leaving {
            text.push_str(", leaving");
        }
        if let Some(reason) = &router.reason {
            let _ = write!(text, " ({reason})");
        }
        text.push('\n');
    }
    text
}

pub(crate) fn history(response: &HistoryResponse) -> String {
    let mut text = format!("accepted revision {}\n", response.revision);
    write_entries(&mut text, &response.entries);
    text
}

fn write_entries(text: &mut String, entries: &[HistoryEntry]) {
    for entry in entries {
        let (revision, at) = (entry.revision, UtcTime(entry.at_ms));
        let _ = writeln!(text, "  {revision}  {at}  {}  {}", entry.operator, entry.summary);
    }
}

pub(crate) fn order(response: &OrderResponse) -> String {
    let note = if response.repeated { " (already executed)" } else { "" };
    format!("order {} is executed with fencing number {}{note}\n", response.id, response.fencing)
}

pub(crate) fn problems(problems: &[Problem]) -> String {
    let mut text = String::new();
    for problem in problems {
        let _ = writeln!(text, "{problem}");
    }
    text
}

pub(crate) fn failure(failure: &CallFailure) -> String {
    let mut text = problems(&failure.error.problems);
    let _ = writeln!(text, "error: {}", failure.error.message);
    if !failure.error.since.is_empty() {
        text.push_str("confirmed since the plan was made:\n");
        write_entries(&mut text, &failure.error.since);
    }
    if let Some(seconds) = failure.retry_after_s {
        let _ = writeln!(text, "retry in {seconds} s");
    }
    text
}

/// Milliseconds since the Unix epoch, printed as date and time in UTC.
struct UtcTime(u64);

impl std::fmt::Display for UtcTime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let seconds = self.0 / 1000;
        let (year, month, day) = civil_date(seconds / 86_400);
        let (hour, minute) = (seconds / 3600 % 24, seconds / 60 % 60);
        write!(f, "{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{:02}Z", seconds % 60)
    }
}

/// Converts days since the Unix epoch to year, month and day in the Gregorian calendar.
/// Counts in eras of 400 years that begin in March, so that the leap day is the last day
/// of a year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + days / 146_097 * 400 + u64::from(month <= 2);
    (year, month, day)
}
