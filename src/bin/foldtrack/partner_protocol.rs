//! How each partner is spoken to, carried out: its dialect, and the secrets that prove who calls. Files of secrets are looked
//! at again while the process runs; a new one counts from the next call on, and one that can't be read leaves the old.

use crate::connections::Encryption;
use foldtrack_dialect::{CallContext, Dialect, Unsendable};
use foldtrack_proof::{headers, AuthScheme, Secrets, SignedCall};
use foldtrack_site::{Authentication, Site, Tls};
use foldtrack_tls::{certificate, expiry, PemFiles};
use http::request::Parts;
use secrecy::zeroize::Zeroize;
use std::collections::{HashMap, HashSet};
use std::fs::{File, OpenOptions};
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// Bytes that a file has at most: a system's whole list of roots fits.
const LONGEST: usize = 1 << 20;
/// How certificates and keys begin in PEM (RFC 7468).
const CERTIFICATE: &[u8] = b"-----BEGIN CERTIFICATE-----";
const KEY: &[u8] = b"PRIVATE KEY-----";
/// How often files are looked at.
const LOOK: Duration = Duration::from_secs(1);

/// One partner's.
#[derive(Debug)]
pub(crate) struct PartnerProtocol {
    pub dialect: Dialect,
    proof: Option<(AuthScheme, watch::Receiver<Arc<Secrets>>)>,
    /// How its connections are encrypted; none for plain ones.
    pub encryption: Option<Encryption>,
}

/// Every partner's.
#[derive(Debug)]
pub(crate) struct PartnerProtocols {
    usual: Arc<PartnerProtocol>,
    by_destination: HashMap<u32, Arc<PartnerProtocol>>,
    /// Partners whose secrets go over their connections as they are.
    in_the_clear: HashSet<String>,
}

/// Files, and what is made of them.
struct Watched {
    partner: String,
    /// The field of the site file that they stand in.
    field: &'static str,
    files: Vec<PathBuf>,
    stamps: Vec<Stamp>,
    /// Makes it of the files' texts, and puts it in use.
    renew: Renew,
    /// Which of them is the certificate that is shown to the partner, when it ends (Unix time in seconds), and the last step
    /// towards that which was told.
    certificate: Option<usize>,
    ends: Option<i64>,
    told_end: Option<i64>,
    /// They can't be used now; told once.
    told: Option<String>,
}

/// Puts the texts of files in use.
type Renew = Box<dyn FnMut(&[Vec<u8>]) -> Result<(), String> + Send>;

/// What changes with a file.
type Stamp = (u64, u64, i64, i64, u32);

impl PartnerProtocol {
    /// The head of a call.
    ///
    /// # Errors
    /// The message can never be sent to this partner.
    pub fn head(&self, call: &CallContext<'_>, body: &[u8]) -> Result<Parts, Unsendable> {
        let mut head = self.dialect.head(call)?;
        if let Some((kind, secrets)) = &self.proof {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            let of = SignedCall { id: call.values.id, timestamp: unix, body };
            let made = headers(kind, &secrets.borrow(), of).ok_or(Unsendable::Header)?;
            head.headers.extend(made.into_iter().map(|(name, value)| (Some(name), value)));
        }
        Ok(head)
    }
}

impl PartnerProtocols {
    /// Under the platform: its protocol for all.
    pub fn platform() -> PartnerProtocols {
        let usual =
            Arc::new(PartnerProtocol { dialect: Dialect::foldtrack(), proof: None, encryption: None });
        PartnerProtocols { usual, by_destination: HashMap::new(), in_the_clear: HashSet::new() }
    }

    /// Whether an endpoint at this address would be told a partner's secret over a wire that others may listen on.
    pub fn exposes_secrets(&self, partner: &str, address: SocketAddr) -> bool {
        self.in_the_clear.contains(partner) && !address.ip().is_loopback()
    }

