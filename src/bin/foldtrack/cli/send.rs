//! `foldtrack send`: submits messages from a file of JSON lines, resumes after an interruption, and
//! reports the outcomes.
//!
//! A ledger next to the file records the batch and the accepted lines. A line's default id consists
//! of the batch and the line number, so a line that was accepted just before an interruption is
//! submitted again under the same id, and the forwarder recognises the duplicate.

use super::{load, print, show, CommandError, CommandResult, EXIT_FAILED, EXIT_USAGE};
use crate::connections::Connection;
use crate::message::order_key;
use bytes::Bytes;
use clap::Args;
use http_body_util::Full;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Request, StatusCode};
use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, Instant};

/// Maximum length of an input line. A body has 64 KiB at most.
const MAX_LINE_BYTES: u64 = 256 * 1024;
/// How long the forwarder may be unreachable, for example during a restart, before the command
/// gives up. Running it again resumes.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Minimum delay before a request is retried, and the interval between polls for outcomes.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a request; after it the connection is closed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Capacity of each queue of lines that wait for a connection.
const QUEUE_CAPACITY: usize = 16;
/// Maximum number of problems that are listed.
const MAX_LISTED_PROBLEMS: usize = 20;

#[derive(Args)]
pub(super) struct Send {
    /// JSON lines: {"class":"fee","partner":"pay","key":"K","body":"text"}; `-` for standard input
    #[arg(default_value = "-")]
    file: PathBuf,
    /// Class of lines that do not name one
    #[arg(long)]
    class: Option<String>,
    /// Partner of lines that do not name one
    #[arg(long)]
    partner: Option<String>,
    /// The forwarder's address, instead of the one in the site file
    #[arg(long)]
    to: Option<SocketAddr>,
    /// The site file of the forwarder
    #[arg(long, default_value = "site.toml", env = "FOLDTRACK_SITE")]
    site: PathBuf,
    /// File that records the accepted lines; by default FILE.sent, and none for standard input
    #[arg(long)]
    ledger: Option<PathBuf>,
    /// Number of connections; messages of one key share a connection, in their order
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=256))]
    connections: u16,
    /// Do not wait for the outcomes
    #[arg(long)]
    no_wait: bool,
}

/// A line of the input file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct InputLine {
    id: Option<String>,
    class: Option<String>,
    partner: Option<String>,
    #[serde(default)]
    key: String,
    idempotency_key: Option<String>,
    #[serde(default)]
    body: Value,
}

/// A message to submit.
#[derive(Clone)]
struct OutgoingMessage {
    number: usize,
    id: String,
    path: String,
    partner: String,
    idempotency_key: String,
    body: Bytes,
}

/// A line of the ledger.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LedgerEntry {
    /// The first entry: the batch, and the checksum of the input file.
    Batch { name: String, file: u32 },
    /// The number of a line that was accepted.
    Taken(usize),
}

/// The batch, and the lines of it that were accepted. Without a file nothing is recorded.
struct Ledger {
    file: Option<File>,
    batch: String,
    taken: BTreeSet<usize>,
}

/// A failure concerning a file.
fn file_error(what: &Path, e: impl std::fmt::Display) -> CommandError {
    CommandError(EXIT_FAILED, format!("{}: {e}", what.display()))
}

