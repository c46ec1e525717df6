//! Output of rows, as an aligned table or as JSON.
//!
//! Owns the widths of columns; the cells are passed in as text.

use serde_json::{Map, Value};

/// Prints rows as a table, or, with `json`, as an array of objects whose keys are the headings.
pub fn print_rows(json: bool, headings: &[&str], rows: &[Vec<String>]) {
    if json {
        let objects = rows.iter().map(|row| {
            let cells = headings.iter().zip(row);
            let fields = cells.map(|(h, c)| ((*h).to_owned(), Value::from(c.clone())));
            Value::Object(fields.collect::<Map<_, _>>())
        });
        println!("{}", Value::Array(objects.collect()));
        return;
    }
    print!("{}", format_table(headings, rows));
}

fn format_table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let width = |i: usize| {
        let cells = rows.iter().filter_map(|r| r.get(i)).map(String::len);
        cells.chain([headings[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let headings: Vec<String> = headings.iter().map(|h| (*h).to_owned()).collect();
    let mut out = String::new();
    for row in std::iter::once(&headings).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}
