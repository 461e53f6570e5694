//! How each partner is spoken to, carried out: its dialect, and the secrets that prove who calls. Files of secrets are looked
//! at again while the process runs; a new one counts from the next call on, and one that can't be read leaves the old.

use foldtrack_dialect::{Dialect, Outgoing, Unfit};
use foldtrack_proof::{headers, Kind, Secrets, Subject, LONGEST_FILE};
use foldtrack_site::Site;
use http::request::Parts;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::Read;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// How often files of secrets are looked at.
const LOOK: Duration = Duration::from_secs(1);

/// One partner's.
#[derive(Debug)]
pub(crate) struct Speech {
    pub dialect: Dialect,
    proof: Option<(Kind, watch::Receiver<Arc<Secrets>>)>,
}

/// Every partner's.
#[derive(Debug)]
pub(crate) struct Speeches {
    usual: Arc<Speech>,
    by_destination: HashMap<u32, Arc<Speech>>,
}

/// A file of secrets, and what it was when it was read last.
struct Watched {
    partner: String,
    kind: Kind,
    path: PathBuf,
    stamp: Stamp,
    secrets: watch::Sender<Arc<Secrets>>,
    /// It can't be read now; told once.
    told: Option<String>,
}

/// What changes with a file.
type Stamp = (u64, u64, i64, i64, u32);

impl Speech {
    /// The head of a call.
    ///
    /// # Errors
    /// The message can never be sent to this partner.
    pub fn head(&self, call: &Outgoing<'_>, body: &[u8]) -> Result<Parts, Unfit> {
        let mut head = self.dialect.head(call)?;
        if let Some((kind, secrets)) = &self.proof {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            let of = Subject { id: call.values.id, unix, body };
            let made = headers(kind, &secrets.borrow(), of).ok_or(Unfit::Header)?;
            head.headers.extend(made.into_iter().map(|(name, value)| (Some(name), value)));
        }
        Ok(head)
    }
}

impl Speeches {
    /// Under the platform: its protocol for all.
    pub fn platform() -> Speeches {
        let usual = Arc::new(Speech { dialect: Dialect::foldtrack(), proof: None });
        Speeches { usual, by_destination: HashMap::new() }
    }

    /// A destination's.
    pub fn of(&self, destination: u32) -> Arc<Speech> {
        self.by_destination.get(&destination).unwrap_or(&self.usual).clone()
    }
}

/// Secrets that are looked after while the process runs.
pub(crate) struct Keeper(Vec<Watched>);

/// What a site's partners are spoken to with.
///
/// # Errors
/// The first file of secrets that can't be used, by the partner's name and the file's.
pub(crate) fn of_site(site: &Site) -> Result<(Speeches, Keeper), String> {
    let (mut speeches, mut watched) = (Speeches::platform(), Vec::new());
    for partner in &site.partners {
        let mut proof = None;
        if let Some(said) = &partner.proof {
            let told =
                |problem| format!("partner.{}.proof: {}: {problem}", partner.name, said.file.display());
            let (secrets, stamp) = read(&said.kind, &said.file).map_err(told)?;
            let (sender, secrets) = watch::channel(Arc::new(secrets));
            proof = Some((said.kind.clone(), secrets));
            watched.push(Watched {
                partner: partner.name.clone(),
                kind: said.kind.clone(),
                path: said.file.clone(),
                stamp,
                secrets: sender,
                told: None,
            });
        }
        let speech = Speech { dialect: partner.dialect.clone(), proof };
        speeches.by_destination.insert(partner.number(), Arc::new(speech));
    }
    Ok((speeches, Keeper(watched)))
}

fn stamp(file: &File) -> std::io::Result<Stamp> {
    let seen = file.metadata()?;
    Ok((seen.ino(), seen.len(), seen.mtime(), seen.mtime_nsec(), seen.mode()))
}

fn open(path: &Path) -> Result<File, String> {
    // A pipe that stands there must not hold the process up.
    let nonblocking = rustix::fs::OFlags::NONBLOCK.bits() as i32;
    OpenOptions::new().read(true).custom_flags(nonblocking).open(path).map_err(|e| e.to_string())
}

/// Reads a file of secrets that its owner alone may read.
fn read(kind: &Kind, path: &Path) -> Result<(Secrets, Stamp), String> {
    let file = open(path)?;
    let seen = file.metadata().map_err(|e| e.to_string())?;
    if !seen.is_file() {
        return Err("is no file".into());
    }
    if seen.mode() & 0o077 != 0 {
        return Err(format!("mode {:03o} lets others at it: chmod 600", seen.mode() & 0o777));
    }
    let stamp = stamp(&file).map_err(|e| e.to_string())?;
    let mut text = Vec::new();
    file.take(LONGEST_FILE as u64 + 1).read_to_end(&mut text).map_err(|e| e.to_string())?;
    let secrets = Secrets::read(kind, &text);
    // No copy stays behind in freed memory.
    secrecy::zeroize::Zeroize::zeroize(&mut text);
    Ok((secrets?, stamp))
}

impl Watched {
    /// Looks whether the file is another one now.
    fn look(&mut self) {
        let now = open(&self.path).and_then(|file| stamp(&file).map_err(|e| e.to_string()));
        if now.as_ref() == Ok(&self.stamp) && self.told.is_none() {
            return;
        }
        match read(&self.kind, &self.path) {
            Ok((secrets, stamp)) => {
                self.secrets.send_replace(Arc::new(secrets));
                (self.stamp, self.told) = (stamp, None);
                tracing::info!(partner = self.partner, file = %self.path.display(), "the secret is another one from now on");
            }
            Err(problem) if self.told.as_ref() != Some(&problem) => {
                tracing::warn!(partner = self.partner, file = %self.path.display(), problem, "the secret stays what it was");
                self.told = Some(problem);
            }
            Err(_) => {}
        }
    }
}

impl Keeper {
    /// Looks after the files for as long as the process runs, off the loop. Nothing of it runs where there is no secret.
    pub fn start(mut self) {
        if self.0.is_empty() {
            return;
        }
        tokio::spawn(async move {
            loop {
                sleep(LOOK).await;
                let looked = spawn_blocking(move || {
                    self.0.iter_mut().for_each(Watched::look);
                    self
                });
                // It ends only with the runtime.
                let Ok(keeper) = looked.await else { return };
                self = keeper;
            }
        });
    }

    /// Whether there is anything to look after.
    pub fn is_idle(&self) -> bool {
        self.0.is_empty()
    }
}
