//! Tests of the first bytes of a response.

use super::*;

const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What is kept of these bytes, received in parts of this size.
fn receive(bytes: &[u8], step: usize) -> ResponseHead {
    let mut head = ResponseHead::default();
    for part in bytes.chunks(step) {
        head.count_socket_bytes(part.len());
        head.receive(part);
    }
    head
}

#[test]
fn a_response_is_recognized_behind_more_interim_responses_than_are_kept() {
    let mut bytes = INTERIM.repeat(1_000);
    bytes.extend_from_slice(b"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nCut-Of");
    for step in [7, 25, 4_096, bytes.len()] {
        let (status, headers) = receive(&bytes, step).status_and_headers().unwrap();
        assert_eq!((status, headers["retry-after"].as_bytes(), headers.len()), (503, &b"2"[..], 1), "{step}");
    }
}

#[test]
fn interim_responses_start_no_response_and_count_up_to_a_limit() {
    let few = receive(&INTERIM.repeat(3)[..70], 9);
    assert!(!few.has_started() && few.status().is_none() && !few.exceeds_limit());
    let allowed = MAX_BYTES_BEFORE_RESPONSE / INTERIM.len();
    assert!(!receive(&INTERIM.repeat(allowed), 8_192).exceeds_limit());
    assert!(receive(&INTERIM.repeat(allowed + 1), 8_192).exceeds_limit());
}

#[test]
fn the_length_of_a_response_itself_is_not_limited_here() {
    let mut bytes = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
    bytes.resize(4 * MAX_BYTES_BEFORE_RESPONSE, b'x');
    let head = receive(&bytes, 8_192);
    assert!(!head.exceeds_limit() && head.kept.len() == MAX_KEPT_BYTES && head.status() == Some(200));
}
