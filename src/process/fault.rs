//! One fault in a settings or service file.

use std::fmt;
use std::path::PathBuf;

/// What is wrong, where, and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// Line in the file, from 1; 0 for a file or folder as a whole.
    pub line: usize,
    /// Path of the key, with dots; empty for the whole file.
    pub key: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        f.write_str(" ")?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}
