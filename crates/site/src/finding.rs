//! What is wrong in a site file, and where.

use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};

/// One mistake. Shown as `file:line:column: field: problem`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The file as it was named.
    pub file: PathBuf,
    /// Line and column in characters, both from 1; none if it is about the whole file.
    pub position: Option<(usize, usize)>,
    /// The field's full name, such as `partner.NAME.rate`; empty if none is meant.
    pub field: String,
    /// What is wrong, and what would be right.
    pub problem: String,
}

impl Finding {
    /// A finding about a file as a whole.
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

/// The findings of one text.
pub(crate) struct Findings<'t> {
    file: &'t Path,
    text: &'t str,
    /// With the byte that each is about, for their order.
    all: Vec<(usize, Finding)>,
}

impl<'t> Findings<'t> {
    pub fn new(file: &'t Path, text: &'t str) -> Self {
        Findings { file, text, all: Vec::new() }
    }

    pub fn add(&mut self, span: &Range<usize>, field: &str, problem: impl Into<String>) {
        let finding = Finding {
            file: self.file.to_path_buf(),
            position: Some(place(self.text, span.start)),
            field: field.to_string(),
            problem: problem.into(),
        };
        self.all.push((span.start, finding));
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn into_sorted(mut self) -> Vec<Finding> {
        self.all.sort_by_key(|(at, _)| *at);
        self.all.into_iter().map(|(_, finding)| finding).collect()
    }
}

/// Line and column of a byte.
fn place(text: &str, byte: usize) -> (usize, usize) {
    let mut byte = byte.min(text.len());
    while !text.is_char_boundary(byte) {
        byte -= 1;
    }
    let before = &text[..byte];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    (before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}
