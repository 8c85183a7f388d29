//! Log lines and a reader that does not keep up.

#[macro_use]
mod support;

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::time::Duration;
use std::time::Instant;

use nix::fcntl::FcntlArg;
use nix::fcntl::fcntl;
use nix::unistd::pipe;
use rhubarbthread::process::log_output::LogOutput;

/// Smallest pipe that Linux gives, in bytes.
const PIPE_BYTES: usize = 4096;

/// Lines of 64 bytes, far more than the pipe takes.
const LINES: u64 = 1_000;

fn small_pipe() -> (File, OwnedFd) {
    let (reader, writer) = pipe().expect("a pipe can be made");
    let size = i32::try_from(PIPE_BYTES).expect("it is small");
    fcntl(&writer, FcntlArg::F_SETPIPE_SZ(size)).expect("a pipe can be made smaller");
    (File::from(reader), writer)
}

fn write_lines(output: &mut LogOutput<OwnedFd>, count: u64) {
    for number in 0..count {
        let line = format!("{number:063}");
        output.write_all(line.as_bytes()).expect("the line is taken");
        output.flush().expect("nothing fails");
    }
}

fn read(reader: &mut File) -> String {
    let mut buffer = vec![0; PIPE_BYTES];
    let length = reader.read(&mut buffer).expect("there is something");
    String::from_utf8(buffer[..length].to_vec()).expect("lines are text")
}

cases! {
    a_reader_that_stopped_costs_lines_and_no_time: {
        let (mut reader, writer) = small_pipe();
        let mut output = LogOutput::with_output(writer, |lost| format!("lost {lost}"));
        let started = Instant::now();
        write_lines(&mut output, LINES);
        assert!(started.elapsed() < Duration::from_secs(5), "writing does not block");
        let text = read(&mut reader);
        let lines: Vec<&str> = text.lines().collect();
        assert!(!lines.is_empty() && lines.iter().all(|line| line.len() == 63), "{text}");
        let lost = output.lost_lines();
        assert_eq!(lines.len() as u64 + lost, LINES, "each line is written whole or counted");
        // Once the reader goes on, it learns how many it has missed.
        write_lines(&mut output, 1);
        let text = read(&mut reader);
        assert_eq!(text.lines().next(), Some(format!("lost {lost}").as_str()));
    };
    a_reader_that_went_away_costs_lines: {
        let (reader, writer) = small_pipe();
        let mut output = LogOutput::with_output(writer, |lost| format!("lost {lost}"));
        drop(reader);
        write_lines(&mut output, 10);
        assert_eq!(output.lost_lines(), 10);
    };
}
