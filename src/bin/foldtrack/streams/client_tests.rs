//! Tests of the scan of request heads.

use super::*;

/// Number of heads that count as valid; the same however the bytes are split.
fn valid_heads(text: &str) -> usize {
    let count = |step: usize| {
        let valid = Arc::new(AtomicUsize::new(0));
        let mut scan = HeadScan::new(valid.clone());
        text.as_bytes().chunks(step).for_each(|bytes| scan.read(bytes));
        valid.load(Ordering::Relaxed)
    };
    let counts = [1, 2, 7, text.len()].map(count);
    assert!(counts.iter().all(|n| *n == counts[0]), "{counts:?}");
    counts[0]
}

#[test]
fn heads_after_bodies_are_found_and_double_framing_is_invalid() {
    assert_eq!(valid_heads("\r\nGET / HTTP/1.1\r\nHost: f\r\n\r\n"), 1);
    let post = "POST /fee HTTP/1.1\r\ncontent-LENGTH: 4\r\n\r\n\n\n\r\n";
    assert_eq!(valid_heads(&post.repeat(3)), 3);
    let conflicting = [
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
    ];
    for framing in conflicting.into_iter().chain(["Content-Length: 4\r\nContent-Length: 4"]) {
        let request = format!("POST /fee HTTP/1.1\r\nX: y\r\n{framing}\r\n\r\n0\r\n\r\n{post}");
        assert_eq!(valid_heads(&request), 0, "{framing}");
        assert_eq!(valid_heads(&format!("{post}{request}")), 1, "{framing}");
    }
    // A chunked request is valid, but no head after it can be located.
    assert_eq!(
        valid_heads(&format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{post}")),
        1
    );
}
