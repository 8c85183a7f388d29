//! Reads JSON with comments and collects all faults of a file, each with its line, instead of stopping at the
//! first.

use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::path::Path;
use std::path::PathBuf;

use indexmap::IndexSet;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Array;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::parse_to_ast;

use crate::process::fault::Fault;

/// Largest file that is read, in bytes (1 MiB).
const MAX_FILE_BYTES: usize = 1 << 20;

/// A file and the faults found in it so far.
#[derive(Debug)]
pub struct Document {
    path: PathBuf,
    text: String,
    faults: RefCell<Vec<Fault>>,
}

impl Document {
    /// Reads a file into memory.
    pub fn open(path: &Path) -> Result<Document, Fault> {
        let fault =
            |message: String| Fault { file: path.to_owned(), line: 0, key: String::new(), message };
        let text = fs::read_to_string(path).map_err(|error| fault(error.to_string()))?;
        if text.len() > MAX_FILE_BYTES {
            return Err(fault(format!("the file is larger than {MAX_FILE_BYTES} bytes")));
        }
        Ok(Document::new(path, text))
    }

    /// Creates a document from text. `path` is used in messages and to resolve relative paths.
    pub fn new(path: &Path, text: String) -> Document {
        Document { path: path.to_owned(), text, faults: RefCell::new(Vec::new()) }
    }

    /// Reads the document with `read`. Returns all faults if there are any, also those of unknown or duplicate
    /// keys.
    pub fn read<T>(&self, read: impl FnOnce(&Section<'_>) -> Option<T>) -> Result<T, Vec<Fault>> {
        let read = self.read_root(read);
        let faults = self.faults.take();
        match read {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(faults),
        }
    }

    fn read_root<T>(&self, read: impl FnOnce(&Section<'_>) -> Option<T>) -> Option<T> {
        let parsed = parse_to_ast(&self.text, &CollectOptions::default(), &ParseOptions::default());
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(error) => {
                self.add_fault(error.range().start, "", error.kind().to_string());
                return None;
            }
        };
        let Some(Value::Object(object)) = parsed.value else {
            self.add_fault(0, "", "must be an object in braces".to_owned());
            return None;
        };
        let section = Section::new(self, object, String::new());
        let value = read(&section);
        section.report_unknown_keys();
        value
    }

    fn add_fault(&self, at: usize, key: &str, message: String) {
        let line = self.text.as_bytes().iter().take(at).filter(|byte| **byte == b'\n').count() + 1;
        let key = key.to_owned();
        self.faults.borrow_mut().push(Fault { file: self.path.clone(), line, key, message });
    }
}

/// A JSON object of a document. It notes each key that is read, to report the others as unknown.
#[derive(Debug)]
pub struct Section<'a> {
    document: &'a Document,
    object: Object<'a>,
    path: String,
    known_keys: RefCell<IndexSet<String>>,
}

