//! Errors in configuration files, with their locations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An error in a configuration file and its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line in the file, counted from 1; 0 if the error concerns the whole file.
    pub line: usize,
    /// Path of the value in the document, such as `workspaces.alpha.share`.
    pub path: String,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// All errors found, ordered by file and line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.0 {
            writeln!(f, "{problem}")?;
        }
        let count = self.0.len();
        write!(f, "{count} problem{}", if count == 1 { "" } else { "s" })
    }
}
