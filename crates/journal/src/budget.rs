//! A rehearsal of a full disk: a state folder that may take no more bytes than a file says, without a mount or
//! privileges. The file is read again each time that room is wanted, so that a drill or a test can take room away
//! and give it back while the process runs.

use crate::pacing::BLOCK;
use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Folders below the state folder that are looked into.
const DEPTH: u32 = 3;

/// What all files of a state folder together may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    state: PathBuf,
    limit: PathBuf,
}

impl Budget {
    /// A budget for a state folder; `limit` is a file that holds the number of bytes, in decimal digits.
    pub fn new(state: &Path, limit: &Path) -> Budget {
        Budget { state: state.to_path_buf(), limit: limit.to_path_buf() }
    }

    /// The bytes that it allows now.
    ///
    /// # Errors
    /// The file can't be read, or holds no number: named, with what stands there.
    pub fn limit(&self) -> io::Result<u64> {
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", self.limit.display());
        let text = fs::read_to_string(&self.limit).map_err(|e| io::Error::new(e.kind(), told(&e)))?;
        text.trim().parse().map_err(|e| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                told(&format!("{:?} is no number of bytes: {e}", text.trim())),
            )
        })
    }

    /// How many of so many further bytes may be taken: all, a part, or none. What has been set aside for a file counts
    /// as taken.
    ///
    /// # Errors
    /// As of [`Budget::limit`].
    pub fn grant(&self, wanted: u64) -> io::Result<u64> {
        Ok(self.limit()?.saturating_sub(taken(&self.state, DEPTH)).min(wanted))
    }

    /// Lets a write of so many bytes behind `at` go ahead, in whole or in part; what lies in the file's blocks already
    /// costs nothing.
    ///
    /// # Errors
    /// None of it fits, as a full disk would say it; or as of [`Budget::limit`].
    pub fn admit(&self, file: &fs::File, at: u64, bytes: usize) -> io::Result<usize> {
        let inside = room_of(&file.metadata()?).saturating_sub(at);
        let beyond = (bytes as u64).saturating_sub(inside);
        let granted = if beyond > 0 { self.grant(beyond)? } else { 0 };
        match (inside + granted).min(bytes as u64) {
            0 if bytes > 0 => Err(io::Error::new(io::ErrorKind::StorageFull, "the disk budget is used up")),
            some => Ok(some as usize),
        }
    }
}

fn room_of(file: &fs::Metadata) -> u64 {
    (file.blocks() * BLOCK).max(file.len())
}

/// Bytes of all files below a folder. One that goes meanwhile takes none.
fn taken(folder: &Path, depth: u32) -> u64 {
    let Ok(entries) = fs::read_dir(folder) else { return 0 };
    let of = |entry: fs::DirEntry| match entry.metadata() {
        Ok(m) if m.is_dir() && depth > 0 => taken(&entry.path(), depth - 1),
        Ok(m) if m.is_file() => room_of(&m),
        _ => 0,
    };
    entries.flatten().map(of).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_set_aside_counts_and_a_write_gets_what_is_left() {
        let folder = tempfile::tempdir().unwrap();
        let (state, limit) = (folder.path().join("state"), folder.path().join("limit"));
        fs::create_dir_all(state.join("journal")).unwrap();
        let budget = Budget::new(&state, &limit);
        assert!(budget.limit().unwrap_err().to_string().contains("limit"));
        fs::write(&limit, "many").unwrap();
        assert!(budget.limit().unwrap_err().to_string().contains("\"many\" is no number"));
        fs::write(&limit, "20000\n").unwrap();
        let path = state.join("journal/00000001");
        fs::write(&path, vec![7; 12_000]).unwrap();
        let file = fs::File::open(&path).unwrap();
        let room = room_of(&file.metadata().unwrap());
        assert!(room >= 12_000);
        assert_eq!(budget.admit(&file, 12_000, 100_000).unwrap() as u64, room - 12_000 + (20_000 - room));
        fs::write(&limit, "0").unwrap();
        assert_eq!(budget.admit(&file, room, 10).unwrap_err().kind(), io::ErrorKind::StorageFull);
        assert_eq!(budget.admit(&file, 5, 10).unwrap(), 10, "inside its blocks");
    }
}
