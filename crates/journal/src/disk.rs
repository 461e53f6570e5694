//! Storage operations of the journal, and their implementation on a file system.

use crate::budget::Budget;
use crate::open_files::{OpenFiles, MAX_RECENT_FILES};
use crate::path_error::with_path;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::num::NonZeroU64;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Maximum number of descriptors that a [`JournalDir`] holds at once for a journal that is not durable: the files
/// opened to be read, the last segment, the next one while it is being created, and the folder or another file
/// that is open for a moment.
pub const MAX_DESCRIPTORS: usize = MAX_RECENT_FILES + 3;

/// Name of the folder of the segments. In version 1, the journal was a single file of this name.
const SEGMENTS_DIR: &str = "journal";
/// Name of the version 1 file until its contents have been moved to segments.
const V1_FILE: &str = "journal.v1";
/// File with the second copy of the journal's identity, in the folder of the segments.
const IDENTITY_FILE: &str = "identity";
/// Upper bound of the size of the identity file in bytes; a longer file was not written by this program.
const MAX_IDENTITY_BYTES: u64 = 512;

/// Storage of a journal: numbered segments, and possibly the single file of version 1. Any operation may
/// fail. The effect of a failed operation is unknown, but records that were complete before it stay readable.
pub trait Disk {
    /// Numbers of the existing segments, in ascending order.
    ///
    /// # Errors
    /// The folder can't be read.
    fn segments(&mut self) -> io::Result<Vec<u64>>;

    /// Creates an empty segment and preallocates `reserve` bytes for it where the file system supports that.
    ///
    /// # Errors
    /// No space or file descriptor is available, or the segment exists.
    fn create(&mut self, segment: u64, reserve: u64) -> io::Result<()>;

    /// Announces that a segment is not appended to any more and waits for no sync: an implementation may close its
    /// file until it is used again.
    fn release(&mut self, _segment: u64) {}

    /// Appends bytes and returns how many were written. Like `write`, it may write only a part of them.
    ///
    /// # Errors
    /// Nothing was written, or an unknown part.
    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Fills the buffer from an offset in a segment.
    ///
    /// # Errors
    /// The segment is too short, or can't be read.
    fn read(&mut self, segment: u64, offset: u64, buffer: &mut [u8]) -> io::Result<()>;

    /// Announces that bytes of a segment will be read soon, so that the disk can prefetch them. Does not
    /// block; an implementation may ignore it.
    fn prefetch(&mut self, segment: u64, offset: u64, bytes: NonZeroU64);

    /// Length of a segment in bytes.
    ///
    /// # Errors
    /// The segment does not exist, or its length can't be read.
    fn length(&mut self, segment: u64) -> io::Result<u64>;

    /// Truncates a segment to a length.
    ///
    /// # Errors
    /// The segment may or may not have been truncated.
    fn truncate(&mut self, segment: u64, length: u64) -> io::Result<()>;

    /// Flushes a segment's data to stable storage. Its directory entry is covered by [`Disk::sync_folder`].
    ///
    /// # Errors
    /// It is unknown which of the data is on stable storage, and a later success does not cover it.
    fn sync(&mut self, segment: u64) -> io::Result<()>;

    /// Flushes the directory to stable storage: created segments stay and removed ones do not return.
    ///
    /// # Errors
    /// It is unknown which of the entries are on stable storage.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Removes a segment.
    ///
    /// # Errors
    /// The segment may or may not have been removed.
    fn remove(&mut self, segment: u64) -> io::Result<()>;

    /// The identity stored by [`Disk::store_identity`], if there is one.
    ///
    /// # Errors
    /// It can't be read.
    fn identity(&mut self) -> io::Result<Option<Vec<u8>>>;

