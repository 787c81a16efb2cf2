use usher_types::{Span, Time};

// A thread that runs calls at least every `READ_TIMEOUT`; the rest is for a busy machine.
const MIN_GAP: Span = Span::from_millis(600);

// More datagrams than the receive buffer of a socket holds.
const MAX_DATAGRAMS: u32 = 4_096;

/// Tells how long a datagram may have waited in a socket.
///
/// A thread that runs reads its socket often. After a gap between two calls the thread did not run, and
/// what it reads until the socket is empty may have waited for the whole gap. All times are readings of
/// [`since_boot`](crate::since_boot), so that a suspension of the machine is a gap too.
#[derive(Debug, Clone, Copy)]
pub struct SocketBacklog {
    called_at: Time,
    /// Beginning of the gap, and the number of datagrams read since, until the socket is empty.
    gap: Option<(Time, u32)>,
}

impl SocketBacklog {
    /// Longest time that a call may wait for a datagram.
    pub const READ_TIMEOUT: Span = Span::from_millis(250);

    /// Starts with an empty socket.
    ///
    /// ```
    /// use usher_clock::{SocketBacklog, since_boot};
    /// assert!(!SocketBacklog::new(since_boot()).may_wait());
    /// ```
    pub fn new(now: Time) -> Self {
        Self {
            called_at: now,
            gap: None,
        }
    }

    /// Records that the thread is about to read.
    ///
    /// ```
    /// use usher_clock::SocketBacklog;
    /// use usher_types::{Span, Time};
    /// let mut backlog = SocketBacklog::new(Time::ZERO);
    /// backlog.before_read(Time::ZERO + Span::from_secs(4));
    /// assert!(backlog.may_wait());
    /// ```
    pub fn before_read(&mut self, now: Time) {
        let paused = now - self.called_at > MIN_GAP;
        self.gap = match self.gap {
            Some((start, read)) if read < MAX_DATAGRAMS => Some((start, read + 1)),
            _ => paused.then_some((self.called_at, 0)),
        };
        self.called_at = now;
    }

    /// Records that the socket was empty during the call.
    ///
    /// ```
    /// use usher_clock::SocketBacklog;
    /// use usher_types::{Span, Time};
    /// let mut backlog = SocketBacklog::new(Time::ZERO);
    /// backlog.before_read(Time::ZERO + Span::from_secs(4));
    /// backlog.on_empty();
    /// assert!(!backlog.may_wait());
    /// ```
    pub fn on_empty(&mut self) {
        self.gap = None;
    }

    /// Whether the socket may still hold datagrams from a gap, so that the next call must not wait.
    pub fn may_wait(&self) -> bool {
        self.gap.is_some()
    }

    /// The longest time that the datagram read last may have waited in the socket and since.
    ///
    /// ```
    /// use usher_clock::SocketBacklog;
    /// use usher_types::{Span, Time};
    /// let mut backlog = SocketBacklog::new(Time::ZERO);
    /// let now = Time::ZERO + Span::from_secs(4);
    /// backlog.before_read(now);
    /// assert_eq!(backlog.longest_wait(now), Span::from_secs(4));
    /// ```
    pub fn longest_wait(&self, now: Time) -> Span {
        let since = self.gap.map_or(self.called_at, |(start, _)| start);
        now - since
    }
}