impl Ledger {
    /// Opens the ledger of an input file, or creates one. A ledger with another checksum belongs to
    /// other content and is an error.
    fn open(path: Option<&Path>, checksum: u32) -> Result<Ledger, CommandError> {
        let new_batch = format!("{:016x}", RandomState::new().hash_one(std::process::id()));
        let Some(path) = path else {
            return Ok(Ledger { file: None, batch: new_batch, taken: BTreeSet::new() });
        };
        let mut ledger = Ledger { file: None, batch: String::new(), taken: BTreeSet::new() };
        let (mut complete_bytes, mut length) = (0, 0);
        match std::fs::read(path) {
            Ok(bytes) => {
                length = bytes.len();
                // The last line may be incomplete. It is dropped, and its message is submitted
                // again under the same id.
                for line in bytes.split_inclusive(|b| *b == b'\n').filter(|l| l.ends_with(b"\n")) {
                    complete_bytes += line.len();
                    match serde_json::from_slice(line) {
                        Ok(LedgerEntry::Batch { file, .. }) if file != checksum => {
                            let problem =
                                "belongs to different content of the file. Remove it to send the whole file";
                            return Err(CommandError(EXIT_USAGE, format!("{} {problem}", path.display())));
                        }
                        Ok(LedgerEntry::Batch { name, .. }) => ledger.batch = name,
                        Ok(LedgerEntry::Taken(number)) => drop(ledger.taken.insert(number)),
                        Err(e) => return Err(file_error(path, format!("not a ledger: {e}"))),
                    }
                }
            }
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
            Err(e) => return Err(file_error(path, e)),
        }
        let file =
            OpenOptions::new().append(true).create(true).open(path).map_err(|e| file_error(path, e))?;
        if complete_bytes < length {
            file.set_len(complete_bytes as u64).map_err(|e| file_error(path, e))?;
        }
        ledger.file = Some(file);
        if ledger.batch.is_empty() {
            ledger
                .write(&LedgerEntry::Batch { name: new_batch.clone(), file: checksum })
                .map_err(|e| file_error(path, e))?;
            ledger.batch = new_batch;
        }
        Ok(ledger)
    }

    /// Appends an entry.
    fn write(&mut self, entry: &LedgerEntry) -> std::io::Result<()> {
        let Some(file) = &mut self.file else { return Ok(()) };
        let line = serde_json::to_string(entry).map_err(std::io::Error::other)?;
        file.write_all(format!("{line}\n").as_bytes())
    }
}

/// The result so far.
#[derive(Default)]
struct Progress {
    /// Number of messages by outcome and class.
    ended: BTreeMap<(String, String), u64>,
    problems: Vec<String>,
    rejected: u64,
    /// Accepted messages without a known outcome: id and class.
    open: Vec<(String, String)>,
    /// Why the command stopped early.
    aborted: Option<String>,
}

impl Progress {
    /// Counts a line that could not be submitted.
    fn problem(&mut self, number: usize, problem: &str) {
        self.rejected += 1;
        if self.problems.len() < MAX_LISTED_PROBLEMS {
            self.problems.push(format!("line {number}: {}", show::escape_control(problem)));
        }
    }
}

/// State shared by the connections.
struct Shared {
    to: SocketAddr,
    report: RefCell<Progress>,
    ledger: RefCell<Ledger>,
    bar: ProgressBar,
}

/// Runs `foldtrack send`.
pub(super) fn send(send: &Send) -> CommandResult {
    let to = match send.to {
        Some(to) => to,
        None => load(&send.site)?.listen,
    };
    let input = send.file.as_os_str() == "-";
    let (checksum, lines) = if input { (0, 0) } else { measure(&send.file)? };
    let default_ledger = PathBuf::from(format!("{}.sent", send.file.display()));
    let path = send.ledger.clone().or_else(|| (!input).then_some(default_ledger));
    let ledger = Ledger::open(path.as_deref(), checksum)?;
    let accepted_before = ledger.taken.len();
    if accepted_before > 0 {
        eprintln!("{accepted_before} lines were already accepted and are not submitted again");
    }
    let bar = if input { ProgressBar::new_spinner() } else { ProgressBar::new(lines) };
    if let Ok(style) =
        ProgressStyle::with_template("{elapsed_precise} {wide_bar} {pos}/{len} {per_sec} {msg}")
    {
        bar.set_style(style);
    }
    let shared = Rc::new(Shared { to, report: RefCell::default(), ledger: RefCell::new(ledger), bar });
    let runtime = crate::runtime().map_err(|e| CommandError(EXIT_FAILED, e))?;
    LocalSet::new().block_on(&runtime, async {
        submit_all(send, &shared).await?;
        if !send.no_wait {
            wait_for_outcomes(&shared).await;
        }
        Ok::<(), CommandError>(())
    })?;
    shared.bar.finish_and_clear();
    let report = shared.report.take();
    print_result(&report, send.no_wait)
}

