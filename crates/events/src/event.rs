use std::fmt::{self, Display, Write as _};

use log::Level;

use crate::rate_limit;

/// A numbered log event; `docs/events.md` lists all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, written as `MU-E<code>`.
    pub code: u16,
    /// Level of the log line.
    pub level: Level,
    /// What happened.
    pub text: &'static str,
}

/// Declares a table of events: a constant for each, and `EVENTS` with all of them.
///
/// ```
/// usher_events::events! {
///     STARTED = 1, Info, "process started";
/// }
/// assert_eq!(EVENTS[0], STARTED);
/// ```
#[macro_export]
macro_rules! events {
    ($($name:ident = $code:literal, $level:ident, $text:literal;)*) => {
        $(pub(crate) const $name: $crate::Event = $crate::Event {
            code: $code,
            level: ::log::Level::$level,
            text: $text,
        };)*

        /// All events, in the order of their numbers.
        pub const EVENTS: &[$crate::Event] = &[$($name),*];
    };
}

impl Event {
    /// Writes the event to the log with its fields as `key=value`.
    ///
    /// ```
    /// use usher_events::Event;
    /// let event = Event { code: 1, level: log::Level::Info, text: "process started" };
    /// event.log(&[("role", &"agent")]);
    /// assert_eq!(event.to_string(), "event=MU-E1 text=\"process started\"");
    /// ```
    pub fn log(self, fields: &[(&str, &dyn Display)]) {
        rate_limit::count_event(self.code);
        if !log::log_enabled!(self.level) {
            return;
        }
        match rate_limit::admit_line(self.code) {
            Some(0) => log::log!(self.level, "{self}{}", Fields(fields)),
            Some(omitted) => {
                log::log!(self.level, "{self}{} omitted={omitted}", Fields(fields));
            }
            None => {}
        }
    }
}

impl Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event=MU-E{} text=\"{}\"", self.code, self.text)
    }
}

struct Fields<'a>(&'a [(&'a str, &'a dyn Display)]);

impl Display for Fields<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (key, value) in self.0 {
            let text = value.to_string();
            // A line break of another writer must not begin a line of its own.
            if text.contains(|sign: char| " \"=".contains(sign) || sign.is_control()) {
                write!(f, " {key}={text:?}")?;
            } else {
                f.write_char(' ')?;
                write!(f, "{key}={text}")?;
            }
        }
        Ok(())
    }
}
