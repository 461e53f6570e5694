//! Clients that leave: what was not accepted before a client left is not sent, and may come again.

use super::*;

/// Requests that a client writes at once before it leaves.
const PIPELINED: usize = 40;
/// How long after a client has left a call would show that its message was accepted after all.
const SETTLED: Duration = Duration::from_millis(1_500);

/// Requests without `Connection: close`, as a client pipelines them.
fn pipelined(submissions: &[Submission]) -> Vec<u8> {
    let requests = submissions.iter().map(|submission| {
        String::from_utf8(submission.bytes()).unwrap().replace("Connection: close\r\n", "")
    });
    requests.collect::<String>().into_bytes()
}

fn payments(name: &str) -> Vec<Submission> {
    (0..PIPELINED).map(|n| fee(&format!("{name}-{n}"))).collect()
}

/// Writes the bytes while the forwarder is stopped, and leaves before it goes on.
fn write_and_leave(forwarder: &Forwarder, bytes: &[u8], leave: impl FnOnce(TcpStream)) {
    let mut client = forwarder.connect();
    assert!(client.get("/healthz").is_some());
    forwarder.signal("STOP");
    let mut stream = client.into_stream();
    stream.write_all(bytes).unwrap();
    leave(stream);
    forwarder.signal("CONT");
}

/// Leaves with a reset instead of a FIN.
fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

// Guards against issue 71: requests of a client that had closed or reset its connection were sent on afterwards.
#[test]
fn unanswered_requests_of_a_client_that_left_before_they_were_read_are_not_sent() {
    let (target, _platform, forwarder) = one_target(|_| OK);
    write_and_leave(&forwarder, &pipelined(&payments("closed")), drop);
    write_and_leave(&forwarder, &pipelined(&payments("reset")), reset);
    sleep(SETTLED);
    assert_eq!(target.ids(), Vec::<String>::new());
}

// Guards against issue 71: a client that left with answers unread had its later requests sent on.
#[test]
fn unanswered_requests_of_a_client_that_left_with_much_unread_are_not_sent() {
    let (target, _platform, forwarder) = one_target(|_| OK);
    let mut arrived = 0;
    for play in 0..5 {
        let mut stream = TcpStream::connect(forwarder.listen).unwrap();
        stream.write_all(&pipelined(&payments(&format!("unread{play}")))).unwrap();
        // Stops in the midst of the requests, so that it is known which answers have arrived.
        sleep(Duration::from_micros(500 * play));
        forwarder.signal("STOP");
        sleep(MS(20));
        let mut answers = vec![0; 64 * 1024];
        stream.set_nonblocking(true).unwrap();
        let received = stream.peek(&mut answers).unwrap_or(0);
        arrived += String::from_utf8_lossy(&answers[..received]).matches("HTTP/1.1 202").count();
        drop(stream);
        forwarder.signal("CONT");
    }
    sleep(SETTLED);
    let called = target.ids().len();
    println!("{arrived} answers had arrived, {called} messages were sent");
    assert!(called <= arrived, "{called} sent, {arrived} answers had arrived");
}

// Guards against issue 71: an id that came again after its client had left ran twice, or never.
#[test]
fn an_id_that_comes_again_after_its_client_left_is_sent_once() {
    let (target, platform, forwarder) = one_target(|_| OK);
    write_and_leave(&forwarder, &pipelined(&payments("again")), drop);
    for payment in payments("again") {
        assert_eq!(forwarder.submit(&payment), 202, "{}", payment.id);
    }
    eventually("all are delivered", || target.ids().len() >= PIPELINED);
    sleep(SETTLED);
    let mut ids = target.ids();
    ids.sort();
    let mut expected: Vec<String> = payments("again").into_iter().map(|payment| payment.id).collect();
    expected.sort();
    assert_eq!(ids, expected);
    assert!(platform.notices().is_empty());
}