impl<'a> Section<'a> {
    fn new(document: &'a Document, object: Object<'a>, path: String) -> Section<'a> {
        let section = Section { document, object, path, known_keys: RefCell::default() };
        section.report_duplicate_keys();
        section
    }

    /// Folder of the file. Relative paths in the file start there.
    pub fn folder(&self) -> &Path {
        self.document.path.parent().unwrap_or(Path::new(""))
    }

    /// Adds a fault at the line of a key, or of the object if the key is missing.
    pub fn add_fault(&self, key: &str, message: String) {
        let at =
            self.property(key).map_or(self.object.range.start, |property| property.range.start);
        self.document.add_fault(at, &self.key_path(key), message);
    }

    /// Reads a required string.
    pub fn text(&self, key: &str) -> Option<String> {
        let value = self.required(key)?;
        self.as_text(key, value)
    }

    /// Reads an optional string.
    pub fn optional_text(&self, key: &str) -> Option<String> {
        let value = self.value(key)?;
        self.as_text(key, value)
    }

    /// Reads an optional string that must be one of `allowed`.
    pub fn choice(&self, key: &str, allowed: &[&str], default: &str) -> Option<String> {
        let Some(value) = self.value(key) else {
            return Some(default.to_owned());
        };
        let text = self.as_text(key, value)?;
        if allowed.contains(&text.as_str()) {
            return Some(text);
        }
        self.add_fault(key, format!("must be one of {}, not {text:?}", allowed.join(", ")));
        None
    }

    /// Reads a whole number in `range`. Without a `default`, the key is required.
    pub fn number(
        &self,
        key: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<u64> {
        let value = match (self.value(key), default) {
            (None, Some(default)) => return Some(default),
            (None, None) => self.required(key)?,
            (Some(value), _) => value,
        };
        let number = match value {
            Value::NumberLit(literal) => literal.value.parse::<u64>().ok(),
            _ => None,
        };
        let allowed = number.filter(|number| range.contains(number));
        if allowed.is_none() {
            let (low, high) = range.into_inner();
            self.add_fault(key, format!("must be a whole number from {low} to {high}"));
        }
        allowed
    }

    /// Reads a required number of seconds, with or without a fraction, and returns milliseconds.
    pub fn seconds_as_ms(&self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let seconds = match self.required(key)? {
            Value::NumberLit(literal) => literal.value.parse::<f64>().ok(),
            _ => None,
        };
        let allowed = seconds
            .filter(|seconds| *seconds >= *range.start() as f64 && *seconds <= *range.end() as f64);
        if allowed.is_none() {
            let (low, high) = range.into_inner();
            self.add_fault(key, format!("must be a number of seconds from {low} to {high}"));
        }
        allowed.map(|seconds| (seconds * 1000.0).round() as u64)
    }

    /// Reads a required name of lower-case letters, digits and hyphens.
    pub fn name(&self, key: &str) -> Option<String> {
        let text = self.text(key)?;
        self.check_name(key, text)
    }

    /// Reads a required IPv4 address with port.
    pub fn address_v4(&self, key: &str) -> Option<SocketAddrV4> {
        let text = self.text(key)?;
        self.parse_text(key, &text, "an IPv4 address with port, as \"10.0.0.1:7000\"")
    }

    /// Reads a required IP address with port.
    pub fn address(&self, key: &str) -> Option<SocketAddr> {
        let text = self.text(key)?;
        self.parse_text(key, &text, "an IP address with port, as \"10.0.0.1:443\"")
    }

    /// Reads a list of IPv4 addresses with ports; empty if the key is missing.
    pub fn addresses_v4(&self, key: &str) -> Option<Vec<SocketAddrV4>> {
        let allowed = "an IPv4 address with port, as \"10.0.0.1:7000\"";
        self.texts(key)?.iter().map(|text| self.parse_text(key, text, allowed)).collect()
    }

    /// Reads a list of names; empty if the key is missing.
    pub fn names(&self, key: &str) -> Option<Vec<String>> {
        self.texts(key)?.into_iter().map(|text| self.check_name(key, text)).collect()
    }

    /// Reads a list of strings; empty if the key is missing.
    pub fn texts(&self, key: &str) -> Option<Vec<String>> {
        let Some(value) = self.value(key) else {
            return Some(Vec::new());
        };
        let elements = self.as_array(key, value)?;
        elements.elements.iter().map(|element| self.as_text(key, element)).collect()
    }

    /// Reads a required path, relative to the folder of the file.
    pub fn path(&self, key: &str) -> Option<PathBuf> {
        Some(self.folder().join(self.text(key)?))
    }

    /// Reads an optional path, relative to the folder of the file.
    pub fn optional_path(&self, key: &str) -> Option<PathBuf> {
        Some(self.folder().join(self.optional_text(key)?))
    }

    /// Reads a required inner object.
    pub fn section<T>(&self, key: &str, read: impl FnOnce(&Section<'_>) -> Option<T>) -> Option<T> {
        let value = self.required(key)?;
        self.read_object(key, value, read)
    }

    /// Reads an optional inner object.
    pub fn optional_section<T>(
        &self,
        key: &str,
        default: T,
        read: impl FnOnce(&Section<'_>) -> Option<T>,
    ) -> Option<T> {
        match self.value(key) {
            Some(value) => self.read_object(key, value, read),
            None => Some(default),
        }
    }

    /// Reads a required list of at least one object.
    pub fn sections<T>(
        &self,
        key: &str,
        read: impl Fn(&Section<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let value = self.required(key)?;
        let array = self.as_array(key, value)?;
        if array.elements.is_empty() {
            self.add_fault(key, "must not be empty".to_owned());
            return None;
        }
        array.elements.iter().map(|element| self.read_object(key, element, &read)).collect()
    }

    fn read_object<T>(
        &self,
        key: &str,
        value: &Value<'_>,
        read: impl FnOnce(&Section<'_>) -> Option<T>,
    ) -> Option<T> {
        let Value::Object(object) = value else {
            self.add_fault(key, "must be an object in braces".to_owned());
            return None;
        };
        let section = Section::new(self.document, object.clone(), self.key_path(key));
        let value = read(&section);
        section.report_unknown_keys();
        value
    }

    fn check_name(&self, key: &str, text: String) -> Option<String> {
        if crate::version::service::is_valid_name(&text) {
            return Some(text);
        }
        let allowed = "must be 1 to 63 lower-case letters, digits or inner hyphens";
        self.add_fault(key, format!("{allowed}, not {text:?}"));
        None
    }

    fn parse_text<T: std::str::FromStr>(&self, key: &str, text: &str, allowed: &str) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.add_fault(key, format!("must be {allowed}, not {text:?}"));
        }
        parsed
    }

    fn as_text(&self, key: &str, value: &Value<'_>) -> Option<String> {
        if let Value::StringLit(literal) = value {
            return Some(literal.value.to_string());
        }
        self.add_fault(key, "must be a string in quotes".to_owned());
        None
    }

    fn as_array<'v>(&self, key: &str, value: &'v Value<'a>) -> Option<&'v Array<'a>> {
        if let Value::Array(array) = value {
            return Some(array);
        }
        self.add_fault(key, "must be a list in square brackets".to_owned());
        None
    }

    fn required(&self, key: &str) -> Option<&Value<'a>> {
        let value = self.value(key);
        if value.is_none() {
            self.add_fault(key, "is missing".to_owned());
        }
        value
    }

    fn value(&self, key: &str) -> Option<&Value<'a>> {
        self.known_keys.borrow_mut().insert(key.to_owned());
        self.property(key).map(|property| &property.value)
    }

    fn property(&self, key: &str) -> Option<&ObjectProp<'a>> {
        self.object.properties.iter().find(|property| property.name.as_str() == key)
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn report_duplicate_keys(&self) {
        let mut seen = IndexSet::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            if !seen.insert(name) {
                let message = "is a duplicate key".to_owned();
                self.document.add_fault(property.range.start, &self.key_path(name), message);
            }
        }
    }

    fn report_unknown_keys(&self) {
        let known_keys = self.known_keys.borrow();
        for property in &self.object.properties {
            let name = property.name.as_str();
            if !known_keys.contains(name) {
                let allowed = known_keys.iter().map(String::as_str).collect::<Vec<_>>().join(", ");
                let message = format!("is an unknown key; allowed here: {allowed}");
                self.document.add_fault(property.range.start, &self.key_path(name), message);
            }
        }
    }
}
