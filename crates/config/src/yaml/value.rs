//! YAML nodes with file, line and path.

use std::sync::Arc;

use marked_yaml::{LoadError, Marker, Node, loader::LoaderOptions, parse_yaml_with_options};

use super::{Faults, limits};

/// Where a value stands.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) file: Arc<str>,
    pub(super) line: usize,
    pub(super) path: String,
}

impl Place {
    pub(super) fn child(&self, name: &str) -> Self {
        let separator = if self.path.is_empty() || name.starts_with('[') { "" } else { "." };
        let path = format!("{}{separator}{name}", self.path);
        Self { file: Arc::clone(&self.file), line: self.line, path }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Text {
    pub(super) text: String,
    pub(super) place: Place,
}

#[derive(Clone, Debug)]
pub(super) enum Value {
    Text(Text),
    List(Vec<Value>, Place),
    Map(Map),
}

impl Value {
    pub(super) fn place(&self) -> &Place {
        match self {
            Self::Text(text) => &text.place,
            Self::List(_, place) => place,
            Self::Map(map) => &map.place,
        }
    }

    pub(super) fn is_empty_text(&self) -> bool {
        matches!(self, Self::Text(text) if text.text.is_empty())
    }

    pub(super) fn form(&self) -> &'static str {
        match self {
            Self::Text(_) => "a single value",
            Self::List(..) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Map {
    pub(super) place: Place,
    pub(super) entries: Vec<(Text, Value)>,
}

/// Loads one file. Reports a fault and returns `None` if it is not a mapping.
pub(super) fn load(file: &Arc<str>, text: &str, faults: &mut Faults) -> Option<Value> {
    let at = |line| Place { file: Arc::clone(file), line, path: String::new() };
    if text.len() > limits::MAX_FILE_BYTES {
        faults.add(&at(0), format!("the file is larger than {} bytes", limits::MAX_FILE_BYTES));
        return None;
    }
    if let Some(line) = limits::too_deep(text) {
        faults.add(&at(line), "the file is nested too deeply");
        return None;
    }
    // A file with nothing but comments declares nothing.
    if text.lines().all(|line| line.trim().is_empty() || line.trim_start().starts_with('#')) {
        return None;
    }
    match node(text, file, faults) {
        Ok(node) => Some(convert(&node, &at(1))),
        Err(error) => {
            let (line, message) = describe(&error);
            faults.add(&at(line), message);
            None
        }
    }
}

/// Reports the first duplicate key, then loads again without that check so that
/// the other faults of the file are found in the same run.
fn node(text: &str, file: &Arc<str>, faults: &mut Faults) -> Result<Node, LoadError> {
    let strict = LoaderOptions::default().error_on_duplicate_keys(true);
    match parse_yaml_with_options(0, text, strict) {
        Err(LoadError::DuplicateKey(inner)) => {
            let line = inner.key.span().start().map_or(0, Marker::line);
            let place = Place { file: Arc::clone(file), line, path: inner.key.to_string() };
            let before = inner.prev_key.span().start().map_or(0, Marker::line);
            faults.add(&place, format!("the key is already given in line {before}"));
            parse_yaml_with_options(0, text, LoaderOptions::default())
        }
        result => result,
    }
}

fn describe(error: &LoadError) -> (usize, String) {
    match error {
        LoadError::TopLevelMustBeMapping(at) | LoadError::TopLevelMustBeSequence(at) => {
            (at.line(), "the file has to be a mapping with lists such as workspaces:".to_owned())
        }
        LoadError::UnexpectedAnchor(at) => (at.line(), "anchors are not supported".to_owned()),
        LoadError::MappingKeyMustBeScalar(at) => {
            (at.line(), "the key of a mapping has to be a single value".to_owned())
        }
        LoadError::UnexpectedTag(at) => (at.line(), "tags are not supported".to_owned()),
        LoadError::ScanError(at, error) => (at.line(), format!("not valid YAML: {error}")),
        LoadError::DuplicateKey(_) => (0, "a key is given twice".to_owned()),
    }
}

fn convert(node: &Node, parent: &Place) -> Value {
    let line = node.span().start().map_or(parent.line, Marker::line);
    let place = Place { line, ..parent.clone() };
    match node {
        Node::Scalar(scalar) => Value::Text(Text { text: scalar.as_str().to_owned(), place }),
        Node::Sequence(list) => {
            let items = list.iter().enumerate().map(|(index, node)| {
                let label = label(node).unwrap_or_else(|| format!("[{index}]"));
                convert(node, &place.child(&label))
            });
            Value::List(items.collect(), place.clone())
        }
        Node::Mapping(map) => {
            let entries = map.iter().map(|(key, node)| {
                let line = key.span().start().map_or(place.line, Marker::line);
                let at = Place { line, ..place.child(key.as_str()) };
                (Text { text: key.as_str().to_owned(), place: at.clone() }, convert(node, &at))
            });
            Value::Map(Map { entries: entries.collect(), place: place.clone() })
        }
    }
}

/// Items are easier to find by name than by position.
fn label(node: &Node) -> Option<String> {
    let name = node.as_mapping()?.get_scalar("name")?.as_str();
    (!name.is_empty() && name.len() <= limits::NAME_LENGTH).then(|| name.to_owned())
}
