//! Reads the YAML files of a document.

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
    #[error("{path}: the folder has no .yaml or .yml files")]
    NoYamlFiles { path: String },
}

/// Reads one file, or all YAML files of a folder ordered by name.
pub(crate) fn read_sources(path: &Path) -> Result<Vec<SourceFile>, FilesError> {
    if !path.is_dir() {
        return Ok(vec![read_source(path)?]);
    }
    let mut paths: Vec<PathBuf> = Vec::new();
    for entry in fs::read_dir(path).map_err(|error| read_error(path, error))? {
        paths.push(entry.map_err(|error| read_error(path, error))?.path());
    }
    paths.retain(|path| {
        path.extension().is_some_and(|extension| extension == "yaml" || extension == "yml")
    });
    paths.sort();
    if paths.is_empty() {
        return Err(FilesError::NoYamlFiles { path: path.display().to_string() });
    }
    paths.iter().map(|path| read_source(path)).collect()
}

fn read_source(path: &Path) -> Result<SourceFile, FilesError> {
    let text = fs::read_to_string(path).map_err(|error| read_error(path, error))?;
    Ok(SourceFile { name: path.display().to_string(), text })
}

fn read_error(path: &Path, source: io::Error) -> FilesError {
    FilesError::Read { path: path.display().to_string(), source }
}
