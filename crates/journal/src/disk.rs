//! All that the journal asks of a disk, and the real one.

use crate::budget::Budget;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::num::NonZeroU64;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The folder of the segments; version 1 had a file of this name.
const NAME: &str = "journal";
/// Where the file of version 1 is until all of it has been carried over.
const OLD: &str = "journal.v1";
/// The second place of the journal's identity, in the folder of the segments.
const IDENTITY: &str = "identity";
/// An identity's file is not longer; what is has come from elsewhere.
const IDENTITY_MOST: u64 = 512;

/// The folder of a journal: numbered segments, and perhaps the one file of an earlier build. Every operation may fail;
/// what a failed one has done is not known, except that what was whole before stays readable.
pub trait Disk {
    /// Numbers of the segments that there are, in their order.
    ///
    /// # Errors
    /// The folder can't be read.
    fn segments(&mut self) -> io::Result<Vec<u64>>;

    /// Makes an empty segment, for which `room` bytes are set aside where the file system can.
    ///
    /// # Errors
    /// There is no room or descriptor, or it is there already.
    fn create(&mut self, segment: u64, room: u64) -> io::Result<()>;

    /// Appends bytes. Like `write`, it may write a part of them and give how many.
    ///
    /// # Errors
    /// Nothing, or a part that is not known, has been written.
    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Reads as many bytes as the buffer has from a place on.
    ///
    /// # Errors
    /// They are not all there, or can't be read.
    fn read(&mut self, segment: u64, at: u64, buffer: &mut [u8]) -> io::Result<()>;

    /// Says that bytes of a segment will be read soon, so that the disk can begin to fetch them. Does not wait for them,
    /// and may do nothing.
    fn will_read(&mut self, segment: u64, at: u64, bytes: NonZeroU64);

    /// Length of a segment in bytes.
    ///
    /// # Errors
    /// It is not there, or can't be asked.
    fn length(&mut self, segment: u64) -> io::Result<u64>;

    /// Cuts a segment to a length.
    ///
    /// # Errors
    /// It may or may not have been cut.
    fn truncate(&mut self, segment: u64, length: u64) -> io::Result<()>;

    /// Brings a segment's bytes to stable storage; its entry in the folder is [`Disk::sync_folder`]'s.
    ///
    /// # Errors
    /// What of it is on stable storage is not known, and a later success says nothing of it.
    fn sync(&mut self, segment: u64) -> io::Result<()>;

    /// Brings the folder's entries to stable storage: what has been created is there, what has been removed stays so.
    ///
    /// # Errors
    /// What of it is on stable storage is not known.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Removes a segment.
    ///
    /// # Errors
    /// It may or may not be gone.
    fn remove(&mut self, segment: u64) -> io::Result<()>;

    /// What [`Disk::keep_identity`] has kept, if anything.
    ///
    /// # Errors
    /// It can't be read.
    fn identity(&mut self) -> io::Result<Option<Vec<u8>>>;

    /// Keeps the journal's identity beside the segments, on stable storage.
    ///
    /// # Errors
    /// It is there, or a part of it, or nothing.
    fn keep_identity(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// The file of an earlier build, if there is one.
    ///
    /// # Errors
    /// It can't be read.
    fn old(&mut self) -> io::Result<Option<Vec<u8>>>;

    /// Removes it.
    ///
    /// # Errors
    /// It may or may not be gone.
    fn remove_old(&mut self) -> io::Result<()>;
}

/// A state folder of the file system, with the journal's folder in it.
#[derive(Debug)]
pub struct JournalDir {
    state: PathBuf,
    path: PathBuf,
    files: BTreeMap<u64, File>,
    reads_only: bool,
    budget: Option<Budget>,
}

fn named(path: &Path, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}

impl JournalDir {
    /// The journal of a state folder that is there. A file of version 1 makes room for the folder, by one rename.
    ///
    /// # Errors
    /// The folder can't be made.
    pub fn new(state: &Path) -> io::Result<JournalDir> {
        let folder = JournalDir::at_state(state, false);
        if folder.path.is_file() {
            fs::rename(&folder.path, state.join(OLD)).map_err(|e| named(&folder.path, &e))?;
        }
        fs::create_dir_all(&folder.path).map_err(|e| named(&folder.path, &e))?;
        Ok(folder)
    }

    fn at_state(state: &Path, reads_only: bool) -> JournalDir {
        JournalDir {
            state: state.to_path_buf(),
            path: state.join(NAME),
            files: BTreeMap::new(),
            reads_only,
            budget: None,
        }
    }

    /// The same under a budget, as if the disk were no larger.
    pub fn with_budget(mut self, budget: Option<Budget>) -> JournalDir {
        self.budget = budget;
        self
    }

    /// The same, in which nothing is changed: for tools beside the owner.
    pub fn read_only(state: &Path) -> JournalDir {
        JournalDir::at_state(state, true)
    }

    /// The file of a segment.
    pub fn file_name(segment: u64) -> String {
        format!("{segment:08}")
    }

    fn at(&self, segment: u64) -> PathBuf {
        self.path.join(JournalDir::file_name(segment))
    }

    fn file(&mut self, segment: u64) -> io::Result<&mut File> {
        if !self.files.contains_key(&segment) {
            let path = self.at(segment);
            let opened = OpenOptions::new().read(true).append(!self.reads_only).open(&path);
            self.files.insert(segment, opened.map_err(|e| named(&path, &e))?);
        }
        self.files.get_mut(&segment).ok_or_else(|| io::Error::other("no such segment"))
    }

