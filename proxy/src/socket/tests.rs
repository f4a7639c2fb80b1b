use super::*;
use crate::invariants::{AttemptTarget, RequestPolicy, RequestRecord};
use crate::metrics::Metrics;
use balancer::Idempotency;
use hyper::header::HeaderValue;
use std::io::Write as _;
use tokio::task::{spawn_local, LocalSet};

fn pair() -> (Socket, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let near = std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let (far, _) = listener.accept().expect("accepted");
    near.set_nonblocking(true).expect("nonblocking");
    (Socket::new(TcpStream::from_std(near).expect("a stream")), far)
}

/// Bytes behind an answer may come once its connection is idle, and no task has been polled since: they must
/// be seen all the same, else they are taken for the next answer.
#[tokio::test]
async fn what_has_come_shows_without_being_polled_for() {
    let (socket, mut far) = pair();
    assert!(socket.has_no_unread_input());
    far.write_all(b"x").expect("written");
    assert!(!socket.has_no_unread_input());
    socket.close();
    assert!(!socket.has_no_unread_input());
    assert!(std::io::Read::read(&mut far, &mut [0]).is_ok_and(|n| n == 0) || far.write_all(b"y").is_err());
}

/// A second answer or the end may come after the connection was chosen and before the request is written: the bytes
/// would be taken for its answer, and whether it ran would not be known.
#[tokio::test]
async fn nothing_is_written_behind_what_has_come_since_the_connection_was_chosen() {
    for second in [Some(b"HTTP/1.1 200 OK\r\n\r\n"), None] {
        let ((mut socket, mut far), write_guard) = (pair(), WriteGuard::default());
        socket.set_write_guard(&write_guard);
        socket.forbid_write_on_unread_input();
        assert!(socket.has_no_unread_input(), "chosen");
        match second {
            Some(bytes) => far.write_all(bytes).expect("written"),
            None => far.shutdown(std::net::Shutdown::Write).expect("ended"),
        }
        let write = poll_fn(|context| Pin::new(&mut socket).poll_write(context, b"GET"));
        assert!(write.await.is_err());
        assert_eq!(write_guard.bytes_written(), 0);
    }
}

/// Of an attempt that is looked at while it is written, only the first byte is held back by what has come.
#[tokio::test]
async fn what_comes_while_a_request_is_written_does_not_stop_it() {
    let ((mut socket, mut far), write_guard) = (pair(), WriteGuard::default());
    socket.set_write_guard(&write_guard);
    socket.forbid_write_on_unread_input();
    for part in ["POST", "body"] {
        let write = poll_fn(|context| Pin::new(&mut socket).poll_write(context, part.as_bytes()));
        assert_eq!(write.await.expect("written"), 4);
        far.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").expect("written");
    }
    assert_eq!(write_guard.bytes_written(), 8);
}

fn write_guard(client: &Socket, begin_before: Option<Instant>) -> WriteGuard {
    let (id, idempotency) = (HeaderValue::from_static("1"), Idempotency::Idempotent);
    let policy = RequestPolicy { idempotency, attempts: 1, copies: false, drain_grace: Duration::MAX };
    let request = RequestRecord::new(Metrics::default(), id, policy, None);
    WriteGuard::new(
        &Metrics::default(),
        client.client_presence(),
        begin_before,
        request.attempt(AttemptTarget::default()),
    )
}

/// The look at the time is the writing's own too; what has begun in time is written to its end.
#[tokio::test]
async fn an_attempt_begins_in_its_time_or_not_at_all() {
    let (client, _far) = pair();
    for (before, written) in [(0, 0), (2, 4)] {
        let ((mut socket, _far), write_guard) = (pair(), write_guard(&client, Some(Instant::now())));
        write_guard.record_written(before);
        socket.set_write_guard(&write_guard);
        let write = poll_fn(|context| Pin::new(&mut socket).poll_write(context, b"ST"));
        assert_eq!((write.await.is_ok(), write_guard.bytes_written()), (before > 0, written));
    }
}

/// A part that was written on a connection that broke is no part of what is written on the next.
#[tokio::test]
async fn an_attempt_is_not_whole_by_what_another_connection_took() {
    let ((mut first, _far), (mut second, _other), write_guard) = (pair(), pair(), WriteGuard::default());
    first.set_write_guard(&write_guard);
    let write = poll_fn(|context| Pin::new(&mut first).poll_write(context, b"GET"));
    assert_eq!(write.await.expect("written"), 3);
    write_guard.set_request_ended();
    write_guard.reset_written();
    second.set_write_guard(&write_guard);
    poll_fn(|context| Pin::new(&mut second).poll_flush(context)).await.expect("flushed");
    assert!(!write_guard.is_fully_written());
}

fn client() -> (Socket, std::net::TcpStream) {
    let (socket, far) = pair();
    let stream = socket.0.io.borrow_mut().take().and_then(Rc::into_inner);
    (Socket::for_client(stream.expect("unshared")), far)
}

/// A client leaves by a close or a reset.
fn leave(far: std::net::TcpStream, reset: bool) {
    if reset {
        SockRef::from(&far).set_linger(Some(Duration::ZERO)).expect("lingers not");
    }
}

/// The end stands behind bytes that hyper does not read while a request is open. They wake nobody; the end does.
#[tokio::test]
async fn a_clients_end_is_told_of_behind_what_nobody_reads() {
    let test = async {
        for (reset, behind) in [(false, 0), (false, 9), (true, 0), (true, 9)] {
            let ((socket, mut far), looks) = (client(), Rc::new(Cell::new(0)));
            let (asked, seen) = (socket.clone(), looks.clone());
            let left = spawn_local(poll_fn(move |context| {
                seen.set(seen.get() + 1);
                asked.poll_disconnected(context)
            }));
            yield_now().await;
            for _ in 0..behind {
                far.write_all(b"x").expect("written");
                // The system is asked before this goes on.
                yield_now().await;
            }
            assert!(
                (looks.get(), socket.is_known_disconnected(), socket.has_no_unread_input())
                    == (1, false, behind == 0)
            );
            leave(far, reset);
            left.await.expect("told");
            assert!(looks.get() == 2 && socket.is_known_disconnected());
        }
    };
    let tasks = LocalSet::new();
    timeout(Duration::from_secs(10), tasks.run_until(test)).await.expect("it is told of");
}

/// However long ago its client was looked at, the last look is the writing's own. An attempt that has begun goes on.
#[tokio::test]
async fn no_attempt_is_begun_for_a_client_that_has_left() {
    for reset in [false, true] {
        for begun in [false, true] {
            let ((client, far), (mut endpoint, _far)) = (client(), pair());
            let write_guard = write_guard(&client, None);
            endpoint.set_write_guard(&write_guard);
            if begun {
                let write = poll_fn(|context| Pin::new(&mut endpoint).poll_write(context, b"POST"));
                assert_eq!(write.await.expect("written"), 4);
            }
            leave(far, reset);
            // No task has had a turn since, and the event queue was not asked.
            assert!(!client.is_known_disconnected() && client.has_disconnected());
            let write = poll_fn(|context| Pin::new(&mut endpoint).poll_write(context, b"body"));
            assert_eq!(write.await.is_ok(), begun, "reset: {reset}");
            assert_eq!(write_guard.bytes_written(), if begun { 8 } else { 0 });
        }
    }
}
