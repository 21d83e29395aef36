//! Log on standard output. Its memory is bounded, and writing to it never blocks.

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

/// Limit on buffered bytes. Further lines are dropped.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Limit on lines per second. Further lines are dropped. This is ten times the number of
/// requests per second that a daemon with a quarter of a core answers.
const MAX_LINES_PER_S: u32 = 600;

/// Bytes that a writable pipe accepts in one atomic write (`PIPE_BUF`).
const ATOMIC_WRITE_BYTES: usize = 4 << 10;

/// Buffer of lines to be written to standard output.
#[derive(Debug)]
pub struct LineBuffer {
    buf: Vec<u8>,
    dropped: u64,
    window_start: Instant,
    lines_in_window: u32,
}

impl Default for LineBuffer {
    fn default() -> Self {
        Self {
            buf: Vec::new(),
            dropped: 0,
            window_start: Instant::now(),
            lines_in_window: 0,
        }
    }
}

impl LineBuffer {
    fn admit(&mut self, bytes: usize) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.lines_in_window = 0;
        }
        self.lines_in_window += 1;
        let fits = self.buf.len() + bytes <= MAX_BUFFERED_BYTES;
        let admitted = fits && self.lines_in_window <= MAX_LINES_PER_S;
        if !admitted {
            self.dropped += 1;
        }
        admitted
    }

    /// Writes as much as standard output accepts without blocking.
    fn write_available(&mut self) {
        let mut written = 0;
        while written < self.buf.len() {
            let stdout = stdout();
            let mut fds = [PollFd::new(&stdout, PollFlags::OUT)];
            let writable = poll(&mut fds, Some(&Timespec::default())).is_ok_and(|n| n > 0)
                && fds[0].revents().contains(PollFlags::OUT);
            if !writable {
                break;
            }
            match rustix::io::write(stdout, complete_lines(&self.buf[written..])) {
                Ok(len) => written += len,
                // Nobody reads the log, so the lines are discarded.
                Err(_) => written = self.buf.len(),
            }
        }
        self.buf.drain(..written);
    }
}

/// Returns the first complete lines of `buf` that fit in one atomic write, so that a
/// killed process leaves no partial line. A longer line is written in pieces.
fn complete_lines(buf: &[u8]) -> &[u8] {
    let first = &buf[..buf.len().min(ATOMIC_WRITE_BYTES)];
    match first.iter().rposition(|byte| *byte == b'\n') {
        Some(end) => &first[..=end],
        None => first,
    }
}

impl Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.admit(line.len()) {
            if self.dropped > 0 {
                let dropped = std::mem::take(&mut self.dropped);
                let notice = format!(
                    "{{\"level\":\"warn\",\"payload\":\"log: lines dropped\",\"kv\":{{\"lines\":{dropped}}}}}\n"
                );
                self.buf.extend_from_slice(notice.as_bytes());
            }
            self.buf.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.write_available();
        Ok(())
    }
}

/// Log of a gateway process.
pub struct Log {
    sink: Arc<WriteSink<LineBuffer>>,
}

impl Log {
    /// Installs the default logger, which writes records of at least `level` to standard
    /// output as one JSON object per line.
    ///
    /// # Errors
    ///
    /// The logger cannot be built.
    pub fn set_up(level: LogLevel) -> Result<Self, Box<dyn Error>> {
        let sink = WriteSink::builder()
            .target(LineBuffer::default())
            .formatter(JsonFormatter::new())
            .build_arc()?;
        let min_level: spdlog::Level = level.as_str().parse()?;
        let logger = Logger::builder()
            .sink(sink.clone())
            .level_filter(LevelFilter::MoreSevereEqual(min_level))
            .flush_level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Error))
            .build()?;
        spdlog::set_default_logger(Arc::new(logger));
        Ok(Self { sink })
    }

    /// Writes as much of the buffered lines as standard output accepts without blocking.
    pub fn flush(&self) {
        // `LineBuffer` keeps what cannot be written and returns no error.
        let _ = self.sink.flush();
    }
}
