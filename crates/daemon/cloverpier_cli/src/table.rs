//! Tables for people, JSON for programs.
//!
//! Owns the widths of columns; a value that is no text is shown as JSON.

use serde_json::{Map, Value};

/// Prints rows under headings, or as one JSON array.
pub fn print_rows(json: bool, heads: &[&str], rows: &[Vec<String>]) {
    if json {
        let objects = rows.iter().map(|row| {
            let cells = heads.iter().zip(row);
            let fields = cells.map(|(h, c)| ((*h).to_owned(), Value::from(c.clone())));
            Value::Object(fields.collect::<Map<_, _>>())
        });
        println!("{}", Value::Array(objects.collect()));
        return;
    }
    print!("{}", table(heads, rows));
}

fn table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let width = |i: usize| {
        let cells = rows.iter().filter_map(|r| r.get(i)).map(String::len);
        cells.chain([heads[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let heads: Vec<String> = heads.iter().map(|h| (*h).to_owned()).collect();
    let mut out = String::new();
    for row in std::iter::once(&heads).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}
