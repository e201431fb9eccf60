//! Reads the fields of one YAML mapping and reports invalid and unknown ones.

use std::{net::SocketAddr, ops::RangeInclusive};

use super::{
    ProblemCollector, limits,
    value::{Location, Mapping, Scalar, Value},
};
use crate::KeyHash;

/// Key suffixes that state a unit. A key with a wrong or missing suffix is reported
/// together with the correct key.
const UNIT_SUFFIXES: [&str; 8] = ["_us", "_ms", "_s", "_sec", "_secs", "_seconds", "_min", "_m"];

/// Takes fields out of a mapping by their keys.
pub(super) struct MappingReader<'a> {
    pub(super) location: Location,
    entries: Vec<(Scalar, Value)>,
    known_keys: Vec<&'static str>,
    problems: &'a mut ProblemCollector,
}

impl<'a> MappingReader<'a> {
    pub(super) fn new(mapping: Mapping, problems: &'a mut ProblemCollector) -> Self {
        Self {
            location: mapping.location,
            entries: mapping.entries,
            known_keys: Vec::new(),
            problems,
        }
    }

    pub(super) fn report(&mut self, location: &Location, message: impl Into<String>) {
        self.problems.report(location, message);
    }

    /// Takes the value of an optional field.
    pub(super) fn take(&mut self, field: &'static str) -> Option<Value> {
        self.known_keys.push(field);
        let position = self.entries.iter().position(|(key, _)| key.text == field)?;
        Some(self.entries.remove(position).1)
    }

    /// Takes the value of a field; reports it if it is missing or empty.
    fn required(&mut self, field: &'static str) -> Option<Value> {
        let value = self.take(field).filter(|value| !value.is_empty_scalar());
        if value.is_none() && !self.has_unit_variant(field) {
            let location = self.location.child(field);
            self.report(&location, "is missing");
        }
        value
    }

    /// Returns true if the mapping has `field` with another unit suffix. Then
    /// [`MappingReader::report_unknown_keys`] reports that key, and the field is not
    /// reported as missing as well.
    fn has_unit_variant(&self, field: &str) -> bool {
        self.entries
            .iter()
            .any(|(key, _)| key.text != field && strip_unit(&key.text) == strip_unit(field))
    }

    fn scalar(&mut self, value: Value) -> Option<Scalar> {
        match value {
            Value::Scalar(scalar) => Some(scalar),
            other => {
                let message = format!("has to be a single value, not {}", other.type_name());
                self.report(other.location(), message);
                None
            }
        }
    }

    pub(super) fn required_scalar(&mut self, field: &'static str) -> Option<Scalar> {
        let value = self.required(field)?;
        self.scalar(value)
    }

    /// Reads a name: lower-case letters, digits, `-`, `_` and `.`, beginning with a
    /// letter or digit.
    pub(super) fn required_name(&mut self, field: &'static str) -> Option<Scalar> {
        let scalar = self.required_scalar(field)?;
        if is_valid_name(&scalar.text) {
            return Some(scalar);
        }
        let message = format!(
            "{:?} is not usable as a name: at most {} lower-case letters, digits, '-', '_' or '.', \
             beginning with a letter or digit",
            truncate(&scalar.text),
            limits::MAX_NAME_BYTES
        );
        self.report(&scalar.location, message);
        None
    }

    /// Reads an integer in `range`. Without a `default`, the field is required.
    /// `unit` is what the number counts, for messages.
    pub(super) fn number(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        unit: &str,
        default: Option<u64>,
    ) -> Option<u64> {
        let value = match default {
            Some(default) => match self.take(field) {
                Some(value) => value,
                None => return Some(default),
            },
            None => self.required(field)?,
        };
        let scalar = self.scalar(value)?;
        match parse_number(&scalar.text, &range, unit) {
            Ok(number) => Some(number),
            Err(message) => {
                self.report(&scalar.location, message);
                None
            }
        }
    }

    pub(super) fn bool_or(&mut self, field: &'static str, default: bool) -> Option<bool> {
        let Some(value) = self.take(field) else { return Some(default) };
        let scalar = self.scalar(value)?;
        match scalar.text.as_str() {
            "true" => Some(true),
            "false" => Some(false),
            other => {
                let message = format!("{:?} is neither true nor false", truncate(other));
                self.report(&scalar.location, message);
                None
            }
        }
    }

    pub(super) fn address(&mut self, field: &'static str) -> Option<(SocketAddr, Location)> {
        let scalar = self.required_scalar(field)?;
        let address = scalar.text.parse();
        if address.is_err() {
            let message = format!("{:?} is no IP address with port", truncate(&scalar.text));
            self.report(&scalar.location, message);
        }
        Some((address.ok()?, scalar.location))
    }

    /// Reads a list of scalars. An absent field is an empty list.
    pub(super) fn scalars(&mut self, field: &'static str) -> Vec<Scalar> {
        let Some(value) = self.take(field) else { return Vec::new() };
        self.list(value).into_iter().filter_map(|value| self.scalar(value)).collect()
    }

    pub(super) fn list(&mut self, value: Value) -> Vec<Value> {
        match value {
            Value::List(items, _) => items,
            value if value.is_empty_scalar() => Vec::new(),
            other => {
                self.report(
                    other.location(),
                    format!("has to be a list, not {}", other.type_name()),
                );
                Vec::new()
            }
        }
    }

    /// Parses the hash of a key. The message does not quote the value, because it may
    /// be a key in clear text.
    pub(super) fn key_hash(&mut self, scalar: &Scalar) -> Option<KeyHash> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if scalar.text.len() == 64 && scalar.text.bytes().all(is_digit) {
            return Some(KeyHash(scalar.text.as_str().into()));
        }
        self.report(&scalar.location, "is no SHA-256 in 64 lower-case hexadecimal digits");
        None
    }

    /// Reports the keys that were not taken.
    pub(super) fn report_unknown_keys(self) {
        for (key, _) in &self.entries {
            let same_without_unit = |known: &&&str| strip_unit(known) == strip_unit(&key.text);
            let message = match self.known_keys.iter().find(same_without_unit) {
                Some(known) => format!("is not known; the unit is part of the name: {known}"),
                None => format!("is not known; expected one of: {}", self.known_keys.join(", ")),
            };
            self.problems.report(&key.location, message);
        }
    }
}

fn strip_unit(name: &str) -> &str {
    UNIT_SUFFIXES.iter().find_map(|suffix| name.strip_suffix(suffix)).unwrap_or(name)
}

fn is_valid_name(text: &str) -> bool {
    let is_first = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let is_other = |byte: u8| is_first(byte) || b"-_.".contains(&byte);
    text.len() <= limits::MAX_NAME_BYTES
        && text.bytes().next().is_some_and(is_first)
        && text.bytes().all(is_other)
}

/// Limits the length of a text that a message quotes.
fn truncate(text: &str) -> String {
    text.chars().take(limits::MAX_NAME_BYTES).collect()
}

fn parse_number(text: &str, range: &RangeInclusive<u64>, unit: &str) -> Result<u64, String> {
    let (min, max) = (range.start(), range.end());
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    if digits > 0 && digits < text.len() && !text.contains(['.', 'e', 'E']) {
        return Err(format!("{:?}: give a whole number of {unit} without a unit", truncate(text)));
    }
    match text.parse::<u64>() {
        Ok(number) if range.contains(&number) => Ok(number),
        Ok(number) => Err(format!("{number} {unit} is outside {min} to {max}")),
        Err(_) => {
            Err(format!("{:?} is no whole number of {unit} from {min} to {max}", truncate(text)))
        }
    }
}