/// Checksum and number of lines of a file.
fn measure(path: &Path) -> Result<(u32, u64), CommandError> {
    let mut file = File::open(path).map_err(|e| file_error(path, e))?;
    let (mut checksum, mut lines, mut bytes) = (crc32fast::Hasher::new(), 0, vec![0; 64 * 1024]);
    loop {
        let count = file.read(&mut bytes).map_err(|e| file_error(path, e))?;
        if count == 0 {
            return Ok((checksum.finalize(), lines));
        }
        checksum.update(&bytes[..count]);
        lines += bytes[..count].iter().filter(|b| **b == b'\n').count() as u64;
    }
}

/// Reads all lines and distributes them over the connections, by key where there is one.
async fn submit_all(send: &Send, shared: &Rc<Shared>) -> CommandResult {
    let mut workers = Vec::new();
    let mut queues = Vec::new();
    for _ in 0..send.connections {
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        queues.push(queue);
        workers.push(tokio::task::spawn_local(submit(shared.clone(), messages)));
    }
    // Reading uses its own thread, because standard input blocks.
    let (file, (to_reader, mut read)) =
        (send.file.clone(), mpsc::channel::<Result<(usize, Vec<u8>), String>>(QUEUE_CAPACITY));
    std::thread::spawn(move || read_lines(&file, &to_reader));
    while let Some(line) = read.recv().await {
        let (number, text) = match line {
            Ok(line) => line,
            Err(problem) => {
                shared.report.borrow_mut().aborted = Some(problem);
                break;
            }
        };
        if shared.report.borrow().aborted.is_some() {
            break;
        }
        let batch = shared.ledger.borrow().batch.clone();
        let message = match parse_line(send, &batch, number, &text) {
            Ok(message) => message,
            Err(problem) => {
                shared.bar.inc(1);
                shared.report.borrow_mut().problem(number, &problem);
                continue;
            }
        };
        if shared.ledger.borrow().taken.contains(&number) {
            shared.bar.inc(1);
            shared.report.borrow_mut().open.push((message.id, class_of(&message.path)));
            continue;
        }
        let key = message.path.rsplit_once('/').map_or("", |(_, key)| key);
        let hash = if key.is_empty() { number as u64 } else { order_key(key) };
        let queue = &queues[(hash % queues.len() as u64) as usize];
        if queue.send(message).await.is_err() {
            break;
        }
    }
    drop(queues);
    for worker in workers {
        let _ = worker.await;
    }
    Ok(())
}

/// Reads lines with their numbers, until the end of the input or an error.
fn read_lines(path: &Path, lines: &mpsc::Sender<Result<(usize, Vec<u8>), String>>) {
    let opened: std::io::Result<Box<dyn Read>> = if path.as_os_str() == "-" {
        Ok(Box::new(std::io::stdin()))
    } else {
        File::open(path).map(|f| Box::new(f) as Box<dyn Read>)
    };
    let mut reader = match opened {
        Ok(file) => BufReader::new(file),
        Err(e) => return drop(lines.blocking_send(Err(format!("{}: {e}", path.display())))),
    };
    for number in 1.. {
        let mut line = Vec::new();
        let read = (&mut reader).take(MAX_LINE_BYTES).read_until(b'\n', &mut line);
        let item = match read {
            Ok(0) => return,
            Ok(count) if count as u64 == MAX_LINE_BYTES && !line.ends_with(b"\n") => Err(format!(
                "line {number} is longer than {MAX_LINE_BYTES} bytes: it and the lines after it are not submitted"
            )),
            Ok(_) => Ok((number, line)),
            Err(e) => Err(format!("{}: {e}", path.display())),
        };
        let last = item.is_err();
        if lines.blocking_send(item).is_err() || last {
            return;
        }
    }
}