    /// Stores the journal's identity beside the segments, on stable storage.
    ///
    /// # Errors
    /// The identity may be stored wholly, in part, or not at all.
    fn store_identity(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Contents of the version 1 file, if there is one.
    ///
    /// # Errors
    /// It can't be read.
    fn v1_file(&mut self) -> io::Result<Option<Vec<u8>>>;

    /// Removes the version 1 file.
    ///
    /// # Errors
    /// The file may or may not have been removed.
    fn remove_v1(&mut self) -> io::Result<()>;
}

/// Implementation of [`Disk`] in a state folder of the file system.
#[derive(Debug)]
pub struct JournalDir {
    state: PathBuf,
    path: PathBuf,
    files: OpenFiles,
    read_only: bool,
    budget: Option<Budget>,
}

impl JournalDir {
    /// Opens the journal folder in an existing state folder, or creates it. A version 1 file of the same name
    /// is renamed.
    ///
    /// # Errors
    /// The folder can't be created, or the file can't be renamed.
    pub fn new(state: &Path) -> io::Result<JournalDir> {
        let folder = JournalDir::in_state_folder(state, false);
        if folder.path.is_file() {
            fs::rename(&folder.path, state.join(V1_FILE)).map_err(|e| with_path(&folder.path, e))?;
        }
        fs::create_dir_all(&folder.path).map_err(|e| with_path(&folder.path, e))?;
        Ok(folder)
    }

    fn in_state_folder(state: &Path, read_only: bool) -> JournalDir {
        JournalDir {
            state: state.to_path_buf(),
            path: state.join(SEGMENTS_DIR),
            files: OpenFiles::default(),
            read_only,
            budget: None,
        }
    }

    /// Limits the disk space to a simulated budget.
    pub fn with_budget(mut self, budget: Option<Budget>) -> JournalDir {
        self.budget = budget;
        self
    }

    /// Opens the folder without write access, for tools that run beside the owner of the journal.
    pub fn read_only(state: &Path) -> JournalDir {
        JournalDir::in_state_folder(state, true)
    }

    /// Name of a segment's file.
    pub fn file_name(segment: u64) -> String {
        format!("{segment:08}")
    }

    fn segment_path(&self, segment: u64) -> PathBuf {
        self.path.join(JournalDir::file_name(segment))
    }

    /// Opens an existing segment.
    fn open_segment(&self, segment: u64) -> impl Fn() -> io::Result<File> {
        let path = self.segment_path(segment);
        let mut options = OpenOptions::new();
        options.read(true).append(!self.read_only);
        move || options.open(&path).map_err(|e| with_path(&path, e))
    }

    /// The file of a segment, to be read or truncated.
    fn file(&mut self, segment: u64) -> io::Result<Arc<File>> {
        let open = self.open_segment(segment);
        self.files.get(segment, open)
    }

    /// A handle of the journal folder, for a sync.
    ///
    /// # Errors
    /// No file descriptor is available.
    pub fn folder(&mut self) -> io::Result<File> {
        let path = self.path.clone();
        self.files.open(|| File::open(&path))
    }