    /// A destination's.
    pub fn for_destination(&self, destination: u32) -> Arc<PartnerProtocol> {
        self.by_destination.get(&destination).unwrap_or(&self.usual).clone()
    }
}

/// Files that are looked after while the process runs.
pub(crate) struct FileWatcher(Vec<Watched>);

/// What a site's partners are spoken to with.
///
/// # Errors
/// The first file that can't be used, by the partner's name and the file's.
pub(crate) fn load(site: &Site) -> Result<(PartnerProtocols, FileWatcher), String> {
    let (mut partner_protocols, mut watched) = (PartnerProtocols::platform(), Vec::new());
    for partner in &site.partners {
        let proof =
            partner.proof.as_ref().map(|said| proof(&partner.name, said, &mut watched)).transpose()?;
        let encryption =
            partner.tls.as_ref().map(|said| encryption(&partner.name, said, &mut watched)).transpose()?;
        if proof.is_some() && encryption.is_none() {
            partner_protocols.in_the_clear.insert(partner.name.clone());
        }
        let protocol = PartnerProtocol { dialect: partner.dialect.clone(), proof, encryption };
        partner_protocols.by_destination.insert(partner.number(), Arc::new(protocol));
    }
    Ok((partner_protocols, FileWatcher(watched)))
}

/// Reads files, makes what they are for, and has them looked after.
fn watch_files<T: Send + Sync + 'static>(
    partner: &str, field: &'static str, files: Vec<PathBuf>, certificate: Option<usize>,
    watched: &mut Vec<Watched>, make: impl Fn(&[Vec<u8>]) -> Result<T, String> + Send + 'static,
) -> Result<watch::Receiver<T>, String> {
    let told = |problem: String| format!("partner.{partner}.{field}: {problem}");
    let (texts, stamps) = read_all(&files).map_err(told)?;
    let (sender, receiver) = watch::channel(make(&texts).map_err(told)?);
    let ends = ends(certificate, &texts);
    let renew = Box::new(move |texts: &[Vec<u8>]| {
        sender.send_replace(make(texts)?);
        Ok(())
    });
    watched.push(Watched {
        partner: partner.to_string(),
        field,
        files,
        stamps,
        renew,
        certificate,
        ends,
        told_end: None,
        told: None,
    });
    Ok(receiver)
}

/// When the certificate among some texts ends.
fn ends(certificate: Option<usize>, texts: &[Vec<u8>]) -> Option<i64> {
    let all = certificate::parse_pem(texts.get(certificate?)?).ok()?;
    all.into_iter().map(|f| f.not_after).min()
}

type Proven = (AuthScheme, watch::Receiver<Arc<Secrets>>);

fn proof(partner: &str, said: &Authentication, watched: &mut Vec<Watched>) -> Result<Proven, String> {
    let kind = said.scheme.clone();
    let file = said.secret_file.display().to_string();
    let make = move |texts: &[Vec<u8>]| {
        let read = Secrets::parse(&kind, texts.first().map_or(&[][..], Vec::as_slice));
        read.map(Arc::new).map_err(|problem| format!("{file}: {problem}"))
    };
    let secrets = watch_files(partner, "proof", vec![said.secret_file.clone()], None, watched, make)?;
    Ok((said.scheme.clone(), secrets))
}

