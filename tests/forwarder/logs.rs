//! What the log tells of a message.

use super::*;
use std::collections::BTreeSet;

/// The lines of the log that name a message.
fn lines_about(forwarder: &Forwarder, id: &str) -> Vec<String> {
    let name = format!("request_id=\"{id}\"");
    forwarder.log().lines().filter(|line| line.contains(&name)).map(String::from).collect()
}

#[test]
fn the_log_tells_of_each_call_retry_and_end_by_request_id() {
    let (target, _platform, forwarder) = one_target(|_| OK);
    assert_eq!(forwarder.submit(&update("m1", "k")), 202);
    eventually("the first call", || lines_about(&forwarder, "m1").len() == 1);
    let first = lines_about(&forwarder, "m1").remove(0);
    for part in ["outcome=Ok", "status=200", "target=\"s-1\"", "earlier_calls=0", "connect_us="] {
        assert!(first.contains(part), "{part}: {first}");
    }
    target.behave(|_| Reply::Status(503, ""));
    assert_eq!(forwarder.submit(&fee("m2").deadline_ms(600)), 202);
    eventually("the end", || lines_about(&forwarder, "m2").iter().any(|l| l.contains("ended undelivered")));
    let lines = lines_about(&forwarder, "m2").join("\n");
    for part in ["status=503", "retry", "after=Some(Rejected)", "notice="] {
        assert!(lines.contains(part), "{part}: {lines}");
    }
}

#[test]
fn the_log_tells_why_a_connection_was_closed() {
    let (target, _platform, forwarder) = one_target(|_| OK);
    target.behave(|_| Reply::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nsurplus"));
    assert_eq!(forwarder.submit(&update("m1", "k")), 202);
    eventually("the reason", || forwarder.log().contains("reason=UnexpectedBytes"));
}

#[test]
fn a_log_that_nobody_reads_delays_no_message() {
    let (target, _platform, mut forwarder) = one_target(|_| OK);
    forwarder.restart_with_unread_log();
    // More lines than a pipe holds.
    for n in 0..1_000 {
        assert_eq!(forwarder.submit(&update(&format!("m{n}"), &format!("k{n}"))), 202);
    }
    eventually("all are delivered", || {
        let ids: BTreeSet<String> = target.ids().into_iter().collect();
        ids.len() == 1_000
    });
}
