//! Validation errors of a site file and their positions.

use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};

/// A validation error. Displayed as `file:line:column: field: problem`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The path of the file, as given by the caller.
    pub file: PathBuf,
    /// Line and column in characters, both from 1; none if the finding concerns the whole file.
    pub position: Option<(usize, usize)>,
    /// The field's full name, such as `partner.NAME.rate`; empty if the finding concerns no field.
    pub field: String,
    /// What is wrong, and what is expected.
    pub problem: String,
}

impl Finding {
    /// Creates a finding that concerns a file as a whole.
    pub fn for_file(file: &Path, problem: String) -> Finding {
        Finding { file: file.to_path_buf(), position: None, field: String::new(), problem }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if let Some((line, column)) = self.position {
            write!(f, "{line}:{column}:")?;
        }
        if !self.field.is_empty() {
            write!(f, " {}:", self.field.escape_debug())?;
        }
        write!(f, " {}", self.problem)
    }
}

/// Collects the findings of one file.
pub(crate) struct Findings<'t> {
    file: &'t Path,
    text: &'t str,
    /// Findings with their byte offsets, by which they are sorted.
    all: Vec<(usize, Finding)>,
}

impl<'t> Findings<'t> {
    pub fn new(file: &'t Path, text: &'t str) -> Self {
        Findings { file, text, all: Vec::new() }
    }

    pub fn add(&mut self, span: &Range<usize>, field: &str, problem: impl Into<String>) {
        let finding = Finding {
            file: self.file.to_path_buf(),
            position: Some(line_and_column(self.text, span.start)),
            field: field.to_string(),
            problem: problem.into(),
        };
        self.all.push((span.start, finding));
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn into_sorted(mut self) -> Vec<Finding> {
        self.all.sort_by_key(|(offset, _)| *offset);
        self.all.into_iter().map(|(_, finding)| finding).collect()
    }
}

/// Converts a byte offset to line and column, both from 1.
fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    (before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}
