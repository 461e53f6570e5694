//! How each partner is called: its HTTP mapping, credentials and TLS settings. Secret and
//! certificate files are checked for changes while the process runs; a new version applies from the
//! next call on, and one that can't be used leaves the old one in place.

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

/// Maximum size of a file in bytes: the system's complete list of roots fits.
const MAX_FILE_BYTES: usize = 1 << 20;
/// Markers of certificates and private keys in PEM (RFC 7468).
const CERTIFICATE_MARKER: &[u8] = b"-----BEGIN CERTIFICATE-----";
const PRIVATE_KEY_MARKER: &[u8] = b"PRIVATE KEY-----";
/// How often files are checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How one partner is called.
#[derive(Debug)]
pub(crate) struct PartnerProtocol {
    /// The HTTP mapping.
    pub dialect: Dialect,
    proof: Option<(AuthScheme, watch::Receiver<Arc<Secrets>>)>,
    /// TLS settings of its connections; none for plain text.
    pub encryption: Option<Encryption>,
}

/// The protocols of all partners.
#[derive(Debug)]
pub(crate) struct PartnerProtocols {
    default: Arc<PartnerProtocol>,
    by_destination: HashMap<u32, Arc<PartnerProtocol>>,
    /// Partners whose secrets are sent over unencrypted connections.
    unencrypted: HashSet<String>,
}

/// Files that are watched, and what is loaded from them.
struct WatchedFiles {
    partner: String,
    /// The field of the site file that names them.
    field: &'static str,
    files: Vec<PathBuf>,
    stamps: Vec<Stamp>,
    /// Loads the contents of the files and puts the result in use.
    reload: Reload,
    /// Index of the client certificate among the files, its expiry (Unix time in seconds), and the
    /// last expiry warning that was logged, in days.
    certificate: Option<usize>,
    expires: Option<i64>,
    announced_days: Option<i64>,
    /// Why the files can't be used at the moment; logged once.
    reported_error: Option<String>,
}

/// Puts the contents of files in use.
type Reload = Box<dyn FnMut(&[Vec<u8>]) -> Result<(), String> + Send>;

/// Metadata that changes with a file: inode, size, modification time in seconds and nanoseconds,
/// mode.
type Stamp = (u64, u64, i64, i64, u32);

impl PartnerProtocol {
    /// Builds the request head of a call.
    ///
    /// # Errors
    /// The message can never be sent to this partner.
    pub fn head(&self, call: &CallContext<'_>, body: &[u8]) -> Result<Parts, Unsendable> {
        let mut head = self.dialect.head(call)?;
        if let Some((kind, secrets)) = &self.proof {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            let call = SignedCall { id: call.values.id, timestamp: unix, body };
            let result = headers(kind, &secrets.borrow(), call).ok_or(Unsendable::Header)?;
            head.headers.extend(result.into_iter().map(|(name, value)| (Some(name), value)));
        }
        Ok(head)
    }
}

impl PartnerProtocols {
    /// With the platform: the native protocol for all destinations.
    pub fn platform() -> PartnerProtocols {
        let default =
            Arc::new(PartnerProtocol { dialect: Dialect::foldtrack(), proof: None, encryption: None });
        PartnerProtocols { default, by_destination: HashMap::new(), unencrypted: HashSet::new() }
    }

    /// Whether an endpoint at this address would receive a partner's secret over a network without
    /// encryption.
    pub fn exposes_secrets(&self, partner: &str, address: SocketAddr) -> bool {
        self.unencrypted.contains(partner) && !address.ip().is_loopback()
    }

    /// The protocol of a destination.
    pub fn for_destination(&self, destination: u32) -> Arc<PartnerProtocol> {
        self.by_destination.get(&destination).unwrap_or(&self.default).clone()
    }
}

/// Reloads files when they change.
pub(crate) struct FileWatcher(Vec<WatchedFiles>);

