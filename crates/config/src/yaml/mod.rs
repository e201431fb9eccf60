//! Reads the YAML files of operators in three steps: text to values with locations,
//! values to items, items to the checked document.

mod check;
mod items;
mod limits;
mod mapping_reader;
mod value;

use std::sync::Arc;

use crate::{Document, Problem, Problems};
use value::{Location, Value};

/// A YAML file of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// File name or path, for messages.
    pub name: String,
    /// Contents of the file.
    pub text: String,
}

/// Parses the files of a document and checks them together.
///
/// # Errors
///
/// All problems of all files. A file that is not valid YAML causes one problem; the
/// other files and their references are still checked.
pub fn parse(sources: &[SourceFile]) -> Result<Document, Problems> {
    let mut problems = ProblemCollector::default();
    let mut items = items::Items::default();
    for source in sources {
        let file: Arc<str> = source.name.as_str().into();
        if let Some(Value::Mapping(mapping)) = value::load(&file, &source.text, &mut problems) {
            items.add_file(mapping, &mut problems);
        }
    }
    let document = check::build_document(&items, &mut problems);
    problems.into_result(document)
}

/// Collects the problems of all files.
#[derive(Debug, Default)]
struct ProblemCollector(Vec<Problem>);

impl ProblemCollector {
    fn report(&mut self, location: &Location, message: impl Into<String>) {
        self.0.push(Problem {
            file: location.file.to_string(),
            line: location.line,
            path: location.path.clone(),
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
