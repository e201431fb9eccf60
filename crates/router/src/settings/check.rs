//! Reads settings field by field, so that one pass reports all errors.

use std::{fmt::Display, net::SocketAddr, str::FromStr};

use marked_yaml::{LoadError, Node, types::MarkedMappingNode};

use span_config::KeyHash;
use span_fair::DispatchPolicy;

use super::{Diagnostic, Limits, Settings, Timeouts, Trace};

const MAX_TIMEOUT_MS: u64 = 24 * 60 * 60 * 1_000;
/// Smallest buffer that hyper accepts for request heads.
const MIN_HEADER_BYTES: usize = 8_192;

/// Reads settings; the errors are ordered by line.
pub(super) fn parse_settings(text: &str) -> Result<Settings, Vec<Diagnostic>> {
    let node = marked_yaml::parse_yaml(0, text).map_err(|error| vec![syntax_error(&error)])?;
    let Some(map) = node.as_mapping() else {
        let message = "must be a mapping".into();
        return Err(vec![Diagnostic { line: line_of(&node), path: ".".into(), message }]);
    };
    let mut diagnostics = Vec::new();
    let settings = read_root(&mut SectionReader {
        map,
        path: "",
        known_fields: Vec::new(),
        diagnostics: &mut diagnostics,
    });
    diagnostics.sort_by_key(|diagnostic| diagnostic.line);
    match settings {
        Some(settings) if diagnostics.is_empty() => Ok(settings),
        _ => Err(diagnostics),
    }
}

fn syntax_error(error: &LoadError) -> Diagnostic {
    let line = match error {
        LoadError::TopLevelMustBeMapping(mark)
        | LoadError::TopLevelMustBeSequence(mark)
        | LoadError::UnexpectedAnchor(mark)
        | LoadError::MappingKeyMustBeScalar(mark)
        | LoadError::UnexpectedTag(mark)
        | LoadError::ScanError(mark, _) => mark.line(),
        LoadError::DuplicateKey(_) => 0,
    };
    Diagnostic { line, path: ".".into(), message: error.to_string() }
}

fn line_of(node: &Node) -> usize {
    node.span().start().map_or(0, |mark| mark.line())
}

fn read_root(section: &mut SectionReader<'_>) -> Option<Settings> {
    let instance: Option<String> = section.required("instance");
    let failure_domain: Option<String> = section.required("failure_domain");
    let http_address: Option<SocketAddr> = section.required("http_address");
    let http_listen_address = section.read("http_listen_address");
    let peer_address: Option<SocketAddr> = section.required("peer_address");
    let peer_listen_address = section.read("peer_listen_address");
    let platform_address: Option<SocketAddr> = section.required("platform_address");
    let policy: String = section.optional("policy", DispatchPolicy::default().to_string());
    let statsd_address = section.read("statsd_address");
    let control_budget_bytes_per_s = section.read("control_budget_bytes_per_s");
    let admin_key: String = section.optional("admin_key_sha256", String::new());
    let limits = section.section("limits", read_limits);
    let timeouts = section.section("timeouts", read_timeouts);
    let trace = section.section("trace", read_trace);
    section.check_unknown_fields();
    section.check(
        "instance",
        instance.as_deref().is_none_or(is_instance_name),
        "may only contain ASCII letters, digits, -, _ and .",
    );
    section.check(
        "policy",
        policy.parse::<DispatchPolicy>().is_ok(),
        "must be fleet, local or fcfs",
    );
    let valid_budget = control_budget_bytes_per_s.is_none_or(|bytes: u64| bytes > 0);
    section.check("control_budget_bytes_per_s", valid_budget, "must be above 0");
    let valid_hash = admin_key.is_empty() || is_sha256(&admin_key);
    section.check("admin_key_sha256", valid_hash, "must be 64 lower-case hexadecimal digits");
    let distinct = http_address.is_none()
        || http_address != peer_address
        || http_address.is_some_and(|address| address.port() == 0);
    section.check("peer_address", distinct, "must differ from http_address");
    Some(Settings {
        instance: instance?.into(),
        failure_domain: failure_domain?.into(),
        http_address: http_address?,
        http_listen_address,
        peer_address: peer_address?,
        peer_listen_address,
        platform_address: platform_address?,
        policy: policy.parse().unwrap_or_default(),
        statsd_address,
        control_budget_bytes_per_s,
        admin_key_sha256: Some(admin_key).filter(|k| !k.is_empty()).map(|k| KeyHash(k.into())),
        limits,
        timeouts,
        trace,
    })
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

/// Request ids contain the instance name and are sent in headers, so it must
/// consist of characters that headers allow.
fn is_instance_name(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
}

fn read_limits(section: &mut SectionReader<'_>) -> Limits {
    let default = Limits::default();
    let limits = Limits {
        header_bytes: section.optional("header_bytes", default.header_bytes),
        body_bytes: section.optional("body_bytes", default.body_bytes),
        buffered_answer_bytes: section
            .optional("buffered_answer_bytes", default.buffered_answer_bytes),
        connections: section.optional("connections", default.connections),
        remembered_ids: section.optional("remembered_ids", default.remembered_ids),
    };
    let message = format!("must be at least {MIN_HEADER_BYTES}");
    section.check("header_bytes", limits.header_bytes >= MIN_HEADER_BYTES, &message);
    section.check("body_bytes", limits.body_bytes > 0, "must be above 0");
    section.check("buffered_answer_bytes", limits.buffered_answer_bytes > 0, "must be above 0");
    section.check("connections", limits.connections > 0, "must be above 0");
    section.check("remembered_ids", limits.remembered_ids > 0, "must be above 0");
    limits
}

fn read_timeouts(section: &mut SectionReader<'_>) -> Timeouts {
    let default = Timeouts::default();
    Timeouts {
        header_ms: section.timeout("header_ms", default.header_ms, 1),
        body_ms: section.timeout("body_ms", default.body_ms, 1),
        write_ms: section.timeout("write_ms", default.write_ms, 1),
        connect_ms: section.timeout("connect_ms", default.connect_ms, 1),
        silence_ms: section.timeout("silence_ms", default.silence_ms, 1),
        answer_ms: section.timeout("answer_ms", default.answer_ms, 1),
        platform_ms: section.timeout("platform_ms", default.platform_ms, 1),
        address_lifetime_ms: section.timeout("address_lifetime_ms", default.address_lifetime_ms, 0),
        shutdown_ms: section.timeout("shutdown_ms", default.shutdown_ms, 0),
    }
}

fn read_trace(section: &mut SectionReader<'_>) -> Trace {
    let url: String = section.optional("otlp_url", String::new());
    let valid = url.is_empty() || url.parse::<http::Uri>().is_ok_and(|uri| uri.host().is_some());
    section.check("otlp_url", valid, "must be a URL with a host");
    Trace { otlp_url: Some(url).filter(|url| !url.is_empty()) }
}

/// Reads the fields of one mapping and collects the errors.
struct SectionReader<'a> {
    map: &'a MarkedMappingNode,
    path: &'a str,
    known_fields: Vec<&'static str>,
    diagnostics: &'a mut Vec<Diagnostic>,
}

