//! Control clients that send without end.

use super::site_process::*;
use foldtrack_standin::http::{Server, OK};
use std::io::{ErrorKind, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

// Guards against control clients whose input completes no request, which the limit on requests did not count.
#[test]
fn empty_lines_without_an_end_are_read_at_the_rate_of_requests() {
    const READ_BYTES: usize = 16 * 1024;
    const BURST: usize = 20;
    const REQUESTS_PER_SECOND: usize = 20;
    const SOCKET_BUFFERS: usize = 1 << 20;
    const SECONDS: usize = 2;
    let server = Server::start(|_| OK);
    let site = SiteProcess::start(&SiteConfig::with_endpoints(&[("p", "a", server.address)]));
    let mut client = UnixStream::connect(site.socket()).unwrap();
    client.set_nonblocking(true).unwrap();
    let (begun, block) = (Instant::now(), vec![b'\n'; READ_BYTES]);
    let mut written = 0;
    while begun.elapsed() < Duration::from_secs(SECONDS as u64) {
        match client.write(&block) {
            Ok(count) => written += count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(Duration::from_millis(1)),
            Err(e) => panic!("{e}"),
        }
    }
    let most = (BURST + REQUESTS_PER_SECOND * (SECONDS + 1)) * READ_BYTES + SOCKET_BUFFERS;
    assert!(written <= most, "{written} of {most} bytes were read");
}
