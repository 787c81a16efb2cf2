use usher_platform::is_unfilled;

/// Optional keys as the platform has filled them in.
#[derive(Debug, Default)]
pub(crate) struct OptionalKeys {
    unfilled: Vec<&'static str>,
}

impl OptionalKeys {
    /// The value of a key; empty, which stands for its default, if its placeholder was not filled in.
    ///
    /// A platform older than the template does not know the field, and must not keep a node from starting.
    pub(crate) fn value<'a>(&mut self, key: &'static str, value: &'a str) -> &'a str {
        if is_unfilled(value) {
            self.unfilled.push(key);
            ""
        } else {
            value
        }
    }

    /// The keys whose placeholders were not filled in.
    pub(crate) fn into_unfilled(self) -> Vec<&'static str> {
        self.unfilled
    }
}
