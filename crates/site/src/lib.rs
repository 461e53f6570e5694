//! The site file of an installation of one's own: classes, partners, endpoints and limits in an operator's terms.
//!
//! [`load`] reads a file and gives either a [`Site`] that holds together, or *every* [`Finding`] at once, each with
//! line and column. [`model`] is what a site is, [`units`] how spans, sizes and rates are written, [`check`] the
//! rules, [`template`] a commented file to begin with. Nothing here knows the decision module, a socket or a clock.
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

/// Bytes that a site file has at most: some ten thousand endpoints.
pub const MAX_SITE_FILE_BYTES: u64 = 1 << 20;

/// Reads and checks a site file.
///
/// # Errors
/// All findings, in the order of their places; one without a place if the file can't be read at all, is no regular
/// file, is longer than [`MAX_SITE_FILE_BYTES`] or is not UTF-8.
pub fn load(path: &Path) -> Result<Site, Vec<Finding>> {
    let whole = |problem: String| vec![Finding::for_file(path, problem)];
    let kind = std::fs::metadata(path).map_err(|e| whole(e.to_string()))?;
    if !kind.is_file() {
        return Err(whole("not a file; a site file is a TOML text, `foldtrack init` writes one".into()));
    }
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(|e| whole(e.to_string()))?;
    file.take(MAX_SITE_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(|e| whole(e.to_string()))?;
    if bytes.len() as u64 > MAX_SITE_FILE_BYTES {
        return Err(whole(format!("{} bytes; a site file has {MAX_SITE_FILE_BYTES} at most", kind.len())));
    }
    let text = String::from_utf8(bytes).map_err(|e| {
        let at = e.utf8_error().valid_up_to();
        whole(format!("not UTF-8 from byte {at} on"))
    })?;
    parse(path, &text)
}
