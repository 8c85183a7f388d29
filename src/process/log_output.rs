//! Non-blocking output of log lines. If the pipe is full or closed, lines are dropped and counted, so that a
//! stalled log reader never blocks the process.

use std::io;
use std::io::Stdout;
use std::io::Write;
use std::os::fd::AsFd;

use nix::poll::PollFd;
use nix::poll::PollFlags;
use nix::poll::PollTimeout;
use nix::poll::poll;

/// Longest line, in bytes. This is `PIPE_BUF` on Linux: a write of at most this size to a pipe that polls as
/// writable is atomic and does not block (POSIX).
const MAX_LINE_BYTES: usize = 4096;

/// Writes whole lines, and drops lines that the output does not accept.
#[derive(Debug)]
pub struct LogOutput<F: AsFd + Send = Stdout> {
    output: F,
    line: Vec<u8>,
    lost: u64,
    reported_lost: u64,
    format_lost_lines: LostLinesFormatter,
}

/// Formats the log line that reports how many lines were lost.
pub type LostLinesFormatter = fn(lost: u64) -> String;

impl LogOutput {
    /// Creates an output that writes to standard output.
    pub fn new(format_lost_lines: LostLinesFormatter) -> LogOutput {
        LogOutput::with_output(io::stdout(), format_lost_lines)
    }
}

impl<F: AsFd + Send> LogOutput<F> {
    /// Creates an output that writes to another file or pipe.
    pub fn with_output(output: F, format_lost_lines: LostLinesFormatter) -> LogOutput<F> {
        let line = Vec::with_capacity(MAX_LINE_BYTES);
        LogOutput { output, line, lost: 0, reported_lost: 0, format_lost_lines }
    }

    /// Number of lines lost so far.
    pub fn lost_lines(&self) -> u64 {
        self.lost
    }

    /// Writes a whole line or nothing, since a write of at most `PIPE_BUF` bytes is atomic. Returns whether it
    /// was written.
    fn try_write(&self, line: &[u8]) -> bool {
        self.is_writable() && nix::unistd::write(&self.output, line).is_ok()
    }

    /// Writes a line with the number of lines lost since the last such line.
    fn report_lost_lines(&mut self) {
        let mut line = (self.format_lost_lines)(self.lost - self.reported_lost);
        line.push('\n');
        if self.try_write(line.as_bytes()) {
            self.reported_lost = self.lost;
        }
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
        if self.reported_lost < self.lost {
            self.report_lost_lines();
        }
        if !self.line.is_empty() && !self.try_write(&self.line) {
            self.lost += 1;
        }
        self.line.clear();
        Ok(())
    }
}
