//! Tests of the turns in which connections read.

use super::*;
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use tokio::task::{spawn_local, LocalSet};

const READ_BYTES: usize = 1024;

/// Reads without end from a socket that always has more bytes, and counts them.
async fn read_without_end(count: Rc<Cell<usize>>) {
    let mut turn = ReadTurn::new();
    let mut bytes = [0; READ_BYTES];
    loop {
        let read = poll_fn(|cx| {
            let mut buf = ReadBuf::new(&mut bytes);
            turn.poll_read(cx, &mut buf, |_, buf| {
                buf.set_filled(READ_BYTES);
                Poll::Ready(Ok(()))
            })
        });
        read.await.unwrap();
        count.set(count.get() + READ_BYTES);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn endless_readers_leave_the_thread_to_others_after_a_few_bursts_and_share_it_evenly() {
    let scope = async {
        let counts: Vec<_> = (0..50).map(|_| Rc::new(Cell::new(0))).collect();
        let tasks: Vec<_> = counts.iter().map(|count| spawn_local(read_without_end(count.clone()))).collect();
        let total = || counts.iter().map(|count| count.get()).sum::<usize>();
        yield_now().await;
        yield_now().await;
        for _ in 0..500 {
            let before = total();
            yield_now().await;
            let read = total() - before;
            assert!(read <= 2 * BURSTS_PER_ROUND * BURST_BYTES, "{read} bytes in a turn");
        }
        let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        assert!(least.get() > BURST_BYTES && most.get() - least.get() <= BURST_BYTES, "{least:?} {most:?}");
        tasks.iter().for_each(|task| task.abort());
        yield_now().await;
        assert!(QUEUE.with(|queue| queue.borrow().waiting.is_empty()), "aborted readers left the queue");
    };
    LocalSet::new().run_until(scope).await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_connection_whose_socket_was_empty_does_not_wait() {
    let mut turn = ReadTurn::new();
    let mut bytes = [0; READ_BYTES];
    let mut read = |result: fn(&mut ReadBuf<'_>) -> Poll<io::Result<()>>| {
        let mut buf = ReadBuf::new(&mut bytes);
        let mut cx = Context::from_waker(Waker::noop());
        turn.poll_read(&mut cx, &mut buf, |_, buf| result(buf))
    };
    for _ in 0..100 {
        for _ in 0..BURST_BYTES / READ_BYTES {
            let done = read(|buf| {
                buf.set_filled(READ_BYTES);
                Poll::Ready(Ok(()))
            });
            assert!(done.is_ready());
        }
        // The burst is used up, and the socket is found empty in the connection's next turn.
        assert!(read(|_| Poll::Pending).is_pending());
        yield_now().await;
        yield_now().await;
        assert!(read(|_| Poll::Pending).is_pending());
    }
}
