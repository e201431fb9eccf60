//! YAML authored by operators: text to located values, values to items, items
//! to the checked document.

mod check;
mod fields;
mod items;
mod limits;
mod value;

use std::sync::Arc;

use crate::{Document, Problem, Problems};
use value::{Place, Value};

/// One file as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// Name for messages.
    pub name: String,
    /// Contents.
    pub text: String,
}

/// Parses and checks all files of a document together.
///
/// # Errors
///
/// Every fault of every file. A file that is not YAML yields one fault, and the
/// references between the others are still checked.
pub fn parse(sources: &[SourceFile]) -> Result<Document, Problems> {
    let mut faults = Faults::default();
    let mut items = items::Items::default();
    for source in sources {
        let file: Arc<str> = source.name.as_str().into();
        if let Some(Value::Map(map)) = value::load(&file, &source.text, &mut faults) {
            items.read(map, &mut faults);
        }
    }
    let document = check::document(&items, &mut faults);
    faults.into_result(document)
}

#[derive(Debug, Default)]
struct Faults(Vec<Problem>);

impl Faults {
    fn add(&mut self, place: &Place, message: impl Into<String>) {
        self.0.push(Problem {
            file: place.file.to_string(),
            line: place.line,
            path: place.path.clone(),
            message: message.into(),
        });
    }

    fn into_result(mut self, document: Document) -> Result<Document, Problems> {
        if self.0.is_empty() {
            return Ok(document);
        }
        self.0.sort();
        self.0.dedup();
        Err(Problems(self.0))
    }
}