/// Loads the protocols of a site's partners, with the watcher of their files.
///
/// # Errors
/// The first file that can't be used, with the names of partner and file.
pub(crate) fn load(site: &Site) -> Result<(PartnerProtocols, FileWatcher), String> {
    let (mut partner_protocols, mut watched) = (PartnerProtocols::platform(), Vec::new());
    for partner in &site.partners {
        let proof = partner
            .proof
            .as_ref()
            .map(|settings| proof(&partner.name, settings, &mut watched))
            .transpose()?;
        let encryption = partner
            .tls
            .as_ref()
            .map(|settings| encryption(&partner.name, settings, &mut watched))
            .transpose()?;
        if proof.is_some() && encryption.is_none() {
            partner_protocols.unencrypted.insert(partner.name.clone());
        }
        let protocol = PartnerProtocol { dialect: partner.dialect.clone(), proof, encryption };
        partner_protocols.by_destination.insert(partner.number(), Arc::new(protocol));
    }
    Ok((partner_protocols, FileWatcher(watched)))
}

/// Reads files, loads what they contain, and registers them with the watcher.
fn watch_files<T: Send + Sync + 'static>(
    partner: &str, field: &'static str, files: Vec<PathBuf>, certificate: Option<usize>,
    watched: &mut Vec<WatchedFiles>, make: impl Fn(&[Vec<u8>]) -> Result<T, String> + Send + 'static,
) -> Result<watch::Receiver<T>, String> {
    let prefixed = |problem: String| format!("partner.{partner}.{field}: {problem}");
    let (texts, stamps) = read_all(&files).map_err(prefixed)?;
    let (sender, receiver) = watch::channel(make(&texts).map_err(prefixed)?);
    let expires = earliest_expiry(certificate, &texts);
    let reload = Box::new(move |texts: &[Vec<u8>]| {
        sender.send_replace(make(texts)?);
        Ok(())
    });
    watched.push(WatchedFiles {
        partner: partner.to_string(),
        field,
        files,
        stamps,
        reload,
        certificate,
        expires,
        announced_days: None,
        reported_error: None,
    });
    Ok(receiver)
}

/// The earliest expiry of the certificates at index `certificate`, if any.
fn earliest_expiry(certificate: Option<usize>, texts: &[Vec<u8>]) -> Option<i64> {
    let all = certificate::parse_pem(texts.get(certificate?)?).ok()?;
    all.into_iter().map(|f| f.not_after).min()
}

/// The authentication scheme and the current secrets.
type Credentials = (AuthScheme, watch::Receiver<Arc<Secrets>>);

/// Loads the credentials of a partner.
fn proof(
    partner: &str, settings: &Authentication, watched: &mut Vec<WatchedFiles>,
) -> Result<Credentials, String> {
    let kind = settings.scheme.clone();
    let file = settings.secret_file.display().to_string();
    let make = move |texts: &[Vec<u8>]| {
        let read = Secrets::parse(&kind, texts.first().map_or(&[][..], Vec::as_slice));
        read.map(Arc::new).map_err(|problem| format!("{file}: {problem}"))
    };
    let secrets = watch_files(partner, "proof", vec![settings.secret_file.clone()], None, watched, make)?;
    Ok((settings.scheme.clone(), secrets))
}

/// Loads the TLS configuration of a partner.
fn encryption(partner: &str, settings: &Tls, watched: &mut Vec<WatchedFiles>) -> Result<Encryption, String> {
    let client = settings.client.iter().flat_map(|(chain, key)| [chain, key]);
    let files: Vec<PathBuf> = settings.roots.iter().chain(client).cloned().collect();
    let certificate = settings.client.as_ref().map(|_| files.len() - 2);
    let (plan, with_roots) = (settings.settings.clone(), settings.roots.is_some());
    let make = move |texts: &[Vec<u8>]| {
        let (roots, client) = texts.split_at(usize::from(with_roots));
        let client = match client {
            [chain, key] => Some((chain.clone(), key.clone())),
            _ => None,
        };
        foldtrack_tls::client_config(&plan, &PemFiles { roots: roots.first().cloned(), client })
    };
    let config = watch_files(partner, "tls", files, certificate, watched, make)?;
    Ok(Encryption { name: settings.settings.server_name.clone(), config })
}

fn stamp(file: &File) -> std::io::Result<Stamp> {
    let metadata = file.metadata()?;
    Ok((metadata.ino(), metadata.len(), metadata.mtime(), metadata.mtime_nsec(), metadata.mode()))
}

fn open(path: &Path) -> Result<File, String> {
    // Opening must not block if the path is a named pipe.
    let nonblocking = rustix::fs::OFlags::NONBLOCK.bits() as i32;
    OpenOptions::new().read(true).custom_flags(nonblocking).open(path).map_err(|e| e.to_string())
}

