//! Tests of the sockets of targets.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// What a target may send before a response, and the buffer that it is read into.
const LIMIT_BYTES: usize = 128 * 1024;
const BUFFER_BYTES: usize = 16 * 1024;

/// Reads from a target that sends without end. Returns how many bytes could be read before the error.
async fn read_until_error(tap: &Arc<ResponseTap>) -> (usize, io::ErrorKind) {
    let (mut socket, mut buffer, mut total) = (tap.socket(), vec![0; BUFFER_BYTES], 0);
    loop {
        match socket.read(&mut buffer).await {
            Ok(count) => total += count,
            Err(error) => return (total, error.kind()),
        }
    }
}

// Guards against TLS records without data, which no limit of HTTP counts, during a call and on an idle connection.
#[tokio::test(flavor = "current_thread")]
async fn encrypted_bytes_without_a_response_end_the_connection_at_a_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        while stream.write_all(&[0; 4096]).await.is_ok() {}
    });
    let tap = ResponseTap::new(TcpStream::connect(address).await.unwrap(), true);
    for _ in 0..2 {
        tap.forget_response();
        let (total, error) = read_until_error(&tap).await;
        assert_eq!(error, io::ErrorKind::InvalidData);
        assert!(total > LIMIT_BYTES && total <= LIMIT_BYTES + BUFFER_BYTES, "{total}");
        assert!(tap.exceeds_limit());
    }
    target.abort();
}

// Guards against a copy of each body that its idle connection kept.
#[tokio::test(flavor = "current_thread")]
async fn buffers_that_are_written_together_arrive_together() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let tap = ResponseTap::new(TcpStream::connect(listener.local_addr().unwrap()).await.unwrap(), false);
    let (mut target, _) = listener.accept().await.unwrap();
    let mut stream = TappedStream::new(tap.socket(), tap.clone());
    assert!(stream.is_write_vectored());
    let parts = [IoSlice::new(b"head"), IoSlice::new(b""), IoSlice::new(b"body")];
    assert_eq!(stream.write_vectored(&parts).await.unwrap(), 8);
    let mut received = [0; 16];
    assert_eq!(target.read(&mut received).await.unwrap(), 8);
    assert_eq!(&received[..8], b"headbody");
}
