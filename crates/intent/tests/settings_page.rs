//! Guards against documentation that lists other settings or defaults than the intent
//! process has.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use span_intent::settings::Settings;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

#[test]
fn documentation_lists_all_settings_with_their_defaults() {
    let required = json!({
        "instance": "i1",
        "intent_address": "127.0.0.1:1",
        "platform_address": "127.0.0.1:2",
    });
    let settings: Settings = serde_json::from_value(required.clone()).expect("they are valid");
    let value = serde_json::to_value(settings).expect("it is JSON");
    let fields = value.as_object().expect("it is an object");
    let expected: BTreeMap<_, _> = fields
        .iter()
        .map(|(name, value)| {
            let text = match value {
                _ if required.get(name).is_some() => "required".to_owned(),
                Value::Null => "none".to_owned(),
                other => other.to_string(),
            };
            (name.clone(), text)
        })
        .collect();
    let (_, section) = PAGE.split_once("### Intent settings\n").expect("the page has the section");
    let rows = section.lines().take_while(|line| !line.starts_with('#'));
    let listed: BTreeMap<_, _> = rows
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
            (cells[0].trim_matches('`').to_owned(), cells[2].to_owned())
        })
        .collect();
    assert_eq!(listed, expected);
}
