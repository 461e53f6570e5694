//! Hands in messages from a file of JSON lines, resumes where an interruption left off, and tells how they ended.
//!
//! A ledger beside the file names the batch and the lines that were taken on. A line's id is made of the batch and its
//! number: a line that was taken on just before the interruption has the same id again, and the forwarder knows it.

use super::{load, say, show, Ended, Failure, FAILED, WRONG};
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

/// Lines longer than this are not messages: a body has 64 KiB at most.
const LONGEST_LINE: u64 = 256 * 1024;
/// How long a forwarder may be away, restarting say, before the sending ends; it can be resumed.
const AWAY: Duration = Duration::from_secs(60);
const TRY_AGAIN: Duration = Duration::from_millis(200);
/// An answer comes within this span, or the connection is given up.
const ANSWER: Duration = Duration::from_secs(10);
const LONGEST_ANSWER: usize = 1 << 20;
/// Lines that wait for a connection.
const AHEAD: usize = 16;
/// Findings that are shown one by one.
const SHOWN: usize = 20;

#[derive(Args)]
pub(super) struct Send {
    /// JSON lines: {"class":"fee","partner":"pay","key":"K","body":"text"}; `-` for standard input
    #[arg(default_value = "-")]
    file: PathBuf,
    /// Class of lines that name none
    #[arg(long)]
    class: Option<String>,
    /// Partner of lines that name none
    #[arg(long)]
    partner: Option<String>,
    /// Where the forwarder listens, instead of where the site file says
    #[arg(long)]
    to: Option<SocketAddr>,
    /// The site file of the forwarder
    #[arg(long, default_value = "site.toml", env = "FOLDTRACK_SITE")]
    site: PathBuf,
    /// Where the lines that were taken on are noted; FILE.sent if not given, nowhere for standard input
    #[arg(long)]
    ledger: Option<PathBuf>,
    /// Connections at once; messages of one key share one, in their order
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(1..=256))]
    connections: u16,
    /// Does not wait for the ends
    #[arg(long)]
    no_wait: bool,
}

/// A line of the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    id: Option<String>,
    class: Option<String>,
    partner: Option<String>,
    #[serde(default)]
    key: String,
    idempotency_key: Option<String>,
    #[serde(default)]
    body: Value,
}

/// A message to hand in.
#[derive(Clone)]
struct Letter {
    number: usize,
    id: String,
    path: String,
    partner: String,
    idempotency_key: String,
    body: Bytes,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Entry {
    /// The first of a ledger.
    Batch { name: String, file: u32 },
    /// A line that was taken on.
    Taken(usize),
}

struct Ledger {
    file: Option<File>,
    batch: String,
    taken: BTreeSet<usize>,
}

fn failed(what: &Path, e: impl std::fmt::Display) -> Failure {
    Failure(FAILED, format!("{}: {e}", what.display()))
}

impl Ledger {
    /// Opens the ledger of a file, or begins one; a file with another check sum is another batch.
    fn open(path: Option<&Path>, sum: u32) -> Result<Ledger, Failure> {
        let fresh = format!("{:016x}", RandomState::new().hash_one(std::process::id()));
        let Some(path) = path else { return Ok(Ledger { file: None, batch: fresh, taken: BTreeSet::new() }) };
        let mut ledger = Ledger { file: None, batch: String::new(), taken: BTreeSet::new() };
        let (mut whole, mut length) = (0, 0);
        match std::fs::read(path) {
            Ok(bytes) => {
                length = bytes.len();
                // The last line may be torn: it was not finished, and its message is handed in under the same id.
                for line in bytes.split_inclusive(|b| *b == b'\n').filter(|l| l.ends_with(b"\n")) {
                    whole += line.len();
                    match serde_json::from_slice(line) {
                        Ok(Entry::Batch { file, .. }) if file != sum => {
                            let problem =
                                "is the ledger of another content of the file. Remove it to send all of it";
                            return Err(Failure(WRONG, format!("{} {problem}", path.display())));
                        }
                        Ok(Entry::Batch { name, .. }) => ledger.batch = name,
                        Ok(Entry::Taken(number)) => drop(ledger.taken.insert(number)),
                        Err(e) => return Err(failed(path, format!("no ledger: {e}"))),
                    }
                }
            }
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
            Err(e) => return Err(failed(path, e)),
        }
        let file = OpenOptions::new().append(true).create(true).open(path).map_err(|e| failed(path, e))?;
        if whole < length {
            file.set_len(whole as u64).map_err(|e| failed(path, e))?;
        }
        ledger.file = Some(file);
        if ledger.batch.is_empty() {
            ledger.write(&Entry::Batch { name: fresh.clone(), file: sum }).map_err(|e| failed(path, e))?;
            ledger.batch = fresh;
        }
        Ok(ledger)
    }

