//! Parsing and exporting configuration files.
#![allow(clippy::unwrap_used)]

mod support;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use support::{BASE_YAML, parse, source};

const SEED: u64 = 20;

/// Guards against problems that are reported without their location or not at all.
/// Each case is one file with several problems, which must all be reported together.
#[test]
fn every_problem_is_reported_with_its_location() {
    let cases = [
        (
            "units",
            "workspaces:\n  - name: a\n    share: 1\n    deadline: 20\n  - name: b\n    share: 1\n    \
             deadline_ms: 20s\n  - name: c\n    share: 1\n    deadline_s: 3\n  - name: d\n    \
             share: 1\n    deadline_ms: 5\n",
        ),
        (
            "shares",
            "workspaces:\n  - {name: a, share: 0}\n  - {name: b, share: 9000000}\n  - {name: c}\n  \
             - {name: d, share: -1}\n  - {name: e, share: 1.5}\n  - {name: f, share: lots}\n",
        ),
        (
            "names",
            "workspaces:\n  - {name: a, share: 1}\n  - {name: a, share: 1}\n  - {name: A b, share: \
             1}\n  - {share: 1}\n  - plain\nservices: nothing\n",
        ),
        (
            "references",
            "workspaces:\n  - {name: a, share: 1, services: [x, y, y]}\nservices:\n  - {name: y, \
             kind: model, models: [m]}\n  - {name: z, kind: model, models: [m]}\n  - {name: p, \
             kind: plain, models: [n]}\n  - {name: q, kind: model}\n  - {name: r, kind: odd}\n\
             upstreams:\n  - {name: u, service: w, address: here, failure_domain: d, \
             max_concurrency: 0, leaving: maybe}\n",
        ),
        (
            "unknown keys",
            "worskpaces: []\nworkspaces:\n  - name: a\n    share: 1\n    colour: red\n    share: 2\n",
        ),
        ("secret in clear text", "workspaces:\n  - {name: a, share: 1, keys: [hunter2]}\n"),
        ("syntax", "workspaces:\n  - name: [a\n"),
        ("anchors", "workspaces: &all\n  - *all\n"),
        ("not a mapping", "- a\n- b\n"),
    ];
    for (name, text) in cases {
        let problems = span_config::parse(&[source("fleet.yaml", text)]).unwrap_err();
        insta::assert_snapshot!(format!("problems_{}", name.replace(' ', "_")), problems);
    }
}

/// Guards against checks that miss duplicates across files.
#[test]
fn problems_across_files_are_reported() {
    let other = BASE_YAML.replace("name: big", "name: other");
    let files = [source("a.yaml", BASE_YAML), source("b.yaml", &other), source("c.yaml", "]")];
    insta::assert_snapshot!(span_config::parse(&files).unwrap_err());
}

/// Guards against an export that loses or changes a field.
#[test]
fn export_parses_to_the_same_document() {
    let document = parse(BASE_YAML);
    let text = span_config::export(&document).unwrap();
    insta::assert_snapshot!(text);
    assert_eq!(parse(&text), document);
}

/// Guards against a document that depends on how it is split into files or on their
/// order.
#[test]
fn order_of_files_does_not_matter() {
    let (first, second) = BASE_YAML.split_at(BASE_YAML.find("services:\n").unwrap());
    let files = [source("b.yaml", second), source("a.yaml", first)];
    assert_eq!(span_config::parse(&files).unwrap(), parse(BASE_YAML));
}

/// Guards against a stack overflow in the YAML parser.
#[test]
fn deep_nesting_is_rejected() {
    let repetitions = 200_000;
    let cases = [
        "[".repeat(repetitions),
        "- ".repeat(repetitions),
        "{a: ".repeat(repetitions),
        "? ".repeat(repetitions),
    ];
    for text in cases {
        assert!(span_config::parse(&[source("deep.yaml", &text)]).is_err());
    }
}

proptest! {
    #![proptest_config(Config { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..Config::default() })]

    /// Guards against a panic on malformed input, and against problems without a
    /// file name.
    #[test]
    fn malformed_text_does_not_panic(text in r"[\[\]{}:,&*!|>'%@`#a-z0-9\n \t\-?]{0,200}") {
        if let Err(problems) = span_config::parse(&[source("x.yaml", &text)]) {
            prop_assert!(!problems.0.is_empty());
            prop_assert!(problems.0.iter().all(|problem| problem.file == "x.yaml"));
        }
    }

    /// Guards against a panic in the later steps, which a damaged but otherwise valid
    /// file reaches.
    #[test]
    fn damaged_file_does_not_panic(at in 0..BASE_YAML.len(), removed in 0..40usize, insert in ".{0,6}") {
        let mut text = BASE_YAML.to_owned();
        text.replace_range(at..(at + removed).min(BASE_YAML.len()), &insert);
        let _ = span_config::parse(&[source("x.yaml", &text)]);
    }

    /// Guards against an export that parses to another document. Generated documents
    /// that do not pass the checks are skipped.
    #[test]
    fn valid_documents_survive_an_export(document in support::document()) {
        let text = span_config::export(&document).unwrap();
        if let Ok(read) = span_config::parse(&[source("x.yaml", &text)]) {
            prop_assert_eq!(read, document);
        }
    }

    /// Guards against names and models that YAML interprets as another type, such as
    /// a number.
    #[test]
    fn names_and_models_survive_an_export(model in r"[ -~]{1,12}", name in r"[a-z0-9][a-z0-9._-]{0,8}") {
        let mut document = parse(BASE_YAML);
        let service = document.services.get("chat").unwrap().clone();
        let models = [model.as_str().into()].into();
        document.services.insert(name.into(), span_config::Service { models, ..service });
        let text = span_config::export(&document).unwrap();
        match span_config::parse(&[source("x.yaml", &text)]) {
            Ok(read) => prop_assert_eq!(read, document),
            Err(problems) => prop_assert!(false, "{}\n{}", problems, text),
        }
    }
}
