//! Standard output for log lines. A full pipe or a reader that stopped costs lines, never time.

use std::io;
use std::io::Stdout;
use std::io::Write;
use std::os::fd::AsFd;

use nix::poll::PollFd;
use nix::poll::PollFlags;
use nix::poll::PollTimeout;
use nix::poll::poll;

/// Longest line, in bytes: a pipe that polls as writable takes this much at once (POSIX `PIPE_BUF` on
/// Linux).
const MAX_LINE_BYTES: usize = 4096;

/// Writes whole lines, or none where the reader does not keep up.
#[derive(Debug)]
pub struct LogOutput<F: AsFd + Send = Stdout> {
    output: F,
    line: Vec<u8>,
    lost: u64,
}

impl LogOutput {
    /// Writes to standard output.
    pub fn new() -> LogOutput {
        LogOutput::with_output(io::stdout())
    }
}

impl Default for LogOutput {
    fn default() -> LogOutput {
        LogOutput::new()
    }
}

impl<F: AsFd + Send> LogOutput<F> {
    /// Writes to another file.
    pub fn with_output(output: F) -> LogOutput<F> {
        LogOutput { output, line: Vec::with_capacity(MAX_LINE_BYTES), lost: 0 }
    }

    /// Lines that the reader did not take.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    fn is_writable(&self) -> bool {
        let mut files = [PollFd::new(self.output.as_fd(), PollFlags::POLLOUT)];
        let ready = poll(&mut files, PollTimeout::ZERO);
        let is_closed = files[0].revents().is_some_and(|events| {
            events.intersects(PollFlags::POLLERR | PollFlags::POLLHUP | PollFlags::POLLNVAL)
        });
        ready == Ok(1) && !is_closed
    }
}

impl<F: AsFd + Send> Write for LogOutput<F> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let room = MAX_LINE_BYTES.saturating_sub(self.line.len() + 1);
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.line.last().is_some_and(|byte| *byte != b'\n') {
            self.line.push(b'\n');
        }
        // One write of at most `PIPE_BUF` bytes is taken whole or not at all.
        if self.line.is_empty()
            || (self.is_writable() && nix::unistd::write(&self.output, &self.line).is_ok())
        {
            self.line.clear();
            return Ok(());
        }
        self.lost += 1;
        self.line.clear();
        Ok(())
    }
}
