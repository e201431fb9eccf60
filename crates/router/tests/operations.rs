//! Guards against an operations page whose settings, defaults or counters differ
//! from the router's.

use std::collections::BTreeMap;

use serde_json::Value;
use span_router::{control::Counter, settings};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const REQUIRED: &str = "
instance: r1
failure_domain: d1
http_address: 127.0.0.1:1
peer_address: 127.0.0.1:2
platform_address: 127.0.0.1:3
";

/// The first column and another one of the table below a heading.
fn table(heading: &str, column: usize) -> BTreeMap<String, String> {
    let (_, section) =
        PAGE.split_once(&format!("{heading}\n")).expect("the page lacks the section");
    let rows = section.lines().take_while(|line| !line.starts_with('#'));
    let cells = rows.filter(|line| line.starts_with("| `")).map(|line| {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        (cells[0].trim_matches('`').to_owned(), cells[column].to_owned())
    });
    cells.collect()
}

fn flatten(path: &str, value: &Value, rows: &mut BTreeMap<String, String>) {
    let Value::Object(fields) = value else {
        let required = REQUIRED.contains(&format!("\n{path}:"));
        let text = match value {
            _ if required => "required".to_owned(),
            Value::Null => "none".to_owned(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        rows.insert(path.to_owned(), text);
        return;
    };
    for (name, value) in fields {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        flatten(&path, value, rows);
    }
}

#[test]
fn page_lists_all_settings_and_defaults() {
    let settings = settings::parse(REQUIRED).expect("the settings were rejected");
    let mut rows = BTreeMap::new();
    flatten("", &serde_json::to_value(settings).expect("invalid JSON"), &mut rows);
    assert_eq!(table("### Router settings", 2), rows);
}

#[test]
fn page_lists_all_counters() {
    use strum::IntoEnumIterator;
    let names: Vec<String> = Counter::iter().map(|c| <&str>::from(c).to_owned()).collect();
    let mut sorted = names.clone();
    sorted.sort();
    assert_eq!(table("## Metrics", 0).into_keys().collect::<Vec<_>>(), sorted);
}
