//! Log output to a pipe whose reader stops or closes: writing never blocks, and lost lines are counted.

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

/// Smallest capacity of a pipe on Linux.
const PIPE_BYTES: usize = 4096;

/// Number of lines, of 64 bytes each: far more than the pipe holds.
const LINES: u64 = 1_000;

fn small_pipe() -> (File, OwnedFd) {
    let (reader, writer) = pipe().expect("a pipe can be made");
    let size = i32::try_from(PIPE_BYTES).expect("the capacity fits in an i32");
    fcntl(&writer, FcntlArg::F_SETPIPE_SZ(size)).expect("the capacity of the pipe can be set");
    (File::from(reader), writer)
}

fn write_lines(output: &mut LogOutput<OwnedFd>, count: u64) {
    for number in 0..count {
        let line = format!("{number:063}");
        output.write_all(line.as_bytes()).expect("writing a line does not fail");
        output.flush().expect("flushing does not fail");
    }
}

fn read(reader: &mut File) -> String {
    let mut buffer = vec![0; PIPE_BYTES];
    let length = reader.read(&mut buffer).expect("the pipe is readable");
    String::from_utf8(buffer[..length].to_vec()).expect("lines are text")
}

cases! {
    a_reader_that_stopped_costs_lines_and_no_time: {
        let (mut reader, writer) = small_pipe();
        let mut output = LogOutput::with_output(writer, |lost| format!("lost {lost}"));
        let started = Instant::now();
        write_lines(&mut output, LINES);
        assert!(started.elapsed() < Duration::from_secs(5), "writing blocked on the full pipe");
        let text = read(&mut reader);
        let lines: Vec<&str> = text.lines().collect();
        assert!(!lines.is_empty() && lines.iter().all(|line| line.len() == 63), "{text}");
        let lost = output.lost_lines();
        assert_eq!(lines.len() as u64 + lost, LINES, "a line was cut or not counted as lost");
        // Once the reader reads again, the first line states the number of lost lines.
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
