//! The statements in a file of the state folder.

use crate::state::{Change, MembershipState, Order, Rejection, SiteFile};
use foldtrack_journal::frame;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Version of the format. A log of a later one is left alone.
const FORMAT: u32 = 1;
/// A file longer than this is compacted, unless its state alone takes more than half.
const LONG: u64 = 512 << 10;

#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// The first of a file: the state before the others.
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

/// The membership log of one process. Times are Unix time in microseconds, for people who look into it.
#[derive(Debug)]
pub struct MembershipLog {
    path: PathBuf,
    file: File,
    length: u64,
    /// Length of the file when it was written anew last.
    head: u64,
    most: usize,
    /// Nothing more is written: the file may end in a part of a record that could not be cut off.
    torn: bool,
    state: MembershipState,
}

impl MembershipLog {
    /// Opens the log of a state folder, or begins one; `most` partners and endpoints are let in by orders.
    ///
    /// A record that was not finished when a process ended is cut off: its order was not acknowledged.
    ///
    /// # Errors
    /// The file can't be read or written, was written by a later version, or is damaged before its end. A damaged
    /// one is left as it is: what it says no more may be a drain.
    pub fn open(folder: &Path, most: usize) -> io::Result<MembershipLog> {
        let path = folder.join("membership");
        let _ = fs::remove_file(path.with_extension("new"));
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(named(&path, e)),
        };
        let (state, read) = replay(&bytes).map_err(|problem| named(&path, io::Error::other(problem)))?;
        let Some(state) = state else {
            // Nothing whole: a first start, or one that was cut off while it wrote the head.
            let state = MembershipState::default();
            let (file, length) = write_anew(&path, &state)?;
            return Ok(MembershipLog { path, file, length, head: length, most, torn: false, state });
        };
        let file = OpenOptions::new().append(true).open(&path).map_err(|e| named(&path, e))?;
        if read < bytes.len() {
            eprintln!(
                "{}: cut at {read}, {} bytes of an order that was not acknowledged",
                path.display(),
                bytes.len() - read
            );
            file.set_len(read as u64).map_err(|e| named(&path, e))?;
        }
        let length = read as u64;
        Ok(MembershipLog { path, file, length, head: 0, most, torn: false, state })
    }

    /// The state as the log has it.
    pub fn state(&self) -> &MembershipState {
        &self.state
    }

    /// Takes in the site file, if it says something new; gives what is to be told of it.
    ///
    /// # Errors
    /// It could not be written; nothing has changed.
    pub fn apply_site_file(&mut self, at: u64, site: &SiteFile) -> io::Result<Vec<String>> {
        if self.state.site() == site && self.state.version() > 0 {
            // Told again, where orders stand against it.
            return Ok(self.state.clone().apply_site_file(site));
        }
        self.append(&Record::Site { at, site: site.clone() })?;
        Ok(self.state.apply_site_file(site))
    }

    /// What an order would do, without doing it.
    ///
    /// # Errors
    /// It is refused.
    pub fn validate(&self, order: &Order) -> Result<Change, Rejection> {
        self.state.validate(order, self.most)
    }

    /// Carries out an order: in the file first, then in the state. It outlives the process from the return on, and
    /// the machine's power from when [`MembershipLog::sync_handle`] has been synced.
    ///
    /// # Errors
    /// It is refused, or could not be written; nothing has changed then.
    pub fn apply_order(&mut self, at: u64, order: &Order) -> Result<Change, OrderError> {
        if self.state.validate(order, self.most)? == Change::Unchanged {
            return Ok(Change::Unchanged);
        }
        self.append(&Record::Order { at, order: order.clone() })?;
        self.state.apply_order(order);
        Ok(Change::Applied)
    }

    /// The file, to be synced by whoever can wait.
    ///
    /// # Errors
    /// There is no descriptor left.
    pub fn sync_handle(&self) -> io::Result<File> {
        self.file.try_clone()
    }

    fn append(&mut self, record: &Record) -> io::Result<()> {
        if self.torn {
            let problem = "an earlier record could not be finished or cut off; a restart reads up to it";
            return Err(named(&self.path, io::Error::other(problem)));
        }
        if self.length > LONG.max(2 * self.head) {
            let (file, length) = write_anew(&self.path, &self.state)?;
            (self.file, self.length, self.head) = (file, length, length);
        }
        let frame = frame::encode(record)?;
        if let Err(error) = self.file.write_all(&frame) {
            // A part of it would stand before the records that follow, and hide them from a restart.
            self.torn = self.file.set_len(self.length).is_err();
            return Err(named(&self.path, error));
        }
        self.length += frame.len() as u64;
        Ok(())
    }
}