    /// A segment's file, which the caller can sync on another thread.
    ///
    /// # Errors
    /// No file descriptor is available.
    pub fn handle(&mut self, segment: u64) -> io::Result<Arc<File>> {
        self.file(segment)
    }
}

impl Disk for JournalDir {
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        let mut numbers = Vec::new();
        if !self.path.is_dir() {
            return Ok(numbers);
        }
        for entry in fs::read_dir(&self.path).map_err(|e| with_path(&self.path, e))? {
            let name = entry.map_err(|e| with_path(&self.path, e))?.file_name();
            let number = name.to_str().and_then(|n| n.parse::<u64>().ok());
            numbers.extend(number);
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn create(&mut self, segment: u64, reserve: u64) -> io::Result<()> {
        let path = self.segment_path(segment);
        if let Some(budget) = &self.budget {
            if budget.grant(reserve).map_err(|e| with_path(&path, e))? < reserve {
                return Err(with_path(
                    &path,
                    io::Error::new(io::ErrorKind::StorageFull, "the disk budget is used up"),
                ));
            }
        }
        let mut options = OpenOptions::new();
        options.read(true).append(true).create_new(true);
        let create = || options.open(&path).map_err(|e| with_path(&path, e));
        let created = self.files.open(create)?;
        let file = self.files.insert_pinned(segment, created);
        if reserve > 0 {
            // Preallocates space, so that accepted messages can be finished on a full disk. The file's length
            // stays 0.
            let allocated = rustix::fs::fallocate(&*file, rustix::fs::FallocateFlags::KEEP_SIZE, 0, reserve)
                .map_err(io::Error::from);
            match allocated {
                Err(e)
                    if e.kind() == io::ErrorKind::StorageFull || e.kind() == io::ErrorKind::QuotaExceeded =>
                {
                    self.files.remove(segment);
                    let _ = fs::remove_file(&path);
                    return Err(with_path(&path, e));
                }
                // The file system does not support preallocation. Writes may then fail, which is handled.
                _ => {}
            }
        }
        Ok(())
    }

    fn release(&mut self, segment: u64) {
        self.files.release(segment);
    }

    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<usize> {
        let path = self.segment_path(segment);
        let open = self.open_segment(segment);
        let file = self.files.get_pinned(segment, open)?;
        let admitted = match &self.budget {
            Some(budget) => file.metadata().and_then(|m| budget.admit(&file, m.len(), bytes.len())),
            None => Ok(bytes.len()),
        };
        admitted.and_then(|count| (&*file).write(&bytes[..count])).map_err(|e| with_path(&path, e))
    }

    fn read(&mut self, segment: u64, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        let path = self.segment_path(segment);
        self.file(segment)?.read_exact_at(buffer, offset).map_err(|e| with_path(&path, e))
    }

    fn prefetch(&mut self, segment: u64, offset: u64, bytes: NonZeroU64) {
        if let Ok(file) = self.file(segment) {
            // Only a hint: if the file system ignores it, later reads block as they would without it.
            let _ = rustix::fs::fadvise(&*file, offset, Some(bytes), rustix::fs::Advice::WillNeed);
        }
    }

    fn length(&mut self, segment: u64) -> io::Result<u64> {
        let path = self.segment_path(segment);
        self.file(segment)?.metadata().map(|m| m.len()).map_err(|e| with_path(&path, e))
    }

    fn truncate(&mut self, segment: u64, length: u64) -> io::Result<()> {
        let path = self.segment_path(segment);
        self.file(segment)?.set_len(length).map_err(|e| with_path(&path, e))
    }

    fn sync(&mut self, segment: u64) -> io::Result<()> {
        let path = self.segment_path(segment);
        self.file(segment)?.sync_data().map_err(|e| with_path(&path, e))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.folder().and_then(|f| f.sync_all()).map_err(|e| with_path(&self.path, e))
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        let path = self.segment_path(segment);
        fs::remove_file(&path).map_err(|e| with_path(&path, e))?;
        self.files.remove(segment);
        Ok(())
    }

    fn identity(&mut self) -> io::Result<Option<Vec<u8>>> {
        let path = self.path.join(IDENTITY_FILE);
        let mut bytes = Vec::new();
        match File::open(&path).and_then(|file| file.take(MAX_IDENTITY_BYTES).read_to_end(&mut bytes)) {
            Ok(_) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(with_path(&path, e)),
        }
    }

    fn store_identity(&mut self, bytes: &[u8]) -> io::Result<()> {
        let path = self.path.join(IDENTITY_FILE);
        let stored =
            File::create(&path).and_then(|mut file| file.write_all(bytes).and_then(|()| file.sync_all()));
        stored.map_err(|e| with_path(&path, e))
    }

    fn v1_file(&mut self) -> io::Result<Option<Vec<u8>>> {
        let path = if self.path.is_file() { self.path.clone() } else { self.state.join(V1_FILE) };
        match fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(with_path(&path, e)),
        }
    }

    fn remove_v1(&mut self) -> io::Result<()> {
        let path = self.state.join(V1_FILE);
        fs::remove_file(&path).map_err(|e| with_path(&path, e))?;
        // Left over from a compaction of the version 1 file that did not finish.
        let _ = fs::remove_file(self.state.join("journal.new"));
        File::open(&self.state).and_then(|f| f.sync_all()).map_err(|e| with_path(&self.state, e))
    }
}
