//! Simulation of a full disk: limits the bytes that a state folder may take, without a mount or privileges.
//! The limit is read from a file each time that space is needed, so that a drill or a test can take space
//! away and give it back while the process runs.

use crate::compaction_policy::BLOCK_BYTES;
use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Levels of folders below the state folder whose files are counted.
const MAX_DEPTH: u32 = 3;

/// Limit of the total size of the files in a state folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    state: PathBuf,
    limit: PathBuf,
}

impl Budget {
    /// A budget for a state folder. `limit` is a file that holds the number of bytes in decimal digits.
    pub fn new(state: &Path, limit: &Path) -> Budget {
        Budget { state: state.to_path_buf(), limit: limit.to_path_buf() }
    }

    /// The current limit in bytes.
    ///
    /// # Errors
    /// The file can't be read, or does not hold a number. The error names the file and quotes its contents.
    pub fn limit(&self) -> io::Result<u64> {
        let with_path = |e: &dyn std::fmt::Display| format!("{}: {e}", self.limit.display());
        let text = fs::read_to_string(&self.limit).map_err(|e| io::Error::new(e.kind(), with_path(&e)))?;
        text.trim().parse().map_err(|e| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                with_path(&format!("{:?} is not a number of bytes: {e}", text.trim())),
            )
        })
    }

    /// How many of `wanted` further bytes may be used: all, a part, or none. Space preallocated for a file
    /// counts as used.
    ///
    /// # Errors
    /// Same as [`Budget::limit`].
    pub fn grant(&self, wanted: u64) -> io::Result<u64> {
        Ok(self.limit()?.saturating_sub(total_occupied_bytes(&self.state, MAX_DEPTH)).min(wanted))
    }

    /// How many of the `bytes` to be written at `offset` the budget allows. Bytes within the blocks that the
    /// file already occupies are free.
    ///
    /// # Errors
    /// None of them fit, with the error kind of a full disk; or as [`Budget::limit`].
    pub fn admit(&self, file: &fs::File, offset: u64, bytes: usize) -> io::Result<usize> {
        let already_occupied = occupied_bytes(&file.metadata()?).saturating_sub(offset);
        let beyond = (bytes as u64).saturating_sub(already_occupied);
        let granted = if beyond > 0 { self.grant(beyond)? } else { 0 };
        match (already_occupied + granted).min(bytes as u64) {
            0 if bytes > 0 => Err(io::Error::new(io::ErrorKind::StorageFull, "the disk budget is used up")),
            admitted => Ok(admitted as usize),
        }
    }
}

/// Bytes that a file occupies, including preallocated blocks.
fn occupied_bytes(file: &fs::Metadata) -> u64 {
    (file.blocks() * BLOCK_BYTES).max(file.len())
}

/// Bytes occupied by all files below a folder. A file that is removed meanwhile counts as zero.
fn total_occupied_bytes(folder: &Path, depth: u32) -> u64 {
    let Ok(entries) = fs::read_dir(folder) else { return 0 };
    let occupied_by = |entry: fs::DirEntry| match entry.metadata() {
        Ok(m) if m.is_dir() && depth > 0 => total_occupied_bytes(&entry.path(), depth - 1),
        Ok(m) if m.is_file() => occupied_bytes(&m),
        _ => 0,
    };
    entries.flatten().map(occupied_by).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn preallocated_blocks_count_as_used_and_a_write_gets_the_rest() {
        let folder = tempfile::tempdir().unwrap();
        let (state, limit) = (folder.path().join("state"), folder.path().join("limit"));
        fs::create_dir_all(state.join("journal")).unwrap();
        let budget = Budget::new(&state, &limit);
        assert!(budget.limit().unwrap_err().to_string().contains("limit"));
        fs::write(&limit, "many").unwrap();
        assert!(budget.limit().unwrap_err().to_string().contains("\"many\" is not a number"));
        fs::write(&limit, "20000\n").unwrap();
        let path = state.join("journal/00000001");
        fs::write(&path, vec![7; 12_000]).unwrap();
        let file = fs::File::open(&path).unwrap();
        let occupied = occupied_bytes(&file.metadata().unwrap());
        assert!(occupied >= 12_000);
        assert_eq!(
            budget.admit(&file, 12_000, 100_000).unwrap() as u64,
            occupied - 12_000 + (20_000 - occupied)
        );
        fs::write(&limit, "0").unwrap();
        assert_eq!(budget.admit(&file, occupied, 10).unwrap_err().kind(), io::ErrorKind::StorageFull);
        assert_eq!(budget.admit(&file, 5, 10).unwrap(), 10, "within the blocks of the file");
    }
}