/// Why an order has no effect.
#[derive(Debug)]
pub enum OrderError {
    /// It contradicts what there is.
    Rejected(Rejection),
    /// It could not be written.
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
            OrderError::NotWritten(error) => write!(f, "the order could not be kept: {error}"),
        }
    }
}

fn named(path: &Path, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}

/// The state that these bytes make, if they begin with one, and how many of them are whole records.
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
            _ => return Err(format!("a record out of place at byte {at}")),
        }
        at += frame.len();
    }
    // Only the last record can be unfinished. A whole one behind unreadable bytes means damage, and a drain in it
    // must not be passed over.
    if (at + 1..bytes.len()).any(|next| frame::decode::<Record>(&bytes[next..]).is_some()) {
        return Err(format!("damaged at byte {at}, with whole records behind it"));
    }
    Ok((state, at))
}

fn write_anew(path: &Path, state: &MembershipState) -> io::Result<(File, u64)> {
    let frame = frame::encode(&Record::Head { format: FORMAT, state: state.clone() })?;
    let new = path.with_extension("new");
    let written =
        File::create(&new).and_then(|mut file| file.write_all(&frame).and_then(|()| file.sync_data()));
    written.and_then(|()| fs::rename(&new, path)).map_err(|e| named(path, e))?;
    let file = OpenOptions::new().append(true).open(path).map_err(|e| named(path, e))?;
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

    /// The last order is torn at each of its bytes: it is wholly there or wholly not, and the ones before it stand.
    #[test]
    fn an_order_torn_anywhere_is_wholly_there_or_wholly_not() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = open(folder.path());
        log.apply_site_file(1, &site()).unwrap();
        log.apply_order(2, &toggle(0)).unwrap();
        let (before, whole) = (log.length as usize, log.state.clone());
        log.apply_order(3, &Order::PausePartner { partner: "p".into() }).unwrap();
        let (after, last) = (log.length as usize, log.state.clone());
        let bytes = fs::read(&log.path).unwrap();
        for cut in before..=after {
            fs::write(&log.path, &bytes[..cut]).unwrap();
            let mut again = open(folder.path());
            assert_eq!(again.state, if cut == after { last.clone() } else { whole.clone() }, "cut at {cut}");
            // What is ordered next stands behind what was whole.
            again.apply_order(4, &toggle(1)).unwrap();
            let next = again.state.clone();
            assert_eq!(open(folder.path()).state, next, "cut at {cut}");
        }
    }

    #[test]
    fn a_log_cut_anywhere_in_its_head_or_first_statement_begins_anew_from_the_file() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = open(folder.path());
        log.apply_site_file(1, &site()).unwrap();
        let bytes = fs::read(&log.path).unwrap();
        for cut in 0..bytes.len() {
            fs::write(&log.path, &bytes[..cut]).unwrap();
            let mut again = open(folder.path());
            again.apply_site_file(2, &site()).unwrap();
            assert!(again.state.endpoints().contains_key("a"), "cut at {cut}");
        }
    }

    #[test]
    fn damage_before_the_end_is_refused_and_left_as_it_is() {
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
    fn a_log_of_a_later_version_is_left_alone() {
        let folder = tempfile::tempdir().unwrap();
        let head = Record::Head { format: FORMAT + 1, state: MembershipState::default() };
        fs::write(folder.path().join("membership"), frame::encode(&head).unwrap()).unwrap();
        assert!(MembershipLog::open(folder.path(), 100).unwrap_err().to_string().contains("format 2"));
    }

    #[test]
    fn many_orders_keep_the_file_short_and_the_state_whole() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = open(folder.path());
        log.apply_site_file(1, &site()).unwrap();
        let mut longest = 0;
        for n in 0..60_000 {
            log.apply_order(n as u64, &toggle(n)).unwrap();
            longest = longest.max(log.length);
        }
        assert!(longest < LONG + 1024, "{longest} bytes");
        let state = log.state.clone();
        assert_eq!(open(folder.path()).state, state);
        assert_eq!(state.endpoints()["a"].state, EndpointState::Active);
    }
}
