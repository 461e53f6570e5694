//! The site file, which holds the settings of a standalone installation: classes, partners, endpoints and limits in an
//! operator's terms.
//!
//! [`load`] reads a file and returns either a consistent [`Site`] or *all* [`Finding`]s at once, each with line and column.
//! [`model`] defines the settings, [`units`] parses durations, sizes and rates, [`check`] holds the validation rules, and
//! [`template`] is a commented file to start from. This crate does not depend on the scheduler, sockets or clocks.
#![warn(missing_docs)]

pub mod check;
mod fields;
pub mod finding;
pub mod model;
mod partner_protocol;
mod peers;
pub mod template;
pub mod units;

pub use check::parse;
pub use finding::Finding;
pub use model::*;

use std::fs::File;
use std::io::Read;
use std::path::Path;

/// Maximum size of a site file, in bytes: enough for about ten thousand endpoints.
pub const MAX_SITE_FILE_BYTES: u64 = 1 << 20;

/// Reads and validates a site file.
///
/// # Errors
/// Returns all findings, ordered by their position. Returns a single finding without a position if the file cannot be read,
/// is not a regular file, is larger than [`MAX_SITE_FILE_BYTES`] or is not UTF-8.
pub fn load(path: &Path) -> Result<Site, Vec<Finding>> {
    let file_finding = |problem: String| vec![Finding::for_file(path, problem)];
    let metadata = std::fs::metadata(path).map_err(|e| file_finding(e.to_string()))?;
    if !metadata.is_file() {
        return Err(file_finding(
            "not a file; a site file is a TOML file, `foldtrack init` creates one".into(),
        ));
    }
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(|e| file_finding(e.to_string()))?;
    file.take(MAX_SITE_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(|e| file_finding(e.to_string()))?;
    if bytes.len() as u64 > MAX_SITE_FILE_BYTES {
        return Err(file_finding(format!(
            "{} bytes; a site file has at most {MAX_SITE_FILE_BYTES}",
            metadata.len()
        )));
    }
    let text = String::from_utf8(bytes).map_err(|e| {
        let offset = e.utf8_error().valid_up_to();
        file_finding(format!("not UTF-8 from byte {offset} on"))
    })?;
    parse(path, &text)
}
