//! YAML values with file, line and path.

use std::sync::Arc;

use marked_yaml::{LoadError, Marker, Node, loader::LoaderOptions, parse_yaml_with_options};

use super::{ProblemCollector, limits};

/// Location of a value.
#[derive(Clone, Debug)]
pub(super) struct Location {
    pub(super) file: Arc<str>,
    pub(super) line: usize,
    pub(super) path: String,
}

impl Location {
    pub(super) fn child(&self, name: &str) -> Self {
        let separator = if self.path.is_empty() || name.starts_with('[') { "" } else { "." };
        let path = format!("{}{separator}{name}", self.path);
        Self { file: Arc::clone(&self.file), line: self.line, path }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Scalar {
    pub(super) text: String,
    pub(super) location: Location,
}

#[derive(Clone, Debug)]
pub(super) enum Value {
    Scalar(Scalar),
    List(Vec<Value>, Location),
    Mapping(Mapping),
}

impl Value {
    pub(super) fn location(&self) -> &Location {
        match self {
            Self::Scalar(scalar) => &scalar.location,
            Self::List(_, location) => location,
            Self::Mapping(mapping) => &mapping.location,
        }
    }

    pub(super) fn is_empty_scalar(&self) -> bool {
        matches!(self, Self::Scalar(scalar) if scalar.text.is_empty())
    }

    pub(super) fn type_name(&self) -> &'static str {
        match self {
            Self::Scalar(_) => "a single value",
            Self::List(..) => "a list",
            Self::Mapping(_) => "a mapping",
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Mapping {
    pub(super) location: Location,
    pub(super) entries: Vec<(Scalar, Value)>,
}

/// Parses one file. Returns `None` if the file has no content except comments, or
/// after reporting that it is not a YAML mapping or exceeds a limit.
pub(super) fn load(file: &Arc<str>, text: &str, problems: &mut ProblemCollector) -> Option<Value> {
    let at_line = |line| Location { file: Arc::clone(file), line, path: String::new() };
    if text.len() > limits::MAX_FILE_BYTES {
        problems.report(
            &at_line(0),
            format!("the file is larger than {} bytes", limits::MAX_FILE_BYTES),
        );
        return None;
    }
    if let Some(line) = limits::first_too_deep_line(text) {
        problems.report(&at_line(line), "the file is nested too deeply");
        return None;
    }
    // A file of only comments is valid and empty.
    if text.lines().all(|line| line.trim().is_empty() || line.trim_start().starts_with('#')) {
        return None;
    }
    match parse_node(text, file, problems) {
        Ok(node) => Some(convert(&node, &at_line(1))),
        Err(error) => {
            let (line, message) = describe_load_error(&error);
            problems.report(&at_line(line), message);
            None
        }
    }
}

/// Reports the first duplicate key, then parses again without that check, so that
/// the other problems of the file are found as well.
fn parse_node(
    text: &str,
    file: &Arc<str>,
    problems: &mut ProblemCollector,
) -> Result<Node, LoadError> {
    let reject_duplicates = LoaderOptions::default().error_on_duplicate_keys(true);
    match parse_yaml_with_options(0, text, reject_duplicates) {
        Err(LoadError::DuplicateKey(duplicate)) => {
            let line = duplicate.key.span().start().map_or(0, Marker::line);
            let location =
                Location { file: Arc::clone(file), line, path: duplicate.key.to_string() };
            let previous_line = duplicate.prev_key.span().start().map_or(0, Marker::line);
            problems.report(&location, format!("the key is already given in line {previous_line}"));
            parse_yaml_with_options(0, text, LoaderOptions::default())
        }
        result => result,
    }
}

fn describe_load_error(error: &LoadError) -> (usize, String) {
    match error {
        LoadError::TopLevelMustBeMapping(marker) | LoadError::TopLevelMustBeSequence(marker) => (
            marker.line(),
            "the file has to be a mapping with lists such as workspaces:".to_owned(),
        ),
        LoadError::UnexpectedAnchor(marker) => {
            (marker.line(), "anchors are not supported".to_owned())
        }
        LoadError::MappingKeyMustBeScalar(marker) => {
            (marker.line(), "the key of a mapping has to be a single value".to_owned())
        }
        LoadError::UnexpectedTag(marker) => (marker.line(), "tags are not supported".to_owned()),
        LoadError::ScanError(marker, error) => (marker.line(), format!("not valid YAML: {error}")),
        LoadError::DuplicateKey(_) => (0, "a key is given twice".to_owned()),
    }
}

fn convert(node: &Node, parent: &Location) -> Value {
    let line = node.span().start().map_or(parent.line, Marker::line);
    let location = Location { line, ..parent.clone() };
    match node {
        Node::Scalar(scalar) => {
            Value::Scalar(Scalar { text: scalar.as_str().to_owned(), location })
        }
        Node::Sequence(sequence) => {
            let items = sequence.iter().enumerate().map(|(index, node)| {
                let segment = item_name(node).unwrap_or_else(|| format!("[{index}]"));
                convert(node, &location.child(&segment))
            });
            Value::List(items.collect(), location.clone())
        }
        Node::Mapping(mapping) => {
            let entries = mapping.iter().map(|(key, node)| {
                let line = key.span().start().map_or(location.line, Marker::line);
                let entry_location = Location { line, ..location.child(key.as_str()) };
                (
                    Scalar { text: key.as_str().to_owned(), location: entry_location.clone() },
                    convert(node, &entry_location),
                )
            });
            Value::Mapping(Mapping { entries: entries.collect(), location: location.clone() })
        }
    }
}

/// Returns the name of an item. Paths contain the name instead of the index, because
/// an item is easier to find by its name.
fn item_name(node: &Node) -> Option<String> {
    let name = node.as_mapping()?.get_scalar("name")?.as_str();
    (!name.is_empty() && name.len() <= limits::MAX_NAME_BYTES).then(|| name.to_owned())
}
