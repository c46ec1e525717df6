//! Reads a settings file at the start of a program.
//!
//! Used by both programs. Owns the format of the error messages, in which the path of the file precedes each
//! error.

use crate::reader::SettingErrors;
use std::path::Path;

/// Reads a settings file and parses its text with `parse`.
///
/// # Errors
///
/// Returns a message for the operator: the error of reading the file, or one line for each missing, invalid
/// or unknown key. Each line begins with the path.
pub fn read_settings<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, SettingErrors>,
) -> Result<T, String> {
    let shown_path = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown_path}: {e}"))?;
    parse(&text).map_err(|errors| {
        let lines = errors
            .errors
            .iter()
            .map(|error| format!("{shown_path}: {error}"));
        lines.collect::<Vec<_>>().join("\n")
    })
}