/// Parses a line.
fn parse_line(send: &Send, batch: &str, number: usize, text: &[u8]) -> Result<OutgoingMessage, String> {
    let text = std::str::from_utf8(text).map_err(|_| "not valid UTF-8".to_string())?.trim();
    if text.is_empty() {
        return Err("empty line".into());
    }
    let line: InputLine = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let class = line.class.or_else(|| send.class.clone()).ok_or("has no class, and --class is not given")?;
    let partner =
        line.partner.or_else(|| send.partner.clone()).ok_or("has no partner, and --partner is not given")?;
    let id = line.id.unwrap_or_else(|| format!("{batch}-{number}"));
    let body = match line.body {
        Value::Null => Bytes::new(),
        Value::String(text) => Bytes::from(text),
        value => Bytes::from(value.to_string()),
    };
    if !line.key.chars().all(|c| c.is_ascii_alphanumeric() || "-_.~:".contains(c)) {
        return Err(format!("key {:?}: only letters, digits and - _ . ~ : are allowed", line.key));
    }
    Ok(OutgoingMessage {
        number,
        path: format!("/{class}/{}", line.key),
        partner,
        idempotency_key: line.idempotency_key.unwrap_or_else(|| id.clone()),
        id,
        body,
    })
}

/// The class in a request path.
fn class_of(path: &str) -> String {
    path.split('/').nth(1).unwrap_or("").to_string()
}

/// Submits messages one at a time on one connection.
async fn submit(shared: Rc<Shared>, mut messages: mpsc::Receiver<OutgoingMessage>) {
    let mut connection = None;
    while let Some(message) = messages.recv().await {
        let mut last_response = Instant::now();
        loop {
            let request = Request::post(&message.path)
                .header(HOST, shared.to.to_string())
                .header("X-Request-Id", &message.id)
                .header("X-Partner", &message.partner)
                .header("Idempotency-Key", &message.idempotency_key)
                .body(Full::new(message.body.clone()));
            let request = match request {
                Ok(request) => request,
                Err(e) => {
                    shared.report.borrow_mut().problem(message.number, &e.to_string());
                    break;
                }
            };
            let Some((status, wait, _)) = exchange(&mut connection, shared.to, request).await else {
                // Unknown whether it was accepted: it is submitted again under the same id.
                if last_response.elapsed() > UNREACHABLE_TIMEOUT {
                    let to = shared.to;
                    let problem = format!("no response from {to}; run the command again to resume");
                    shared.report.borrow_mut().aborted = Some(problem);
                    return;
                }
                shared.bar.set_message("waiting for the forwarder");
                sleep(RETRY_DELAY).await;
                continue;
            };
            match status {
                StatusCode::ACCEPTED | StatusCode::OK => {
                    let recorded = shared.ledger.borrow_mut().write(&LedgerEntry::Taken(message.number));
                    if let Err(e) = recorded {
                        shared.report.borrow_mut().aborted = Some(format!("cannot write the ledger: {e}"));
                    }
                    shared.report.borrow_mut().open.push((message.id, class_of(&message.path)));
                }
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    shared.bar.set_message("the forwarder requested a wait");
                    last_response = Instant::now();
                    sleep(wait.max(RETRY_DELAY)).await;
                    continue;
                }
                // It has an outcome already, which is reported with the others.
                StatusCode::CONFLICT => {
                    shared.report.borrow_mut().open.push((message.id, class_of(&message.path)));
                }
                StatusCode::NOT_FOUND => {
                    let text = format!(
                        "unknown class {:?} or unknown partner {:?}",
                        class_of(&message.path),
                        message.partner
                    );
                    shared.report.borrow_mut().problem(message.number, &text);
                }
                StatusCode::PAYLOAD_TOO_LARGE => {
                    shared.report.borrow_mut().problem(message.number, "the body is larger than 64 KiB");
                }
                status => {
                    shared.report.borrow_mut().problem(message.number, &format!("response status {status}"))
                }
            }
            shared.bar.set_message("");
            break;
        }
        shared.bar.inc(1);
    }
}

