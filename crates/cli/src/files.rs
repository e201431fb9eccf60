//! Reads the files of a document.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use span_config::SourceFile;

/// The files cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FilesError {
    /// A file or folder cannot be read.
    #[error("{path}: {source}")]
    Read { path: String, source: io::Error },
    /// The folder has no YAML files.
    #[error("{path}: no files that end in .yaml or .yml")]
    Empty { path: String },
}

/// Reads one file, or the YAML files of a folder in order of their names.
pub(crate) fn read(path: &Path) -> Result<Vec<SourceFile>, FilesError> {
    if !path.is_dir() {
        return Ok(vec![source(path)?]);
    }
    let mut paths: Vec<PathBuf> = Vec::new();
    for entry in fs::read_dir(path).map_err(|error| failed(path, error))? {
        paths.push(entry.map_err(|error| failed(path, error))?.path());
    }
    paths.retain(|path| path.extension().is_some_and(|end| end == "yaml" || end == "yml"));
    paths.sort();
    if paths.is_empty() {
        return Err(FilesError::Empty { path: path.display().to_string() });
    }
    paths.iter().map(|path| source(path)).collect()
}

fn source(path: &Path) -> Result<SourceFile, FilesError> {
    let text = fs::read_to_string(path).map_err(|error| failed(path, error))?;
    Ok(SourceFile { name: path.display().to_string(), text })
}

fn failed(path: &Path, source: io::Error) -> FilesError {
    FilesError::Read { path: path.display().to_string(), source }
}
