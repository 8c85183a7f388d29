//! Reads JSON, as far as the calls of the store need it.

use std::iter::Peekable;
use std::str::Chars;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        value(&mut text.chars().peekable())
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self {
            text
        } else {
            ""
        }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self {
            *number as u64
        } else {
            0
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self {
            list
        } else {
            &[]
        }
    }
}

fn skip_space(input: &mut Peekable<Chars<'_>>) {
    while input.peek().is_some_and(|next| next.is_whitespace()) {
        input.next();
    }
}

fn value(input: &mut Peekable<Chars<'_>>) -> Option<Json> {
    skip_space(input);
    match *input.peek()? {
        '"' => text(input).map(Json::Text),
        '[' => {
            input.next();
            let mut list = Vec::new();
            loop {
                skip_space(input);
                match *input.peek()? {
                    ']' => break,
                    ',' => {}
                    _ => {
                        list.push(value(input)?);
                        continue;
                    }
                }
                input.next();
            }
            input.next();
            Some(Json::List(list))
        }
        '{' => {
            input.next();
            let mut fields = Vec::new();
            loop {
                skip_space(input);
                match *input.peek()? {
                    '}' => break,
                    ',' => {
                        input.next();
                    }
                    _ => {
                        let key = text(input)?;
                        skip_space(input);
                        if input.next()? != ':' {
                            return None;
                        }
                        fields.push((key, value(input)?));
                    }
                }
            }
            input.next();
            Some(Json::Table(fields))
        }
        _ => {
            let mut word = String::new();
            while input.peek().is_some_and(|next| !",]} \n\r\t".contains(*next)) {
                word.push(input.next()?);
            }
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" | "false" => Some(Json::Bool),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn text(input: &mut Peekable<Chars<'_>>) -> Option<String> {
    if input.next()? != '"' {
        return None;
    }
    let mut text = String::new();
    loop {
        match input.next()? {
            '"' => return Some(text),
            '\\' => match input.next()? {
                'n' => text.push('\n'),
                'u' => {
                    let code: String = (0..4).filter_map(|_| input.next()).collect();
                    text.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
}
