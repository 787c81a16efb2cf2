use usher_types::{Priority, Span};

/// One kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Method name.
    pub method: &'static str,
    /// Mean running time on a host of speed 1.
    pub time: Span,
    /// Share of the requests, relative to the shares of the other kinds.
    pub share: f64,
    /// Whether the profile declares the method as long.
    pub long: bool,
    /// Whether the request must not be executed twice.
    pub once: bool,
    /// Priority under overload.
    pub priority: Priority,
    /// Time that the caller waits for an answer.
    pub deadline: Span,
}

impl Work {
    /// A short read.
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

    /// A short request that must not be executed twice.
    pub(crate) const fn once(method: &'static str, millis: u64, share: f64) -> Self {
        let mut work = Self::read(method, millis, share);
        work.once = true;
        work.priority = Priority::new(200);
        work.deadline = Span::from_millis(2_000);
        work
    }

    /// A long request.
    pub(crate) const fn long(method: &'static str, millis: u64, share: f64) -> Self {
        let mut work = Self::read(method, millis, share);
        work.long = true;
        work.priority = Priority::new(50);
        work.deadline = Span::from_millis(10_000);
        work
    }
}
