//! Formats state dumps and tables as text.

use serde_json::Value;

/// Renders JSON as indented `name: value` lines, and lists of objects as tables.
pub(crate) fn render(state: &Value) -> String {
    let mut out = String::new();
    render_into(&mut out, state, 0);
    out
}

fn render_into(out: &mut String, value: &Value, indent: usize) {
    let Value::Object(fields) = value else {
        out.push_str(&format_inline(value));
        out.push('\n');
        return;
    };
    for (name, field) in fields {
        out.push_str(&" ".repeat(indent));
        out.push_str(name);
        match field {
            Value::Object(_) => {
                out.push_str(":\n");
                render_into(out, field, indent + 2);
            }
            Value::Array(records) if records.iter().any(Value::is_object) => {
                out.push_str(":\n");
                render_records(out, records, indent + 2);
            }
            other => {
                out.push_str(": ");
                out.push_str(&format_inline(other));
                out.push('\n');
            }
        }
    }
}

/// Renders records as a table of their plain fields, followed by the lists within each record.
fn render_records(out: &mut String, records: &[Value], indent: usize) {
    let Some(Value::Object(first)) = records.first() else {
        return;
    };
    let is_plain = |name: &&String| !matches!(first[*name], Value::Array(_) | Value::Object(_));
    let columns: Vec<&String> = first.keys().filter(is_plain).collect();
    let mut rows = vec![
        columns
            .iter()
            .map(|name| (*name).clone())
            .collect::<Vec<_>>(),
    ];
    for record in records {
        rows.push(
            columns
                .iter()
                .map(|name| format_inline(&record[name.as_str()]))
                .collect(),
        );
    }
    out.push_str(&align_columns(&rows, indent));
    for record in records {
        render_nested(out, record, indent);
    }
}

/// Renders the lists within a record, each below a title with the name of the record.
fn render_nested(out: &mut String, record: &Value, indent: usize) {
    let Value::Object(fields) = record else {
        return;
    };
    let title = ["service", "target", "name"]
        .iter()
        .find_map(|key| fields.get(*key));
    for (name, field) in fields {
        if let Value::Array(records) = field {
            let title = title.map(format_inline).unwrap_or_default();
            out.push_str(&format!("{}{title} {name}:\n", " ".repeat(indent)));
            render_records(out, records, indent + 2);
        }
    }
}

/// Formats rows of cells as a text table with aligned columns.
pub(crate) fn align_columns(rows: &[Vec<String>], indent: usize) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        out.push_str(&" ".repeat(indent));
        out.push_str(cells.join("  ").trim_end());
        out.push('\n');
    }
    out
}

/// Formats a value on one line: `-` for null, items separated by spaces.
pub(crate) fn format_inline(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items
            .iter()
            .map(format_inline)
            .collect::<Vec<_>>()
            .join(" "),
        Value::Number(number) => match number.as_f64() {
            Some(float) if number.is_f64() => format!("{float:.1}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}

/// Returns a table row with these cells.
pub(crate) fn table_row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|cell| (*cell).to_owned()).collect()
}

/// Formats a share from 0 to 1 in per cent.
pub(crate) fn format_percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}
