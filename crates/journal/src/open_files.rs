//! Open files of a store that consists of numbered segments: a bounded number, however many segments exist.
//!
//! A file is pinned while something is appended to it or waits for its sync: a write error that the kernel
//! reports to an open file could be lost with it. Other files are opened to be read and stay open until others
//! have been used more recently.

use crate::path_error::is_descriptor_shortage;
use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io;
use std::sync::Arc;

/// Maximum number of files that stay open without being pinned.
pub const MAX_RECENT_FILES: usize = 4;

/// The open files, by the numbers of their segments.
#[derive(Debug, Default)]
pub struct OpenFiles {
    pinned: BTreeMap<u64, Arc<File>>,
    /// The most recently used file is last.
    recent: VecDeque<(u64, Arc<File>)>,
}

impl OpenFiles {
    /// The file of a segment, which is opened by `open` if necessary.
    ///
    /// # Errors
    /// The error of `open`.
    pub fn get(&mut self, segment: u64, open: impl Fn() -> io::Result<File>) -> io::Result<Arc<File>> {
        if let Some(file) = self.pinned.get(&segment) {
            return Ok(file.clone());
        }
        let file = self.take_recent_or_open(segment, open)?;
        self.keep_recent(segment, file.clone());
        Ok(file)
    }

    /// The file of a segment, which stays open until it is released or removed.
    ///
    /// # Errors
    /// The error of `open`.
    pub fn get_pinned(&mut self, segment: u64, open: impl Fn() -> io::Result<File>) -> io::Result<Arc<File>> {
        if let Some(file) = self.pinned.get(&segment) {
            return Ok(file.clone());
        }
        let file = self.take_recent_or_open(segment, open)?;
        self.pinned.insert(segment, file.clone());
        Ok(file)
    }

    /// Pins the file of a new segment.
    pub fn insert_pinned(&mut self, segment: u64, file: File) -> Arc<File> {
        let file = Arc::new(file);
        self.pinned.insert(segment, file.clone());
        file
    }

    /// Ends the pinning of a file: it may be closed.
    pub fn release(&mut self, segment: u64) {
        if let Some(file) = self.pinned.remove(&segment) {
            self.keep_recent(segment, file);
        }
    }

    /// Closes a file.
    pub fn remove(&mut self, segment: u64) {
        self.pinned.remove(&segment);
        self.take_recent(segment);
    }

    /// Opens a file. If no descriptor is left, those of the files that aren't pinned are given up for it.
    ///
    /// # Errors
    /// The error of `open`.
    pub fn open(&mut self, open: impl Fn() -> io::Result<File>) -> io::Result<File> {
        match open() {
            Err(error) if is_descriptor_shortage(&error) && !self.recent.is_empty() => {
                self.recent.clear();
                open()
            }
            opened => opened,
        }
    }

    fn take_recent_or_open(
        &mut self, segment: u64, open: impl Fn() -> io::Result<File>,
    ) -> io::Result<Arc<File>> {
        match self.take_recent(segment) {
            Some(file) => Ok(file),
            None => Ok(Arc::new(self.open(open)?)),
        }
    }

    fn take_recent(&mut self, segment: u64) -> Option<Arc<File>> {
        let at = self.recent.iter().position(|(number, _)| *number == segment)?;
        self.recent.remove(at).map(|(_, file)| file)
    }

    fn keep_recent(&mut self, segment: u64, file: Arc<File>) {
        if self.recent.len() == MAX_RECENT_FILES {
            self.recent.pop_front();
        }
        self.recent.push_back((segment, file));
    }
}

#[cfg(test)]
#[path = "open_files_tests.rs"]
mod tests;
