//! Writes lines and aligned tables to standard output.

use std::io;
use std::io::Write;

use error_stack::Report;
use error_stack::ResultExt;

use crate::answer::known::Known;
use crate::failure::Failure;

/// `text` on one line. Control characters become spaces, so that content of the catalogue cannot
/// send escape sequences to the terminal.
pub(crate) fn line(text: &str) -> String {
    text.replace(char::is_control, " ")
}

/// Writes `lines` to standard output; a pipe that its reader has closed is not a failure.
pub(crate) fn lines(lines: &[String]) -> Result<(), Report<Failure>> {
    let mut output = io::stdout().lock();
    let written = lines
        .iter()
        .try_for_each(|text| writeln!(output, "{}", line(text).trim_end()))
        .and_then(|()| output.flush());
    match written {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        written => written.change_context_lazy(|| Failure::new("cannot write the output")),
    }
}

/// Aligns `rows` in columns under `head`.
pub(crate) fn table(head: &[&str], rows: &[Vec<String>]) -> Vec<String> {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let aligned = |cells: &mut dyn Iterator<Item = &str>| {
        let padded = cells
            .zip(&widths)
            .map(|(cell, &width)| format!("{cell:<width$}"));
        padded.collect::<Vec<String>>().join("  ")
    };
    let mut lines = vec![aligned(&mut head.iter().copied())];
    lines.extend(
        rows.iter()
            .map(|row| aligned(&mut row.iter().map(String::as_str))),
    );
    lines
}

/// Formats a duration in milliseconds with a readable unit; `-` if it is not known.
pub(crate) fn duration(millis: &Known<u64>) -> String {
    match millis.0 {
        None => "-".to_owned(),
        Some(millis @ 0..10_000) => format!("{millis} ms"),
        Some(millis @ 10_000..600_000) => format!("{} s", millis / 1_000),
        Some(millis @ 600_000..36_000_000) => format!("{} min", millis / 60_000),
        Some(millis) => format!("{} h", millis / 3_600_000),
    }
}