fn encryption(partner: &str, said: &Tls, watched: &mut Vec<Watched>) -> Result<Encryption, String> {
    let client = said.client.iter().flat_map(|(chain, key)| [chain, key]);
    let files: Vec<PathBuf> = said.roots.iter().chain(client).cloned().collect();
    let certificate = said.client.as_ref().map(|_| files.len() - 2);
    let (plan, with_roots) = (said.settings.clone(), said.roots.is_some());
    let make = move |texts: &[Vec<u8>]| {
        let (roots, client) = texts.split_at(usize::from(with_roots));
        let client = match client {
            [chain, key] => Some((chain.clone(), key.clone())),
            _ => None,
        };
        foldtrack_tls::configuration(&plan, &PemFiles { roots: roots.first().cloned(), client })
    };
    let config = watch_files(partner, "tls", files, certificate, watched, make)?;
    Ok(Encryption { name: said.settings.server_name.clone(), config })
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

/// Reads files that their owner alone may write, and, but for certificates, read.
fn read_all(files: &[PathBuf]) -> Result<(Vec<Vec<u8>>, Vec<Stamp>), String> {
    let read = |path: &PathBuf| {
        read_protected_file(path).map_err(|problem| format!("{}: {problem}", path.display()))
    };
    Ok(files.iter().map(read).collect::<Result<Vec<_>, _>>()?.into_iter().unzip())
}

pub(crate) fn read_protected_file(path: &Path) -> Result<(Vec<u8>, Stamp), String> {
    let file = open(path)?;
    let seen = file.metadata().map_err(|e| e.to_string())?;
    if !seen.is_file() {
        return Err("is no file".into());
    }
    let stamp = stamp(&file).map_err(|e| e.to_string())?;
    let mut text = Vec::new();
    file.take(LONGEST as u64 + 1).read_to_end(&mut text).map_err(|e| e.to_string())?;
    if text.len() > LONGEST {
        return Err(format!("has more than {LONGEST} bytes"));
    }
    // Whatever holds no more than certificates is nobody's secret.
    let holds = |part: &[u8]| text.windows(part.len()).any(|w| w == part);
    let public = holds(CERTIFICATE) && !holds(KEY);
    if seen.mode() & if public { 0o022 } else { 0o077 } != 0 {
        text.zeroize();
        let mode = if public { "644" } else { "600" };
        return Err(format!("mode {:03o} lets others at it: chmod {mode}", seen.mode() & 0o777));
    }
    Ok((text, stamp))
}

impl Watched {
    /// Looks whether the files are others now, and whether a certificate is about to end.
    fn look(&mut self) {
        let now: Result<Vec<Stamp>, String> = self
            .files
            .iter()
            .map(|path| open(path).and_then(|file| stamp(&file).map_err(|e| e.to_string())))
            .collect();
        if now.as_ref() != Ok(&self.stamps) || self.told.is_some() {
            let made = read_all(&self.files).and_then(|(mut texts, stamps)| {
                let made = (self.renew)(&texts);
                let ends = ends(self.certificate, &texts);
                // No copy stays behind in freed memory.
                texts.iter_mut().for_each(Zeroize::zeroize);
                made.map(|()| (stamps, ends))
            });
            let (partner, field) = (&self.partner, self.field);
            match made {
                Ok((stamps, ends)) => {
                    tracing::info!(partner, field, "what its files hold is in use from now on");
                    (self.stamps, self.ends, self.told, self.told_end) = (stamps, ends, None, None);
                }
                Err(problem) if self.told.as_ref() != Some(&problem) => {
                    tracing::warn!(partner, field, problem, "what was read before stays in use");
                    self.told = Some(problem);
                }
                Err(_) => {}
            }
        }
        self.look_at_end();
    }

    /// Tells when the certificate that is shown to the partner ends: a month, a week and a day before, and when it has.
    fn look_at_end(&mut self) {
        let Some(path) = self.certificate.and_then(|at| self.files.get(at)) else { return };
        let Some(ends) = self.ends else { return };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() as i64;
        if let Some(days) = expiry::tell(ends, unix, self.told_end) {
            let file = path.display();
            match days {
                0 => tracing::error!(partner = self.partner, %file, "the certificate shown to it has ended"),
                days => {
                    tracing::warn!(partner = self.partner, %file, days, "the certificate shown to it ends soon")
                }
            }
            self.told_end = Some(days);
        }
    }
}

impl FileWatcher {
    /// Looks after the files for as long as the process runs, off the loop. Nothing of it runs where there is none.
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
                let Ok(file_watcher) = looked.await else { return };
                self = file_watcher;
            }
        });
    }

    /// Whether there is anything to look after.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
