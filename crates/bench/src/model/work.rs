use usher_types::{Priority, Span};

/// One kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Method name.
    pub method: &'static str,
    /// Mean running time on a host of speed 1.
    pub time: Span,
    /// Share of all requests.
    pub share: f64,
    /// The method is declared as long in the profile.
    pub long: bool,
    /// The request may not be repeated.
    pub once: bool,
    /// Precedence under overload.
    pub priority: Priority,
    /// How long the caller waits.
    pub deadline: Span,
}

impl Work {
    /// Reads, short.
    pub(crate) const fn read(method: &'static str, millis: u64, share: f64) -> Self {
        Self {
            method,
            time: Span::from_millis(millis),
            share,
            long: false,
            once: false,
            priority: Priority::new(100),
            deadline: Span::from_millis(1_000),
        }
    }

    /// Non-repeatable requests, short.
    pub(crate) const fn once(method: &'static str, millis: u64, share: f64) -> Self {
        let mut work = Self::read(method, millis, share);
        work.once = true;
        work.priority = Priority::new(200);
        work.deadline = Span::from_millis(2_000);
        work
    }

    /// Long work.
    pub(crate) const fn long(method: &'static str, millis: u64, share: f64) -> Self {
        let mut work = Self::read(method, millis, share);
        work.long = true;
        work.priority = Priority::new(50);
        work.deadline = Span::from_millis(10_000);
        work
    }
}
