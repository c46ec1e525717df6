//! Reads a settings file for a program's start.
//!
//! Used by both programs; the faults come as lines with the file's name, ready to be shown.

use crate::reader::SettingFaults;
use std::path::Path;

/// Reads a settings file with the parser of its kind.
///
/// # Errors
///
/// Lines to show: why the file can't be read, or each key that can't stand, after its path.
pub fn read_settings<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, SettingFaults>,
) -> Result<T, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    parse(&text).map_err(|faults| {
        let lines = faults.faults.iter().map(|f| format!("{shown}: {f}"));
        lines.collect::<Vec<_>>().join("\n")
    })
}
