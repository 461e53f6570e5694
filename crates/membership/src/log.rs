//! The log of statements, a file in the state folder.

use crate::state::{Change, MembershipState, Order, Rejection, SiteFile};
use foldtrack_journal::frame;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Version of the format. A log of a later version is an error and is not modified.
const FORMAT: u32 = 1;
/// A longer file is compacted, unless its initial state alone takes more than half of it. In bytes.
const COMPACTION_THRESHOLD_BYTES: u64 = 512 << 10;

/// A record of the log.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// The first record of a file: the state that the other records are applied to.
    Head {
        format: u32,
        state: MembershipState,
    },
    Order {
        at: u64,
        order: Order,
    },
    Site {
        at: u64,
        site: SiteFile,
    },
}

/// The membership log of a process. Times are Unix time in microseconds, for people who inspect the file.
#[derive(Debug)]
pub struct MembershipLog {
    path: PathBuf,
    file: File,
    length: u64,
    /// Length of the file after it was last compacted.
    compacted_length: u64,
    max_entries: usize,
    /// The file may end in a partial record that could not be truncated, so nothing more is written.
    has_partial_record: bool,
    state: MembershipState,
}

impl MembershipLog {
    /// Opens the log of a state folder, or creates it. Orders can add endpoints while there are fewer than
    /// `max_entries` partners and endpoints together.
    ///
    /// An incomplete record at the end is truncated: its order was not acknowledged.
    ///
    /// # Errors
    /// The file can't be read or written, was written by a later version, or is damaged before its last
    /// record. A damaged file is not modified: the lost record may have been a drain.
    pub fn open(folder: &Path, max_entries: usize) -> io::Result<MembershipLog> {
        let path = folder.join("membership");
        let _ = fs::remove_file(path.with_extension("new"));
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(with_path(&path, e)),
        };
        let (state, valid_length) =
            replay(&bytes).map_err(|problem| with_path(&path, io::Error::other(problem)))?;
        let Some(state) = state else {
            // No complete record: a first start, or a crash while the first record was written.
            let state = MembershipState::default();
            let (file, length) = rewrite(&path, &state)?;
            return Ok(MembershipLog {
                path,
                file,
                length,
                compacted_length: length,
                max_entries,
                has_partial_record: false,
                state,
            });
        };
        let file = OpenOptions::new().append(true).open(&path).map_err(|e| with_path(&path, e))?;
        if valid_length < bytes.len() {
            eprintln!(
                "{}: truncated at byte {valid_length}, removing an incomplete, unacknowledged record of {} bytes",
                path.display(),
                bytes.len() - valid_length
            );
            file.set_len(valid_length as u64).map_err(|e| with_path(&path, e))?;
        }
        let length = valid_length as u64;
        Ok(MembershipLog {
            path,
            file,
            length,
            compacted_length: 0,
            max_entries,
            has_partial_record: false,
            state,
        })
    }

    /// The state after all records of the log.
    pub fn state(&self) -> &MembershipState {
        &self.state
    }

    /// Records the contents of the site file if they have changed. Returns messages for the operator.
    ///
    /// # Errors
    /// The record could not be written; nothing has changed.
    pub fn apply_site_file(&mut self, at: u64, site: &SiteFile) -> io::Result<Vec<String>> {
        if self.state.site() == site && self.state.version() > 0 {
            // Repeats the warnings where an order overrides the file.
            return Ok(self.state.clone().apply_site_file(site));
        }
        self.append(&Record::Site { at, site: site.clone() })?;
        Ok(self.state.apply_site_file(site))
    }

    /// Checks an order without applying it, and returns what it would change.
    ///
    /// # Errors
    /// The order is rejected.
    pub fn validate(&self, order: &Order) -> Result<Change, Rejection> {
        self.state.validate(order, self.max_entries)
    }

    /// Applies an order: writes it to the file first, then changes the state. Once it returns, the order
    /// survives a crash of the process; it survives a power failure once the handle of
    /// [`MembershipLog::sync_handle`] has been synced.
    ///
    /// # Errors
    /// The order is rejected, or could not be written; nothing has changed.
    pub fn apply_order(&mut self, at: u64, order: &Order) -> Result<Change, OrderError> {
        if self.state.validate(order, self.max_entries)? == Change::Unchanged {
            return Ok(Change::Unchanged);
        }
        self.append(&Record::Order { at, order: order.clone() })?;
        self.state.apply_order(order);
        Ok(Change::Applied)
    }

    /// A second handle of the file, which the caller can sync on another thread.
    ///
    /// # Errors
    /// No file descriptor is available.
    pub fn sync_handle(&self) -> io::Result<File> {
        self.file.try_clone()
    }

    fn append(&mut self, record: &Record) -> io::Result<()> {
        if self.has_partial_record {
            let problem = "an earlier record could not be completed or truncated; restart to recover the records before it";
            return Err(with_path(&self.path, io::Error::other(problem)));
        }
        if self.length > COMPACTION_THRESHOLD_BYTES.max(2 * self.compacted_length) {
            let (file, length) = rewrite(&self.path, &self.state)?;
            (self.file, self.length, self.compacted_length) = (file, length, length);
        }
        let frame = frame::encode(record)?;
        if let Err(error) = self.file.write_all(&frame) {
            // A partial record would hide the records behind it from a restart.
            self.has_partial_record = self.file.set_len(self.length).is_err();
            return Err(with_path(&self.path, error));
        }
        self.length += frame.len() as u64;
        Ok(())
    }
}

