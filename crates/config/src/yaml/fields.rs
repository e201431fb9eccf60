//! Reads the fields of one mapping and reports those it does not know.

use std::{net::SocketAddr, ops::RangeInclusive};

use super::{
    Faults, limits,
    value::{Map, Place, Text, Value},
};
use crate::KeyHash;

/// Endings that state a unit, for hints about misspelt units.
const UNIT_ENDINGS: [&str; 8] = ["_us", "_ms", "_s", "_sec", "_secs", "_seconds", "_min", "_m"];

pub(super) struct Fields<'a> {
    pub(super) place: Place,
    entries: Vec<(Text, Value)>,
    known: Vec<&'static str>,
    faults: &'a mut Faults,
}

impl<'a> Fields<'a> {
    pub(super) fn new(map: Map, faults: &'a mut Faults) -> Self {
        Self { place: map.place, entries: map.entries, known: Vec::new(), faults }
    }

    pub(super) fn fault(&mut self, place: &Place, message: impl Into<String>) {
        self.faults.add(place, message);
    }

    pub(super) fn take(&mut self, field: &'static str) -> Option<Value> {
        self.known.push(field);
        let position = self.entries.iter().position(|(key, _)| key.text == field)?;
        Some(self.entries.remove(position).1)
    }

    fn required(&mut self, field: &'static str) -> Option<Value> {
        let value = self.take(field).filter(|value| !value.is_empty_text());
        if value.is_none() && !self.has_variant(field) {
            let place = self.place.child(field);
            self.fault(&place, "is missing");
        }
        value
    }

    /// A misspelt unit is reported once, by [`Fields::finish`].
    fn has_variant(&self, field: &str) -> bool {
        self.entries.iter().any(|(key, _)| key.text != field && stem(&key.text) == stem(field))
    }

    fn text_of(&mut self, value: Value) -> Option<Text> {
        match value {
            Value::Text(text) => Some(text),
            other => {
                let message = format!("has to be a single value, not {}", other.form());
                self.fault(other.place(), message);
                None
            }
        }
    }

    pub(super) fn text(&mut self, field: &'static str) -> Option<Text> {
        let value = self.required(field)?;
        self.text_of(value)
    }

    /// A name: lower-case letters, digits, `-`, `_` and `.`.
    pub(super) fn name(&mut self, field: &'static str) -> Option<Text> {
        let text = self.text(field)?;
        if is_name(&text.text) {
            return Some(text);
        }
        let message = format!(
            "{:?} is not usable as a name: at most {} lower-case letters, digits, '-', '_' or '.', \
             beginning with a letter or digit",
            clip(&text.text),
            limits::NAME_LENGTH
        );
        self.fault(&text.place, message);
        None
    }

    /// A whole number; `unit` is what it counts.
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
        let text = self.text_of(value)?;
        match number(&text.text, &range, unit) {
            Ok(number) => Some(number),
            Err(message) => {
                self.fault(&text.place, message);
                None
            }
        }
    }

    pub(super) fn flag(&mut self, field: &'static str, default: bool) -> Option<bool> {
        let Some(value) = self.take(field) else { return Some(default) };
        let text = self.text_of(value)?;
        match text.text.as_str() {
            "true" => Some(true),
            "false" => Some(false),
            other => {
                let message = format!("{:?} is neither true nor false", clip(other));
                self.fault(&text.place, message);
                None
            }
        }
    }

    pub(super) fn address(&mut self, field: &'static str) -> Option<(SocketAddr, Place)> {
        let text = self.text(field)?;
        let address = text.text.parse();
        if address.is_err() {
            let message = format!("{:?} is no IP address with port", clip(&text.text));
            self.fault(&text.place, message);
        }
        Some((address.ok()?, text.place))
    }

    /// A list of single values; absent and empty are the same.
    pub(super) fn texts(&mut self, field: &'static str) -> Vec<Text> {
        let Some(value) = self.take(field) else { return Vec::new() };
        self.list(value).into_iter().filter_map(|value| self.text_of(value)).collect()
    }

    pub(super) fn list(&mut self, value: Value) -> Vec<Value> {
        match value {
            Value::List(items, _) => items,
            value if value.is_empty_text() => Vec::new(),
            other => {
                self.fault(other.place(), format!("has to be a list, not {}", other.form()));
                Vec::new()
            }
        }
    }

    /// The value is not repeated in messages: it may be a key in clear text.
    pub(super) fn key_hash(&mut self, text: &Text) -> Option<KeyHash> {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.text.len() == 64 && text.text.bytes().all(digit) {
            return Some(KeyHash(text.text.as_str().into()));
        }
        self.fault(&text.place, "is no SHA-256 in 64 lower-case hexadecimal digits");
        None
    }

    /// Reports the fields that nothing has asked for.
    pub(super) fn finish(self) {
        for (key, _) in &self.entries {
            let same_stem = |known: &&&str| stem(known) == stem(&key.text);
            let message = match self.known.iter().find(same_stem) {
                Some(known) => format!("is not known; the unit is part of the name: {known}"),
                None => format!("is not known; expected one of: {}", self.known.join(", ")),
            };
            self.faults.add(&key.place, message);
        }
    }
}

fn stem(name: &str) -> &str {
    UNIT_ENDINGS.iter().find_map(|ending| name.strip_suffix(ending)).unwrap_or(name)
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let inner = |byte: u8| allowed(byte) || b"-_.".contains(&byte);
    text.len() <= limits::NAME_LENGTH
        && text.bytes().next().is_some_and(allowed)
        && text.bytes().all(inner)
}

fn clip(text: &str) -> String {
    text.chars().take(limits::NAME_LENGTH).collect()
}

fn number(text: &str, range: &RangeInclusive<u64>, unit: &str) -> Result<u64, String> {
    let (min, max) = (range.start(), range.end());
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    if digits > 0 && digits < text.len() && !text.contains(['.', 'e', 'E']) {
        return Err(format!("{:?}: give a whole number of {unit} without a unit", clip(text)));
    }
    match text.parse::<u64>() {
        Ok(number) if range.contains(&number) => Ok(number),
        Ok(number) => Err(format!("{number} {unit} is outside {min} to {max}")),
        Err(_) => Err(format!("{:?} is no whole number of {unit} from {min} to {max}", clip(text))),
    }
}
