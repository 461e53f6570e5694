//! One client that sends small or unsound requests at full speed: others are answered, and nothing is forgotten.

use super::crowd::*;
use super::*;
use std::io::{BufRead, BufReader};
use std::sync::atomic::AtomicUsize;

/// How long a client waits for the answer to a submission (BRIEF).
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// How long the flood lasts, and the pause between two submissions meanwhile.
const DISTURBANCE: Duration = Duration::from_secs(4);
const SUBMISSION_PAUSE: Duration = Duration::from_millis(40);
/// Refused ids after which a message comes again: more than are remembered. How long that may take.
const REFUSED_IDS: usize = 60_000;
const FLOOD_PATIENCE: Duration = Duration::from_secs(40);
/// The smallest memory limit of a deployment, in megabytes.
const MEMORY_MB: u64 = 32;

/// A client that writes what `request` makes of ever new numbers, reads the answers, and connects again when it is closed.
struct Flood {
    stop: Arc<AtomicBool>,
    /// Answers that were read.
    answered: Arc<AtomicUsize>,
    client: Option<std::thread::JoinHandle<usize>>,
}

/// Requests of one write.
const BLOCK: usize = 100;

/// Counts the answers on a connection until its end.
fn count_answers(stream: TcpStream, answered: &AtomicUsize) {
    for line in BufReader::new(stream).split(b'\n') {
        let Ok(line) = line else { return };
        answered.fetch_add(usize::from(line.starts_with(b"HTTP/1.1")), Ordering::SeqCst);
    }
}

impl Flood {
    fn start(forwarder: &Forwarder, request: impl Fn(usize) -> String + Send + 'static) -> Flood {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let (stopped, counted, listen) = (stop.clone(), answered.clone(), forwarder.listen);
        let client = std::thread::spawn(move || {
            let mut sent = 0;
            while !stopped.load(Ordering::SeqCst) {
                let Ok(mut stream) = TcpStream::connect(listen) else { continue };
                let (answers, counted) = (stream.try_clone().unwrap(), counted.clone());
                let reader = std::thread::spawn(move || count_answers(answers, &counted));
                loop {
                    let block: String = (sent..sent + BLOCK).map(&request).collect();
                    sent += BLOCK;
                    if stopped.load(Ordering::SeqCst) || stream.write_all(block.as_bytes()).is_err() {
                        break;
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
                let _ = reader.join();
            }
            sent
        });
        Flood { stop, answered, client: Some(client) }
    }

    /// Ends the flood, and returns how many requests were written.
    fn end(mut self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.client.take().unwrap().join().unwrap()
    }
}

/// A request on a connection that stays open.
fn keep_alive(submission: &Submission) -> String {
    String::from_utf8(submission.bytes()).unwrap().replace("Connection: close\r\n", "")
}

fn assert_others_are_served(request: impl Fn(usize) -> String + Send + 'static) {
    let _alone = one_crowd_at_a_time();
    let target = Server::start(|_| OK);
    let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let mut forwarder = Forwarder::start_with(&platform, |config| {
        config["limits"]["memory_mb"] = MEMORY_MB.into();
    });
    limit_memory(forwarder.pid(), MEMORY_MB * 1_000_000);
    let flood = Flood::start(&forwarder, request);
    let end = Instant::now() + DISTURBANCE;
    let (mut submitted, mut late, mut worst) = (0, 0, Duration::ZERO);
    while Instant::now() < end {
        let begun = Instant::now();
        let status = forwarder.submit(&update(&format!("sound-{submitted}"), &format!("k{submitted}")));
        worst = worst.max(begun.elapsed());
        late += usize::from(status != 202 || begun.elapsed() > CLIENT_PATIENCE);
        submitted += 1;
        sleep(SUBMISSION_PAUSE);
    }
    let sent = flood.end();
    assert!(forwarder.is_running(), "the process has ended by itself");
    let (peak, files) = (peak_memory(forwarder.pid()), forwarder.on_disk());
    println!("{sent} requests, peak {peak}, files {files}; {late} of {submitted} late, the slowest after {worst:?}");
    assert!(peak + files <= MEMORY_MB * 1_000_000, "{peak} bytes and {files} in files");
    assert_eq!(late, 0, "of {submitted} sound messages, the slowest after {worst:?}");
}

// Guards against issue 71, picture (b), with requests of classes that nobody knows.
#[test]
fn unsound_requests_under_ever_new_names_hold_up_no_other_client() {
    assert_others_are_served(|n| {
        format!("POST /class-{n}/key-{n} HTTP/1.1\r\nHost: f\r\nContent-Length: 0\r\n\r\n")
    });
}

// Guards against issue 71, picture (b), with messages for destinations that nobody knows.
#[test]
fn messages_for_ever_new_destinations_hold_up_no_other_client() {
    assert_others_are_served(|n| keep_alive(&fee(&format!("flood-{n}")).for_destination(n as u32 + 10)));
}

// Guards against issue 71, picture (b), with small messages under ever new ids and keys.
#[test]
fn small_messages_under_ever_new_ids_and_keys_hold_up_no_other_client() {
    assert_others_are_served(|n| keep_alive(&update(&format!("flood-{n}"), &format!("flood-{n}"))));
}

// Guards against issue 71: refused ids took the room of remembered ones, so that a delivered message was sent again.
#[test]
fn a_delivered_message_is_not_sent_again_after_a_flood_of_refused_ids() {
    let _alone = one_crowd_at_a_time();
    let target = Server::start(|_| OK);
    let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start_with(&platform, |config| {
        config["limits"]["memory_mb"] = MEMORY_MB.into();
    });
    assert_eq!(forwarder.submit(&fee("paid")), 202);
    eventually("the call", || target.ids() == ["paid"]);
    // No call fits into a deadline of a millisecond.
    let flood = Flood::start(&forwarder, |n| keep_alive(&fee(&format!("flood-{n}")).deadline_ms(1)));
    let deadline = Instant::now() + FLOOD_PATIENCE;
    while flood.answered.load(Ordering::SeqCst) < REFUSED_IDS {
        assert!(Instant::now() < deadline, "{:?} answers", flood.answered);
        sleep(SUBMISSION_PAUSE);
    }
    let sent = flood.end();
    let repeated = forwarder.submit(&fee("paid"));
    sleep(MS(500));
    let calls = target.ids().iter().filter(|id| *id == "paid").count();
    println!("{sent} requests; the repeated message was answered {repeated}, {calls} calls");
    assert_eq!((repeated, calls), (202, 1));
}