/// Why an order was not applied.
#[derive(Debug)]
pub enum OrderError {
    /// The order contradicts the state.
    Rejected(Rejection),
    /// The order could not be written.
    NotWritten(io::Error),
}

impl From<Rejection> for OrderError {
    fn from(rejection: Rejection) -> Self {
        OrderError::Rejected(rejection)
    }
}

impl From<io::Error> for OrderError {
    fn from(error: io::Error) -> Self {
        OrderError::NotWritten(error)
    }
}

impl std::fmt::Display for OrderError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OrderError::Rejected(rejection) => write!(f, "{rejection}"),
            OrderError::NotWritten(error) => write!(f, "the order could not be written: {error}"),
        }
    }
}

/// Adds the path to an error's text.
fn with_path(path: &Path, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}

/// Replays the records at the start of `bytes`. Returns the resulting state, if there is a first record, and
/// the length of the complete records.
fn replay(bytes: &[u8]) -> Result<(Option<MembershipState>, usize), String> {
    let mut state: Option<MembershipState> = None;
    let mut at = 0;
    while let Some((frame, record)) = frame::decode::<Record>(&bytes[at..]) {
        match (record, &mut state) {
            (Record::Head { format, .. }, _) if format != FORMAT => {
                return Err(format!("format {format}; this version reads {FORMAT}"));
            }
            (Record::Head { state: head, .. }, None) => state = Some(head),
            (Record::Order { order, .. }, Some(state)) => state.apply_order(&order),
            (Record::Site { site, .. }, Some(state)) => drop(state.apply_site_file(&site)),
            _ => return Err(format!("unexpected record type at byte {at}")),
        }
        at += frame.len();
    }
    // Only the last record can be incomplete. A complete record behind unreadable bytes means damage, and it
    // may be a drain, which must not be skipped.
    if (at + 1..bytes.len()).any(|next| frame::decode::<Record>(&bytes[next..]).is_some()) {
        return Err(format!("damaged at byte {at}, with complete records after it"));
    }
    Ok((state, at))
}

