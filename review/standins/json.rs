//! Minimal JSON reader for the bodies of the store's calls.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

/// Writes a string as JSON.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, expected: u8) -> bool {
        let is_next = self.peek() == Some(expected);
        self.at += usize::from(is_next);
        is_next
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn number(&mut self) -> Option<Json> {
        let rest = &self.bytes[self.at..];
        let length = rest.iter().take_while(|byte| b"+-.eE0123456789".contains(byte)).count();
        self.at += length;
        std::str::from_utf8(&rest[..length]).ok()?.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    match *self.bytes.get(self.at)? {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(text).ok()
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        if self.take(b']') {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']') {
                return Some(Json::List(items));
            }
            self.take(b',').then_some(())?;
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        if self.take(b'}') {
            return Some(Json::Table(fields));
        }
        loop {
            self.peek();
            let name = self.text()?;
            self.take(b':').then_some(())?;
            fields.push((name, self.value()?));
            if self.take(b'}') {
                return Some(Json::Table(fields));
            }
            self.take(b',').then_some(())?;
        }
    }
}