/// Sends one request; keeps the connection if the response was read completely. `None` if there was
/// no response.
async fn exchange(
    connection: &mut Option<Connection>, to: SocketAddr, request: Request<Full<Bytes>>,
) -> Option<(StatusCode, Duration, Bytes)> {
    let mut open = match connection.take() {
        Some(open) => open,
        None => timeout(REQUEST_TIMEOUT, Connection::open(to, None, None)).await.ok()?.ok()?,
    };
    let response = timeout(REQUEST_TIMEOUT, open.send(request)).await.ok()?.ok()?;
    let (status, headers) = (response.status(), response.headers().clone());
    let body = timeout(REQUEST_TIMEOUT, open.finish(response.into_body(), MAX_RESPONSE_BYTES)).await;
    let seconds = headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
    let wait = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok()).unwrap_or_default();
    // The status counts even if the connection closed before the whole body was read.
    if let Ok(Some(body)) = body {
        *connection = Some(open);
        return Some((status, wait, body.into()));
    }
    Some((status, wait, Bytes::new()))
}

/// Polls each message until its outcome is known.
async fn wait_for_outcomes(shared: &Rc<Shared>) {
    let mut open = std::mem::take(&mut shared.report.borrow_mut().open);
    let (mut connection, mut answered) = (None, Instant::now());
    shared.bar.set_length(open.len() as u64);
    shared.bar.set_position(0);
    while !open.is_empty() {
        let mut pending = Vec::new();
        for (id, class) in open {
            let request = Request::get(format!("/v1/messages/{id}")).header(HOST, shared.to.to_string());
            let answer = match request.body(Full::default()) {
                Ok(request) => exchange(&mut connection, shared.to, request).await,
                Err(_) => Some((StatusCode::BAD_REQUEST, Duration::ZERO, Bytes::new())),
            };
            let Some((_, _, body)) = answer else {
                pending.push((id, class));
                continue;
            };
            answered = Instant::now();
            let status: Value = serde_json::from_slice(&body).unwrap_or_default();
            match status["state"].as_str() {
                Some("held") => pending.push((id, class)),
                state => {
                    let state = state.unwrap_or("unknown").to_string();
                    *shared.report.borrow_mut().ended.entry((state, class)).or_default() += 1;
                    shared.bar.inc(1);
                }
            }
        }
        open = pending;
        if answered.elapsed() > UNREACHABLE_TIMEOUT {
            let to = shared.to;
            shared.report.borrow_mut().aborted =
                Some(format!("no response from {to}; {} outcomes are unknown", open.len()));
            break;
        }
        sleep(RETRY_DELAY).await;
    }
    shared.report.borrow_mut().open = open;
}

/// Prints the result; an error unless every message was delivered.
fn print_result(report: &Progress, no_wait: bool) -> CommandResult {
    let mut rows: Vec<Vec<String>> = report
        .ended
        .iter()
        .map(|((state, class), count)| vec![class.clone(), state.clone(), count.to_string()])
        .collect();
    if !report.open.is_empty() {
        let what = if no_wait { "accepted" } else { "not ended yet" };
        rows.push(vec!["-".into(), what.into(), report.open.len().to_string()]);
    }
    if report.rejected > 0 {
        rows.push(vec!["-".into(), "not submitted".into(), report.rejected.to_string()]);
    }
    print(&show::table(&["class", "ended as", "messages"], &rows, "nothing was submitted"))?;
    let mut problems = report.problems.clone();
    problems.extend(report.aborted.clone());
    let delivered = report.ended.keys().all(|(state, _)| state == "delivered");
    if problems.is_empty() && delivered && (no_wait || report.open.is_empty()) {
        return Ok(());
    }
    Err(CommandError(EXIT_FAILED, problems.join("\n")))
}