impl SectionReader<'_> {
    fn report(&mut self, line: usize, name: &str, message: impl Into<String>) {
        let path =
            if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) };
        self.diagnostics.push(Diagnostic { line, path, message: message.into() });
    }

    fn read<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.known_fields.push(name);
        let node = self.map.get_node(name)?;
        let line = line_of(node);
        let Some(scalar) = node.as_scalar() else {
            self.report(line, name, "must be a scalar value");
            return None;
        };
        match scalar.as_str().parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(line, name, format!("{:?}: {error}", scalar.as_str()));
                None
            }
        }
    }

    fn required<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.map.get_node(name).is_none() {
            let line = self.map.span().start().map_or(0, |mark| mark.line());
            self.report(line, name, "is missing");
        }
        self.read(name)
    }

    fn optional<T>(&mut self, name: &'static str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.read(name).unwrap_or(default)
    }

    fn timeout(&mut self, name: &'static str, default_ms: u64, min_ms: u64) -> u64 {
        let value_ms = self.optional(name, default_ms);
        let message = format!("must be between {min_ms} and {MAX_TIMEOUT_MS} milliseconds");
        self.check(name, (min_ms..=MAX_TIMEOUT_MS).contains(&value_ms), &message);
        value_ms
    }

    fn section<T: Default>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut SectionReader<'_>) -> T,
    ) -> T {
        self.known_fields.push(name);
        let Some(node) = self.map.get_node(name) else {
            return T::default();
        };
        let Some(map) = node.as_mapping() else {
            self.report(line_of(node), name, "must be a mapping");
            return T::default();
        };
        let mut section = SectionReader {
            map,
            path: name,
            known_fields: Vec::new(),
            diagnostics: self.diagnostics,
        };
        let value = read(&mut section);
        section.check_unknown_fields();
        value
    }

    fn check(&mut self, name: &str, holds: bool, message: &str) {
        if !holds {
            let line = self.map.get_node(name).map_or(0, line_of);
            self.report(line, name, message);
        }
    }

    fn check_unknown_fields(&mut self) {
        let unknown: Vec<_> =
            self.map.iter().filter(|(key, _)| !self.known_fields.contains(&key.as_str())).collect();
        for (key, node) in unknown {
            let line = key.span().start().map_or_else(|| line_of(node), |mark| mark.line());
            self.report(line, key.as_str(), "is not a known field");
        }
    }
}