    /// A handle of the journal's folder, to be synced.
    ///
    /// # Errors
    /// There is no descriptor left.
    pub fn folder(&self) -> io::Result<File> {
        File::open(&self.path)
    }

    /// A second handle of a segment's file, to be synced by whoever can wait.
    ///
    /// # Errors
    /// There is no descriptor left.
    pub fn handle(&mut self, segment: u64) -> io::Result<File> {
        self.file(segment)?.try_clone()
    }
}

impl Disk for JournalDir {
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        let mut numbers = Vec::new();
        if !self.path.is_dir() {
            return Ok(numbers);
        }
        for entry in fs::read_dir(&self.path).map_err(|e| named(&self.path, &e))? {
            let name = entry.map_err(|e| named(&self.path, &e))?.file_name();
            let number = name.to_str().and_then(|n| n.parse::<u64>().ok());
            numbers.extend(number);
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn create(&mut self, segment: u64, room: u64) -> io::Result<()> {
        let path = self.at(segment);
        if let Some(budget) = &self.budget {
            if budget.grant(room).map_err(|e| named(&path, &e))? < room {
                return Err(named(
                    &path,
                    &io::Error::new(io::ErrorKind::StorageFull, "the disk budget is used up"),
                ));
            }
        }
        let made = OpenOptions::new().read(true).append(true).create_new(true).open(&path);
        let file = made.map_err(|e| named(&path, &e))?;
        if room > 0 {
            // What is taken on must be endable on a full disk. The length stays: the room is the file's all the same.
            let set_aside = rustix::fs::fallocate(&file, rustix::fs::FallocateFlags::KEEP_SIZE, 0, room)
                .map_err(io::Error::from);
            match set_aside {
                Err(e)
                    if e.kind() == io::ErrorKind::StorageFull || e.kind() == io::ErrorKind::QuotaExceeded =>
                {
                    let _ = fs::remove_file(&path);
                    return Err(named(&path, &e));
                }
                // A file system that can't promise room: writes fail then, and that is dealt with.
                _ => {}
            }
        }
        self.files.insert(segment, file);
        Ok(())
    }

    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<usize> {
        let path = self.at(segment);
        let budget = self.budget.clone();
        let file = self.file(segment)?;
        let admitted = match budget {
            Some(budget) => file.metadata().and_then(|m| budget.admit(file, m.len(), bytes.len())),
            None => Ok(bytes.len()),
        };
        admitted.and_then(|count| file.write(&bytes[..count])).map_err(|e| named(&path, &e))
    }

    fn read(&mut self, segment: u64, at: u64, buffer: &mut [u8]) -> io::Result<()> {
        let path = self.at(segment);
        self.file(segment)?.read_exact_at(buffer, at).map_err(|e| named(&path, &e))
    }

    fn will_read(&mut self, segment: u64, at: u64, bytes: NonZeroU64) {
        if let Ok(file) = self.file(segment) {
            // A hint: where the file system takes none, the reads that follow wait as they would have.
            let _ = rustix::fs::fadvise(file, at, Some(bytes), rustix::fs::Advice::WillNeed);
        }
    }

    fn length(&mut self, segment: u64) -> io::Result<u64> {
        let path = self.at(segment);
        self.file(segment)?.metadata().map(|m| m.len()).map_err(|e| named(&path, &e))
    }

    fn truncate(&mut self, segment: u64, length: u64) -> io::Result<()> {
        let path = self.at(segment);
        self.file(segment)?.set_len(length).map_err(|e| named(&path, &e))
    }

    fn sync(&mut self, segment: u64) -> io::Result<()> {
        let path = self.at(segment);
        self.file(segment)?.sync_data().map_err(|e| named(&path, &e))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.folder().and_then(|f| f.sync_all()).map_err(|e| named(&self.path, &e))
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        let path = self.at(segment);
        fs::remove_file(&path).map_err(|e| named(&path, &e))?;
        self.files.remove(&segment);
        Ok(())
    }

    fn identity(&mut self) -> io::Result<Option<Vec<u8>>> {
        let path = self.path.join(IDENTITY);
        let mut bytes = Vec::new();
        match File::open(&path).and_then(|file| file.take(IDENTITY_MOST).read_to_end(&mut bytes)) {
            Ok(_) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(named(&path, &e)),
        }
    }

    fn keep_identity(&mut self, bytes: &[u8]) -> io::Result<()> {
        let path = self.path.join(IDENTITY);
        let kept =
            File::create(&path).and_then(|mut file| file.write_all(bytes).and_then(|()| file.sync_all()));
        kept.map_err(|e| named(&path, &e))
    }

    fn old(&mut self) -> io::Result<Option<Vec<u8>>> {
        let path = if self.path.is_file() { self.path.clone() } else { self.state.join(OLD) };
        match fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(named(&path, &e)),
        }
    }

    fn remove_old(&mut self) -> io::Result<()> {
        let path = self.state.join(OLD);
        fs::remove_file(&path).map_err(|e| named(&path, &e))?;
        // A compaction of it that its process did not live to finish.
        let _ = fs::remove_file(self.state.join("journal.new"));
        File::open(&self.state).and_then(|f| f.sync_all()).map_err(|e| named(&self.state, &e))
    }
}
