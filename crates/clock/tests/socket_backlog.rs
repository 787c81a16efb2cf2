//! How long datagrams may have waited in a socket.

use usher_clock::SocketBacklog;
use usher_types::{Span, Time};

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

/// Guards against datagrams that count as fresh although they waited while the process did not run.
#[test]
fn datagrams_of_a_gap_are_old_until_the_socket_is_empty() {
    let mut backlog = SocketBacklog::new(at(0));
    backlog.before_read(at(300));
    // The call of 300 ms returns the first datagram at 4,300 ms.
    assert_eq!(backlog.longest_wait(at(4_300)), Span::from_secs(4));
    for millis in [4_301, 4_310, 4_500] {
        backlog.before_read(at(millis));
        let waited = Span::from_millis(millis - 300);
        assert_eq!(backlog.longest_wait(at(millis)), waited);
        assert!(backlog.may_wait());
    }
    backlog.on_empty();
    assert!(!backlog.may_wait());
    backlog.before_read(at(4_501));
    assert_eq!(backlog.longest_wait(at(4_601)), Span::from_millis(100));
}

/// Guards against a call that finds the socket empty and returns only after a pause, in which datagrams
/// have arrived.
#[test]
fn a_pause_within_a_call_counts() {
    let mut backlog = SocketBacklog::new(at(0));
    backlog.before_read(at(0));
    backlog.on_empty();
    backlog.before_read(at(4_000));
    assert!(backlog.may_wait());
    assert_eq!(backlog.longest_wait(at(4_000)), Span::from_secs(4));
}

/// Guards against an idle or busy thread that counts as one that did not run, and against a full
/// socket that keeps fresh datagrams from being used for ever.
#[test]
fn a_thread_that_runs_has_no_gap() {
    let mut backlog = SocketBacklog::new(at(0));
    for read in 1..100 {
        // Twice the time-out, for a call that returns late.
        backlog.before_read(Time::ZERO + SocketBacklog::READ_TIMEOUT * 2 * read);
        assert!(!backlog.may_wait());
    }
    backlog.before_read(at(60_000));
    assert!(backlog.may_wait());
    for _datagram in 0..10_000 {
        backlog.before_read(at(60_001));
    }
    assert!(!backlog.may_wait());
}