    fn write(&mut self, entry: &Entry) -> std::io::Result<()> {
        let Some(file) = &mut self.file else { return Ok(()) };
        let line = serde_json::to_string(entry).map_err(std::io::Error::other)?;
        file.write_all(format!("{line}\n").as_bytes())
    }
}

/// What has come of the sending so far.
#[derive(Default)]
struct Report {
    /// By outcome, by class.
    ended: BTreeMap<(String, String), u64>,
    problems: Vec<String>,
    rejected: u64,
    open: Vec<(String, String)>,
    /// The sending has ended early.
    cut: Option<String>,
}

impl Report {
    fn problem(&mut self, number: usize, problem: &str) {
        self.rejected += 1;
        if self.problems.len() < SHOWN {
            self.problems.push(format!("line {number}: {}", show::plain(problem)));
        }
    }
}

struct Shared {
    to: SocketAddr,
    report: RefCell<Report>,
    ledger: RefCell<Ledger>,
    bar: ProgressBar,
}

pub(super) fn send(send: &Send) -> Ended {
    let to = match send.to {
        Some(to) => to,
        None => load(&send.site)?.listen,
    };
    let input = send.file.as_os_str() == "-";
    let (sum, lines) = if input { (0, 0) } else { measure(&send.file)? };
    let beside = PathBuf::from(format!("{}.sent", send.file.display()));
    let path = send.ledger.clone().or_else(|| (!input).then_some(beside));
    let ledger = Ledger::open(path.as_deref(), sum)?;
    let already = ledger.taken.len();
    if already > 0 {
        eprintln!("{already} lines were taken on before and are not handed in again");
    }
    let bar = if input { ProgressBar::new_spinner() } else { ProgressBar::new(lines) };
    if let Ok(style) =
        ProgressStyle::with_template("{elapsed_precise} {wide_bar} {pos}/{len} {per_sec} {msg}")
    {
        bar.set_style(style);
    }
    let shared = Rc::new(Shared { to, report: RefCell::default(), ledger: RefCell::new(ledger), bar });
    let runtime = crate::runtime().map_err(|e| Failure(FAILED, e))?;
    LocalSet::new().block_on(&runtime, async {
        hand_in_all(send, &shared).await?;
        if !send.no_wait {
            wait_for_ends(&shared).await;
        }
        Ok::<(), Failure>(())
    })?;
    shared.bar.finish_and_clear();
    let report = shared.report.take();
    tell(&report, send.no_wait)
}

/// Check sum and lines of a file.
fn measure(path: &Path) -> Result<(u32, u64), Failure> {
    let mut file = File::open(path).map_err(|e| failed(path, e))?;
    let (mut sum, mut lines, mut bytes) = (crc32fast::Hasher::new(), 0, vec![0; 64 * 1024]);
    loop {
        let count = file.read(&mut bytes).map_err(|e| failed(path, e))?;
        if count == 0 {
            return Ok((sum.finalize(), lines));
        }
        sum.update(&bytes[..count]);
        lines += bytes[..count].iter().filter(|b| **b == b'\n').count() as u64;
    }
}

async fn hand_in_all(send: &Send, shared: &Rc<Shared>) -> Ended {
    let mut workers = Vec::new();
    let mut queues = Vec::new();
    for _ in 0..send.connections {
        let (queue, letters) = mpsc::channel(AHEAD);
        queues.push(queue);
        workers.push(tokio::task::spawn_local(hand_in(shared.clone(), letters)));
    }
    // A thread of its own: standard input blocks.
    let (file, (to_reader, mut read)) =
        (send.file.clone(), mpsc::channel::<Result<(usize, Vec<u8>), String>>(AHEAD));
    std::thread::spawn(move || read_lines(&file, &to_reader));
    while let Some(line) = read.recv().await {
        let (number, text) = match line {
            Ok(line) => line,
            Err(problem) => {
                shared.report.borrow_mut().cut = Some(problem);
                break;
            }
        };
        if shared.report.borrow().cut.is_some() {
            break;
        }
        let batch = shared.ledger.borrow().batch.clone();
        let letter = match letter(send, &batch, number, &text) {
            Ok(letter) => letter,
            Err(problem) => {
                shared.bar.inc(1);
                shared.report.borrow_mut().problem(number, &problem);
                continue;
            }
        };
        if shared.ledger.borrow().taken.contains(&number) {
            shared.bar.inc(1);
            shared.report.borrow_mut().open.push((letter.id, class_of(&letter.path)));
            continue;
        }
        let key = letter.path.rsplit_once('/').map_or("", |(_, key)| key);
        let turn = if key.is_empty() { number as u64 } else { order_key(key) };
        let queue = &queues[(turn % queues.len() as u64) as usize];
        if queue.send(letter).await.is_err() {
            break;
        }
    }
    drop(queues);
    for worker in workers {
        let _ = worker.await;
    }
    Ok(())
}

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
        let read = (&mut reader).take(LONGEST_LINE).read_until(b'\n', &mut line);
        let told = match read {
            Ok(0) => return,
            Ok(count) if count as u64 == LONGEST_LINE && !line.ends_with(b"\n") => Err(format!(
                "line {number} is longer than {LONGEST_LINE} bytes: nothing behind it is handed in"
            )),
            Ok(_) => Ok((number, line)),
            Err(e) => Err(format!("{}: {e}", path.display())),
        };
        let last = told.is_err();
        if lines.blocking_send(told).is_err() || last {
            return;
        }
    }
}