/// Reads files that only their owner may write and, except for certificates, only their owner may
/// read.
fn read_all(files: &[PathBuf]) -> Result<(Vec<Vec<u8>>, Vec<Stamp>), String> {
    let read = |path: &PathBuf| {
        read_protected_file(path).map_err(|problem| format!("{}: {problem}", path.display()))
    };
    Ok(files.iter().map(read).collect::<Result<Vec<_>, _>>()?.into_iter().unzip())
}

/// Reads one file with the permission check of [`read_all`].
pub(crate) fn read_protected_file(path: &Path) -> Result<(Vec<u8>, Stamp), String> {
    let file = open(path)?;
    let metadata = file.metadata().map_err(|e| e.to_string())?;
    if !metadata.is_file() {
        return Err("is not a regular file".into());
    }
    let stamp = stamp(&file).map_err(|e| e.to_string())?;
    let mut text = Vec::new();
    file.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut text).map_err(|e| e.to_string())?;
    if text.len() > MAX_FILE_BYTES {
        return Err(format!("has more than {MAX_FILE_BYTES} bytes"));
    }
    // A file that contains only certificates is not secret.
    let contains = |part: &[u8]| text.windows(part.len()).any(|w| w == part);
    let public = contains(CERTIFICATE_MARKER) && !contains(PRIVATE_KEY_MARKER);
    if metadata.mode() & if public { 0o022 } else { 0o077 } != 0 {
        text.zeroize();
        let mode = if public { "644" } else { "600" };
        return Err(format!("mode {:03o} lets others at it: chmod {mode}", metadata.mode() & 0o777));
    }
    Ok((text, stamp))
}

impl WatchedFiles {
    /// Reloads the files if they have changed, and checks whether a certificate expires soon.
    fn check(&mut self) {
        let current: Result<Vec<Stamp>, String> = self
            .files
            .iter()
            .map(|path| open(path).and_then(|file| stamp(&file).map_err(|e| e.to_string())))
            .collect();
        if current.as_ref() != Ok(&self.stamps) || self.reported_error.is_some() {
            let result = read_all(&self.files).and_then(|(mut texts, stamps)| {
                let result = (self.reload)(&texts);
                let expires = earliest_expiry(self.certificate, &texts);
                // Zeroed, so that no copy stays in freed memory.
                texts.iter_mut().for_each(Zeroize::zeroize);
                result.map(|()| (stamps, expires))
            });
            let (partner, field) = (&self.partner, self.field);
            match result {
                Ok((stamps, expires)) => {
                    tracing::info!(partner, field, "the files were reloaded");
                    (self.stamps, self.expires, self.reported_error, self.announced_days) =
                        (stamps, expires, None, None);
                }
                Err(problem) if self.reported_error.as_ref() != Some(&problem) => {
                    tracing::warn!(
                        partner,
                        field,
                        problem,
                        "the files can't be used, the previous contents stay in use"
                    );
                    self.reported_error = Some(problem);
                }
                Err(_) => {}
            }
        }
        self.check_expiry();
    }

    /// Logs when the client certificate expires: 30 days, 7 days and one day before, and once it
    /// has.
    fn check_expiry(&mut self) {
        let Some(path) = self.certificate.and_then(|at| self.files.get(at)) else { return };
        let Some(expires) = self.expires else { return };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() as i64;
        if let Some(days) = expiry::due_warning(expires, unix, self.announced_days) {
            let file = path.display();
            match days {
                0 => tracing::error!(partner = self.partner, %file, "the client certificate has expired"),
                days => {
                    tracing::warn!(partner = self.partner, %file, days, "the client certificate expires soon")
                }
            }
            self.announced_days = Some(days);
        }
    }
}

impl FileWatcher {
    /// Checks the files for as long as the process runs, on the blocking pool. Starts no task if
    /// there are none.
    pub fn start(mut self) {
        if self.0.is_empty() {
            return;
        }
        tokio::spawn(async move {
            loop {
                sleep(CHECK_INTERVAL).await;
                let checked = spawn_blocking(move || {
                    self.0.iter_mut().for_each(WatchedFiles::check);
                    self
                });
                // This fails only when the runtime shuts down.
                let Ok(file_watcher) = checked.await else { return };
                self = file_watcher;
            }
        });
    }
}
