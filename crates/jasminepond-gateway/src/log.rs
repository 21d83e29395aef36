//! The log on standard output: bounded, and never waited for.

use std::{
    error::Error,
    io::{self, Write},
    sync::Arc,
    time::{Duration, Instant},
};

use jasminepond_config::LogLevel;
use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    stdio::stdout,
};
use spdlog::{
    LevelFilter, Logger,
    formatter::JsonFormatter,
    sink::{Sink, WriteSink},
};

/// Bytes of lines that wait for standard output; further lines are dropped.
const MAX_WAITING_BYTES: usize = 256 << 10;

/// Lines per second; further ones are dropped. Ten times the requests that a
/// daemon with a quarter of a core answers.
const MAX_LINES_PER_S: u32 = 600;

/// Bytes that a pipe takes at once and whole if it is writable (`PIPE_BUF`).
const WRITE_BYTES: usize = 4 << 10;

/// Lines on their way to standard output.
#[derive(Debug)]
pub struct Lines {
    waiting: Vec<u8>,
    dropped: u64,
    second: Instant,
    lines: u32,
}

impl Default for Lines {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            dropped: 0,
            second: Instant::now(),
            lines: 0,
        }
    }
}

impl Lines {
    fn admit(&mut self, bytes: usize) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.lines = 0;
        }
        self.lines += 1;
        let fits = self.waiting.len() + bytes <= MAX_WAITING_BYTES;
        let admitted = fits && self.lines <= MAX_LINES_PER_S;
        if !admitted {
            self.dropped += 1;
        }
        admitted
    }

    /// Writes what standard output takes without waiting.
    fn pump(&mut self) {
        let mut written = 0;
        while written < self.waiting.len() {
            let stdout = stdout();
            let mut fds = [PollFd::new(&stdout, PollFlags::OUT)];
            let writable = poll(&mut fds, Some(&Timespec::default())).is_ok_and(|n| n > 0)
                && fds[0].revents().contains(PollFlags::OUT);
            if !writable {
                break;
            }
            match rustix::io::write(stdout, whole_lines(&self.waiting[written..])) {
                Ok(len) => written += len,
                // Nobody reads the log; the lines go the way of dropped ones.
                Err(_) => written = self.waiting.len(),
            }
        }
        self.waiting.drain(..written);
    }
}

/// The first lines of `waiting` that a pipe takes in one write, so that a process
/// that is killed leaves no part of a line. A longer line goes in parts.
fn whole_lines(waiting: &[u8]) -> &[u8] {
    let first = &waiting[..waiting.len().min(WRITE_BYTES)];
    match first.iter().rposition(|byte| *byte == b'\n') {
        Some(end) => &first[..=end],
        None => first,
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.admit(line.len()) {
            if self.dropped > 0 {
                let dropped = std::mem::take(&mut self.dropped);
                let note = format!(
                    "{{\"level\":\"warn\",\"payload\":\"log: lines dropped\",\"kv\":{{\"lines\":{dropped}}}}}\n"
                );
                self.waiting.extend_from_slice(note.as_bytes());
            }
            self.waiting.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.pump();
        Ok(())
    }
}

/// The log of a gateway process.
pub struct Log {
    sink: Arc<WriteSink<Lines>>,
}

impl Log {
    /// Sends all log records of `level` and above to standard output, one JSON
    /// object a line.
    ///
    /// # Errors
    ///
    /// The logger cannot be built.
    pub fn set_up(level: LogLevel) -> Result<Self, Box<dyn Error>> {
        let sink = WriteSink::builder()
            .target(Lines::default())
            .formatter(JsonFormatter::new())
            .build_arc()?;
        let least: spdlog::Level = level.as_str().parse()?;
        let logger = Logger::builder()
            .sink(sink.clone())
            .level_filter(LevelFilter::MoreSevereEqual(least))
            .flush_level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Error))
            .build()?;
        spdlog::set_default_logger(Arc::new(logger));
        Ok(Self { sink })
    }

    /// Writes what has been logged, as far as standard output takes it.
    pub fn flush(&self) {
        // `Lines` keeps what cannot be written and returns no error.
        let _ = self.sink.flush();
    }
}