fn letter(send: &Send, batch: &str, number: usize, text: &[u8]) -> Result<Letter, String> {
    let text = std::str::from_utf8(text).map_err(|_| "not UTF-8".to_string())?.trim();
    if text.is_empty() {
        return Err("empty".into());
    }
    let line: Line = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let class = line.class.or_else(|| send.class.clone()).ok_or("names no class, and no --class is given")?;
    let partner =
        line.partner.or_else(|| send.partner.clone()).ok_or("names no partner, and no --partner is given")?;
    let id = line.id.unwrap_or_else(|| format!("{batch}-{number}"));
    let body = match line.body {
        Value::Null => Bytes::new(),
        Value::String(text) => Bytes::from(text),
        value => Bytes::from(value.to_string()),
    };
    if !line.key.chars().all(|c| c.is_ascii_alphanumeric() || "-_.~:".contains(c)) {
        return Err(format!("key {:?}: a key has letters, digits and - _ . ~ :", line.key));
    }
    Ok(Letter {
        number,
        path: format!("/{class}/{}", line.key),
        partner,
        idempotency_key: line.idempotency_key.unwrap_or_else(|| id.clone()),
        id,
        body,
    })
}

fn class_of(path: &str) -> String {
    path.split('/').nth(1).unwrap_or("").to_string()
}

/// A worker: one connection, one message at a time.
async fn hand_in(shared: Rc<Shared>, mut letters: mpsc::Receiver<Letter>) {
    let mut connection = None;
    while let Some(letter) = letters.recv().await {
        let mut since = Instant::now();
        loop {
            let request = Request::post(&letter.path)
                .header(HOST, shared.to.to_string())
                .header("X-Request-Id", &letter.id)
                .header("X-Partner", &letter.partner)
                .header("Idempotency-Key", &letter.idempotency_key)
                .body(Full::new(letter.body.clone()));
            let request = match request {
                Ok(request) => request,
                Err(e) => {
                    shared.report.borrow_mut().problem(letter.number, &e.to_string());
                    break;
                }
            };
            let Some((status, wait, _)) = exchange(&mut connection, shared.to, request).await else {
                // Whether it was taken on is not known: it goes again under the same id.
                if since.elapsed() > AWAY {
                    let to = shared.to;
                    let problem = format!("nobody answers at {to}; run the command again to resume");
                    shared.report.borrow_mut().cut = Some(problem);
                    return;
                }
                shared.bar.set_message("waiting for the forwarder");
                sleep(TRY_AGAIN).await;
                continue;
            };
            match status {
                StatusCode::ACCEPTED | StatusCode::OK => {
                    let noted = shared.ledger.borrow_mut().write(&Entry::Taken(letter.number));
                    if let Err(e) = noted {
                        shared.report.borrow_mut().cut = Some(format!("the ledger: {e}"));
                    }
                    shared.report.borrow_mut().open.push((letter.id, class_of(&letter.path)));
                }
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    shared.bar.set_message("told to wait");
                    since = Instant::now();
                    sleep(wait.max(TRY_AGAIN)).await;
                    continue;
                }
                // Its end is known already: it is told with the others.
                StatusCode::CONFLICT => {
                    shared.report.borrow_mut().open.push((letter.id, class_of(&letter.path)));
                }
                StatusCode::NOT_FOUND => {
                    let text =
                        format!("no class {:?}, or no partner {:?}", class_of(&letter.path), letter.partner);
                    shared.report.borrow_mut().problem(letter.number, &text);
                }
                StatusCode::PAYLOAD_TOO_LARGE => {
                    shared.report.borrow_mut().problem(letter.number, "the body is longer than 64 KiB");
                }
                status => shared.report.borrow_mut().problem(letter.number, &format!("answered {status}")),
            }
            shared.bar.set_message("");
            break;
        }
        shared.bar.inc(1);
    }
}