/// Replaces the file with one that holds only the state. Returns its handle and length.
fn rewrite(path: &Path, state: &MembershipState) -> io::Result<(File, u64)> {
    let frame = frame::encode(&Record::Head { format: FORMAT, state: state.clone() })?;
    let new = path.with_extension("new");
    let written =
        File::create(&new).and_then(|mut file| file.write_all(&frame).and_then(|()| file.sync_data()));
    written.and_then(|()| fs::rename(&new, path)).map_err(|e| with_path(path, e))?;
    let file = OpenOptions::new().append(true).open(path).map_err(|e| with_path(path, e))?;
    Ok((file, frame.len() as u64))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::{EndpointState, ListedEndpoint};
    use std::net::SocketAddr;

    fn site() -> SiteFile {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        SiteFile {
            partners: [("p".to_string(), 7)].into(),
            endpoints: [("a".to_string(), ListedEndpoint { partner: "p".into(), address })].into(),
        }
    }

    fn toggle(n: usize) -> Order {
        let endpoint = "a".to_string();
        if n.is_multiple_of(2) {
            Order::Drain { endpoint }
        } else {
            Order::Resume { endpoint }
        }
    }

    fn open(folder: &Path) -> MembershipLog {
        MembershipLog::open(folder, 100).unwrap()
    }

    /// The last order is truncated at each of its bytes: after a restart it is complete or absent, and the
    /// earlier ones are there.
    #[test]
    fn a_truncated_order_is_either_complete_or_absent_after_a_restart() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = open(folder.path());
        log.apply_site_file(1, &site()).unwrap();
        log.apply_order(2, &toggle(0)).unwrap();
        let (before, earlier) = (log.length as usize, log.state.clone());
        log.apply_order(3, &Order::PausePartner { partner: "p".into() }).unwrap();
        let (after, latest) = (log.length as usize, log.state.clone());
        let bytes = fs::read(&log.path).unwrap();
        for cut in before..=after {
            fs::write(&log.path, &bytes[..cut]).unwrap();
            let mut reopened = open(folder.path());
            assert_eq!(
                reopened.state,
                if cut == after { latest.clone() } else { earlier.clone() },
                "cut at {cut}"
            );
            // The next order is appended after the complete records.
            reopened.apply_order(4, &toggle(1)).unwrap();
            let next = reopened.state.clone();
            assert_eq!(open(folder.path()).state, next, "cut at {cut}");
        }
    }

    #[test]
    fn a_log_truncated_in_its_first_records_is_rebuilt_from_the_site_file() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = open(folder.path());
        log.apply_site_file(1, &site()).unwrap();
        let bytes = fs::read(&log.path).unwrap();
        for cut in 0..bytes.len() {
            fs::write(&log.path, &bytes[..cut]).unwrap();
            let mut reopened = open(folder.path());
            reopened.apply_site_file(2, &site()).unwrap();
            assert!(reopened.state.endpoints().contains_key("a"), "cut at {cut}");
        }
    }

    #[test]
    fn damage_before_the_last_record_is_an_error_and_the_file_is_not_modified() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = open(folder.path());
        log.apply_site_file(1, &site()).unwrap();
        let at = log.length as usize;
        log.apply_order(2, &toggle(0)).unwrap();
        log.apply_order(3, &Order::PausePartner { partner: "p".into() }).unwrap();
        let mut bytes = fs::read(&log.path).unwrap();
        bytes[at + 12] ^= 1;
        fs::write(&log.path, &bytes).unwrap();
        let error = MembershipLog::open(folder.path(), 100).unwrap_err().to_string();
        assert!(error.contains("membership: damaged at byte"), "{error}");
        assert_eq!(fs::read(&log.path).unwrap(), bytes);
    }

    #[test]
    fn a_log_of_a_later_version_is_an_error() {
        let folder = tempfile::tempdir().unwrap();
        let head = Record::Head { format: FORMAT + 1, state: MembershipState::default() };
        fs::write(folder.path().join("membership"), frame::encode(&head).unwrap()).unwrap();
        assert!(MembershipLog::open(folder.path(), 100).unwrap_err().to_string().contains("format 2"));
    }

    #[test]
    fn compaction_bounds_the_file_and_keeps_the_state() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = open(folder.path());
        log.apply_site_file(1, &site()).unwrap();
        let mut longest = 0;
        for n in 0..60_000 {
            log.apply_order(n as u64, &toggle(n)).unwrap();
            longest = longest.max(log.length);
        }
        assert!(longest < COMPACTION_THRESHOLD_BYTES + 1024, "{longest} bytes");
        let state = log.state.clone();
        assert_eq!(open(folder.path()).state, state);
        assert_eq!(state.endpoints()["a"].state, EndpointState::Active);
    }
}
