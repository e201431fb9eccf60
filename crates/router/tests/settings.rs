//! Guards against settings that are misread or refused one error at a time.

use span_router::settings::parse;

const VALID: &str = "\
instance: r1
failure_domain: hall-atl
http_address: 127.0.0.1:8080
peer_address: 127.0.0.1:8081
platform_address: 127.0.0.1:9000
";

#[test]
fn valid_settings_have_defaults() {
    let settings = parse(VALID).expect("they are valid");
    assert_eq!(settings.timeouts.silence_ms, 5_000);
    assert_eq!(settings.limits.body_bytes, 8 * 1024 * 1024);
    assert_eq!(settings.trace.otlp_url, None);
    let more = format!(
        "{VALID}timeouts:\n  silence_ms: 700\ntrace:\n  otlp_url: http://127.0.0.1:4318/v1/traces\n"
    );
    let settings = parse(&more).expect("they are valid");
    assert_eq!(settings.timeouts.silence_ms, 700);
    assert!(settings.trace.otlp_url.is_some());
}

#[test]
fn every_error_is_found_with_line_and_path() {
    let text = "\
instance: r 1
http_address: here
peer_address: 127.0.0.1:1
colour: red
limits:
  body_bytes: -1
  header_bytes: 10
  size: 4
timeouts:
  silence_ms: 5s
  write_ms: 0
trace: yes
platform_address: [1]
";
    let diagnostics = parse(text).expect_err("they are not valid");
    let diagnostics: Vec<_> =
        diagnostics.iter().map(|f| format!("{}: {}: {}", f.line, f.path, f.message)).collect();
    let expected = [
        "1: failure_domain: is missing",
        "1: instance: must be a plain name",
        "2: http_address: \"here\": invalid socket address syntax",
        "4: colour: is not a known field",
        "6: limits.body_bytes: \"-1\": invalid digit found in string",
        "7: limits.header_bytes: must be at least 8192",
        "8: limits.size: is not a known field",
        "10: timeouts.silence_ms: \"5s\": invalid digit found in string",
        "11: timeouts.write_ms: must be between 1 and 86400000 milliseconds",
        "12: trace: must be a mapping",
        "13: platform_address: must be a single value",
    ];
    assert_eq!(diagnostics, expected);
}

#[test]
fn text_that_is_not_a_mapping_is_one_error() {
    for text in ["", "- a", "a: [", "a: 1\na: 2"] {
        assert!(!parse(text).expect_err("it is not valid").is_empty(), "{text:?}");
    }
}