/// One request; the connection is kept if it may be.
async fn exchange(
    connection: &mut Option<Connection>, to: SocketAddr, request: Request<Full<Bytes>>,
) -> Option<(StatusCode, Duration, Bytes)> {
    let mut open = match connection.take() {
        Some(open) => open,
        None => timeout(ANSWER, Connection::open(to, None, None)).await.ok()?.ok()?,
    };
    let response = timeout(ANSWER, open.send(request)).await.ok()?.ok()?;
    let (status, headers) = (response.status(), response.headers().clone());
    let body = timeout(ANSWER, open.finish(response.into_body(), LONGEST_ANSWER)).await;
    let seconds = headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
    let wait = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok()).unwrap_or_default();
    // What is read is what was answered, also when the connection closes behind it.
    if let Ok(Some(body)) = body {
        *connection = Some(open);
        return Some((status, wait, body));
    }
    Some((status, wait, Bytes::new()))
}

/// Asks for each message until it has ended.
async fn wait_for_ends(shared: &Rc<Shared>) {
    let mut open = std::mem::take(&mut shared.report.borrow_mut().open);
    let (mut connection, mut answered) = (None, Instant::now());
    shared.bar.set_length(open.len() as u64);
    shared.bar.set_position(0);
    while !open.is_empty() {
        let mut still = Vec::new();
        for (id, class) in open {
            let request = Request::get(format!("/v1/messages/{id}")).header(HOST, shared.to.to_string());
            let answer = match request.body(Full::default()) {
                Ok(request) => exchange(&mut connection, shared.to, request).await,
                Err(_) => Some((StatusCode::BAD_REQUEST, Duration::ZERO, Bytes::new())),
            };
            let Some((_, _, body)) = answer else {
                still.push((id, class));
                continue;
            };
            answered = Instant::now();
            let told: Value = serde_json::from_slice(&body).unwrap_or_default();
            match told["state"].as_str() {
                Some("held") => still.push((id, class)),
                state => {
                    let state = state.unwrap_or("unknown").to_string();
                    *shared.report.borrow_mut().ended.entry((state, class)).or_default() += 1;
                    shared.bar.inc(1);
                }
            }
        }
        open = still;
        if answered.elapsed() > AWAY {
            let to = shared.to;
            shared.report.borrow_mut().cut =
                Some(format!("nobody answers at {to}; {} ends are not known", open.len()));
            break;
        }
        sleep(TRY_AGAIN).await;
    }
    shared.report.borrow_mut().open = open;
}

fn tell(report: &Report, no_wait: bool) -> Ended {
    let mut rows: Vec<Vec<String>> = report
        .ended
        .iter()
        .map(|((state, class), count)| vec![class.clone(), state.clone(), count.to_string()])
        .collect();
    if !report.open.is_empty() {
        let what = if no_wait { "taken on" } else { "not ended yet" };
        rows.push(vec!["-".into(), what.into(), report.open.len().to_string()]);
    }
    if report.rejected > 0 {
        rows.push(vec!["-".into(), "not handed in".into(), report.rejected.to_string()]);
    }
    say(&show::table(&["class", "ended as", "messages"], &rows, "nothing was handed in"))?;
    let mut problems = report.problems.clone();
    problems.extend(report.cut.clone());
    let delivered = report.ended.keys().all(|(state, _)| state == "delivered");
    if problems.is_empty() && delivered && (no_wait || report.open.is_empty()) {
        return Ok(());
    }
    Err(Failure(FAILED, problems.join("\n")))
}
