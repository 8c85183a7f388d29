//! Faults in settings and service files.

use std::fmt;
use std::path::PathBuf;

/// Invalid part of a file or folder: what is wrong there, and where.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// File that has the fault.
    pub file: PathBuf,
    /// Line in the file, from 1; 0 if the fault concerns the file or folder as a whole.
    pub line: usize,
    /// Path of the key, joined by dots; empty if the fault concerns no key.
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
