//! The memory of the process against the configured limit, whatever its clients, targets and discovery send.

use super::crowd::*;
use super::*;

/// How long a client waits for the answer to a submission (BRIEF).
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// How long a crowd stays, and the pause between two submissions meanwhile.
const DISTURBANCE: Duration = Duration::from_secs(4);
const SUBMISSION_PAUSE: Duration = Duration::from_millis(40);
/// Clients of a crowd: more than the 1,024 descriptors of a deployment leave room for.
const CROWD_SIZE: usize = 900;
/// Descriptors of the smallest deployment (DEPLOY).
const DESCRIPTORS: u32 = 1024;
/// Maximum size of a body (PROTOCOL).
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Between two pieces of a client that writes slowly.
const SLOW: Duration = Duration::from_millis(5);

/// The head of a request without the lines that tell the length of its body.
fn head_with(framing: &str) -> Vec<u8> {
    format!(
        "POST /fee HTTP/1.1\r\nHost: f\r\nX-Request-Id: crowd\r\nX-Deadline: 9m\r\nIdempotency-Key: c\r\n\
         X-Consignee: dest=1\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

fn head_with_length() -> Vec<u8> {
    head_with(&format!("Content-Length: {MAX_BODY_BYTES}"))
}

/// A forwarder with this configured limit, under which its memory is limited too.
fn limited_forwarder(platform: &Platform, memory_mb: u64) -> Forwarder {
    let mut forwarder = Forwarder::start_with(platform, |config| {
        config["limits"]["sockets"] = DESCRIPTORS.into();
        config["limits"]["memory_mb"] = memory_mb.into();
    });
    forwarder.restart_with_descriptor_limit(DESCRIPTORS);
    limit_memory(forwarder.pid(), memory_mb * 1_000_000);
    forwarder
}

/// Submits small messages while a crowd stays. Each is accepted in time, and the process stays under its limit.
fn assert_bounded(behavior: &Behavior, memory_mb: u64) {
    let _alone = one_crowd_at_a_time();
    let target = Server::start(|_| OK);
    let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let mut forwarder = limited_forwarder(&platform, memory_mb);
    let crowd = Crowd::start(forwarder.listen, CROWD_SIZE, behavior);
    let end = Instant::now() + DISTURBANCE;
    let (mut submitted, mut late, mut worst) = (0, 0, Duration::ZERO);
    while Instant::now() < end {
        let begun = Instant::now();
        let status = forwarder.submit(&update(&format!("sound-{submitted}"), &format!("k{submitted}")));
        let took = begun.elapsed();
        worst = worst.max(took);
        submitted += 1;
        late += usize::from(status != 202 || took > CLIENT_PATIENCE);
        sleep(SUBMISSION_PAUSE);
    }
    drop(crowd);
    assert!(forwarder.is_running(), "the process has ended by itself");
    let (peak, files) = (peak_memory(forwarder.pid()), forwarder.on_disk());
    println!(
        "{memory_mb} MB: peak {peak}, files {files}; {late} of {submitted} late, the slowest after {worst:?}"
    );
    assert!(peak + files <= memory_mb * 1_000_000, "{peak} bytes and {files} in files at {memory_mb} MB");
    assert_eq!(late, 0, "of {submitted} sound messages, the slowest after {worst:?}");
}

/// One test for each behavior and limit.
macro_rules! crowds {
    ($($name:ident: $behavior:expr, $memory_mb:literal;)*) => {
        // Guards against issue 71: unfinished requests of a crowd took several times the memory limit.
        $(#[test]
        fn $name() {
            assert_bounded(&$behavior, $memory_mb);
        })*
    };
}

fn bodies_byte_by_byte() -> Behavior {
    Behavior { head: head_with_length(), piece: b"x", pause: SLOW, pieces: usize::MAX }
}

fn chunks_byte_by_byte() -> Behavior {
    Behavior {
        head: head_with("Transfer-Encoding: chunked"),
        piece: b"1\r\nx\r\n",
        pause: SLOW,
        pieces: usize::MAX,
    }
}

fn fast_chunks_then_silence() -> Behavior {
    let pieces = MAX_BODY_BYTES - 1_000;
    Behavior { pause: Duration::ZERO, pieces, ..chunks_byte_by_byte() }
}

fn most_of_a_body_then_silence() -> Behavior {
    Behavior::silent_after([head_with_length(), vec![b'x'; 60_000]].concat())
}

fn head_of_short_fields() -> Behavior {
    let fields = (0..3_500).map(|_| "a:\r\n").collect::<String>();
    Behavior::silent_after(format!("POST /fee HTTP/1.1\r\nHost: f\r\n{fields}").into_bytes())
}

pub mod crowds {
    use super::*;

    /// What the clients of a crowd do.
    pub const BEHAVIORS: [fn() -> Behavior; 5] = [
        bodies_byte_by_byte,
        chunks_byte_by_byte,
        fast_chunks_then_silence,
        most_of_a_body_then_silence,
        head_of_short_fields,
    ];

    crowds! {
        bodies_sent_byte_by_byte_stay_under_192_mb: bodies_byte_by_byte(), 192;
        bodies_sent_byte_by_byte_stay_under_64_mb: bodies_byte_by_byte(), 64;
        bodies_sent_byte_by_byte_stay_under_32_mb: bodies_byte_by_byte(), 32;
        chunks_of_a_byte_stay_under_192_mb: chunks_byte_by_byte(), 192;
        chunks_of_a_byte_stay_under_48_mb: chunks_byte_by_byte(), 48;
        fast_chunks_of_a_byte_stay_under_32_mb: fast_chunks_then_silence(), 32;
        bodies_that_stop_before_their_end_stay_under_192_mb: most_of_a_body_then_silence(), 192;
        bodies_that_stop_before_their_end_stay_under_32_mb: most_of_a_body_then_silence(), 32;
        heads_of_short_fields_stay_under_32_mb: head_of_short_fields(), 32;
    }
}

mod peers_in_pieces {
    use super::*;

    /// Entries of a list that discovery writes a byte at a time.
    const LISTED: u32 = 600;
    /// Calls at once to targets whose responses come a byte at a time.
    const CALLS: usize = 64;

    // Guards against issue 71 on the side of discovery: each piece of a list kept a read buffer.
    #[test]
    fn a_list_written_byte_by_byte_stays_under_32_mb() {
        let _alone = one_crowd_at_a_time();
        let target = Server::start(|_| OK);
        let first = vec![list_entry("s-1", target.address, 1, "active")];
        let platform = Platform::start(first);
        let forwarder = limited_forwarder(&platform, 32);
        let servers: Vec<_> =
            (1..=LISTED).map(|n| list_entry(&format!("s-{n}"), target.address, n, "active")).collect();
        let list = serde_json::json!({"version": 7, "full": true, "servers": servers}).to_string();
        platform.server.behave(move |request| match request.path.contains("since=7") {
            _ if request.method == "POST" => Reply::Status(204, ""),
            true => Reply::Later(MS(500), 503),
            false => Reply::InPieces(list.clone().into_bytes(), 1),
        });
        eventually("the list is in force", || {
            forwarder.submit(&fee("listed").for_destination(LISTED)) == 202
        });
        assert!(peak_memory(forwarder.pid()) <= 32_000_000, "{}", peak_memory(forwarder.pid()));
    }

    // Guards against issue 71 on the side of targets: each piece of a response kept a read buffer.
    #[test]
    fn responses_written_byte_by_byte_stay_under_32_mb() {
        let _alone = one_crowd_at_a_time();
        let target = Server::start(|_| Reply::InPieces(vec![b'x'; MAX_BODY_BYTES], 1));
        let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
        let mut forwarder = Forwarder::start_with(&platform, |config| {
            config["limits"]["memory_mb"] = 32.into();
            config["settings"]["family_info"]["slots"] = CALLS.into();
        });
        limit_memory(forwarder.pid(), 32_000_000);
        for n in 0..CALLS {
            assert_eq!(forwarder.submit(&update(&format!("m{n}"), &format!("k{n}"))), 202);
        }
        eventually("all are delivered", || target.ids().len() >= CALLS);
        sleep(MS(500));
        assert!(forwarder.is_running(), "the process has ended by itself");
        assert!(peak_memory(forwarder.pid()) <= 32_000_000, "{}", peak_memory(forwarder.pid()));
    }
}

mod lists_that_grow {
    use super::*;
    use std::sync::atomic::AtomicU32;

    /// Length of a value in a list, close to the longest list at 32 MB.
    const LARGE_BYTES: usize = 1_200_000;
    /// Destinations of a list of which all are new.
    const NEW_DESTINATIONS: u32 = 3_000;
    /// For how long discovery sends such lists.
    const GROWTH: Duration = Duration::from_secs(4);

    /// Sends `changes` as the change of each version, and checks the memory and that the first target is still called.
    fn assert_bounded(changes: impl Fn(u32, &Server) -> Vec<serde_json::Value> + Send + Sync + 'static) {
        let _alone = one_crowd_at_a_time();
        let target = Server::start(|_| OK);
        let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
        let mut forwarder = limited_forwarder(&platform, 32);
        let (versions, shown) = (AtomicU32::new(10), target.clone());
        platform.server.behave(move |request| {
            if request.method == "POST" {
                return Reply::Status(204, "");
            }
            let version = versions.fetch_add(1, Ordering::SeqCst);
            let list =
                serde_json::json!({"version": version, "full": false, "servers": changes(version, &shown)});
            Reply::Body(list.to_string().into())
        });
        sleep(GROWTH);
        assert!(forwarder.is_running(), "the process has ended by itself");
        let peak = peak_memory(forwarder.pid());
        println!("peak {peak}");
        assert!(peak <= 32_000_000, "{peak}");
        assert_eq!(forwarder.submit(&fee("after")), 202);
        eventually("the call", || target.ids() == ["after"]);
    }

    // Guards against a field of an entry that takes many times its length when it is parsed.
    #[test]
    fn a_large_value_in_an_entry_stays_under_32_mb() {
        assert_bounded(|version, target| {
            let mut entry = list_entry(&format!("s-{version}"), target.address, 2, "active");
            entry["started_ms"] = vec![0; LARGE_BYTES / 2].into();
            vec![entry]
        });
    }

    // Guards against ids of any length that are kept with their targets.
    #[test]
    fn ever_new_long_ids_stay_under_32_mb() {
        assert_bounded(|version, target| {
            let id = format!("{version}{}", "x".repeat(LARGE_BYTES));
            vec![list_entry(&id, target.address, 2, "active")]
        });
    }

    // Guards against destinations that are remembered after their targets have left, however many there are.
    #[test]
    fn ever_new_destinations_stay_under_32_mb() {
        assert_bounded(|version, target| {
            let first = version * NEW_DESTINATIONS;
            let new = (first..first + NEW_DESTINATIONS)
                .map(|cell| list_entry(&format!("s-{cell}"), target.address, cell, "active"));
            let old = (first - NEW_DESTINATIONS..first)
                .map(|cell| list_entry(&format!("s-{cell}"), target.address, cell, "left"));
            old.chain(new).collect()
        });
    }
}

mod held {
    use super::*;

    /// A disk that is larger than the memory, in megabytes.
    const DISK_MB: u64 = 200;
    /// Bodies of this many bytes that are handed in, more than the limit has room for.
    const BODY_BYTES: usize = 60_000;
    const MESSAGES: usize = 1_000;

    // Guards against issue 71: under a platform only the disk limited the messages that are held.
    #[test]
    fn held_messages_stay_under_32_mb_on_a_large_disk_and_over_a_restart() {
        let _alone = one_crowd_at_a_time();
        let target = Server::start(|_| Reply::Silence);
        let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
        let mut forwarder = Forwarder::start_with(&platform, |config| {
            config["limits"]["memory_mb"] = 32.into();
            config["limits"]["disk_mb"] = DISK_MB.into();
            config["settings"]["limits"]["max_open"] = (2 * MESSAGES).into();
        });
        limit_memory(forwarder.pid(), 32_000_000);
        let submit = |n: usize| {
            let message = update(&format!("m{n}"), &format!("k{n}")).body(vec![b'x'; BODY_BYTES]);
            forwarder.submit(&message)
        };
        let answers: Vec<u16> = (0..MESSAGES).map(submit).collect();
        let accepted = answers.iter().filter(|status| **status == 202).count();
        assert!(forwarder.is_running(), "the process has ended by itself after {accepted} messages");
        assert!(answers.iter().all(|status| [202, 503].contains(status)));
        assert!(accepted * BODY_BYTES > 1_000_000, "{accepted} accepted");
        let before = peak_memory(forwarder.pid());
        forwarder.kill();
        forwarder.restart();
        let after = peak_memory(forwarder.pid());
        println!("{accepted} accepted, peak {before} before and {after} after the restart");
        assert!(before <= 32_000_000 && after <= 32_000_000, "{before}, {after}");
    }
}

mod account {
    use super::*;

    /// Messages that are held, and the bytes of each.
    const BACKLOG: usize = 200;
    const BODY_BYTES: usize = 4_000;
    /// What may come and go between two lines of the log at 32 MB: all request bodies, and all client connections with
    /// their buffers in the process.
    const UNSEEN_BYTES: u64 = 1_400_000 + 64 * 28 * 1024;

    /// A field of a line of the memory log.
    fn field(line: &str, name: &str) -> u64 {
        let text = line.split(&format!("{name}=")).nth(1).unwrap();
        text.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap()
    }

    // Guards against a use of memory that no count knows of.
    #[test]
    fn the_account_covers_what_the_process_has_beside_a_backlog_and_a_crowd() {
        let _alone = one_crowd_at_a_time();
        let target = Server::start(|_| Reply::Silence);
        let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
        let forwarder = limited_forwarder(&platform, 32);
        sleep(MS(1_500));
        let held = (0..BACKLOG).filter(|n| {
            let message = update(&format!("m{n}"), &format!("k{n}")).body(vec![b'x'; BODY_BYTES]);
            forwarder.submit(&message) == 202
        });
        assert_eq!(held.count(), BACKLOG);
        let crowd = Crowd::start(forwarder.listen, CROWD_SIZE, &most_of_a_body_then_silence());
        sleep(DISTURBANCE);
        drop(crowd);
        let log = forwarder.log();
        let lines: Vec<&str> = log.lines().filter(|line| line.contains(" memory resident=")).collect();
        assert!(lines.len() > 1, "{lines:?}");
        let (first, mut accounted) = (field(lines[0], "resident"), 0);
        for line in &lines {
            accounted = accounted.max(field(line, "accounted"));
            let grown = field(line, "resident").saturating_sub(first);
            assert!(
                grown <= accounted + UNSEEN_BYTES,
                "{grown} bytes more, {accounted} accounted for: {line}"
            );
        }
        println!("{}", lines.last().unwrap());
    }
}
