//! A small JSON reader and writer for the stand-ins, which have no library.

use std::fmt;

/// A JSON value. Numbers are whole: the messages of the stand-ins hold no others.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(i64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn text(text: impl Into<String>) -> Self {
        Self::Text(text.into())
    }

    pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Self {
        Self::Object(fields.map(|(name, value)| (name.to_owned(), value)).into())
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Self::Object(fields) = self else {
            return None;
        };
        fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    pub fn as_number(&self) -> Option<i64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => value.fmt(f),
            Self::Number(value) => value.fmt(f),
            Self::Text(text) => write_text(f, text),
            Self::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for letter in text.chars() {
        match letter {
            '"' | '\\' => write!(f, "\\{letter}")?,
            letter if letter < ' ' => write!(f, "\\u{:04x}", letter as u32)?,
            letter => write!(f, "{letter}")?,
        }
    }
    f.write_str("\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        self.space();
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => self.fields(),
            b'[' => self.items(),
            b'"' => self.string().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| byte.is_ascii_digit() || *byte == b'-') {
            self.at += 1;
        }
        let digits = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        digits.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    bytes.push(*self.bytes.get(self.at)?);
                }
                byte => bytes.push(byte),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(bytes).ok()
    }

    fn items(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut items = Vec::new();
        while self.take("]").is_none() {
            if !items.is_empty() {
                self.take(",")?;
            }
            items.push(self.value()?);
        }
        Some(Json::List(items))
    }

    fn fields(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = Vec::new();
        while self.take("}").is_none() {
            if !fields.is_empty() {
                self.take(",")?;
            }
            self.space();
            let name = self.string()?;
            self.take(":")?;
            fields.push((name, self.value()?));
        }
        Some(Json::Object(fields))
    }
}
