//! HTTP messages, and a log that is shown and kept.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    sync::{Condvar, Mutex, OnceLock},
    thread,
    time::{Duration, Instant},
};

/// Time since the first call, in seconds.
pub fn elapsed() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

static RECORD: Mutex<String> = Mutex::new(String::new());

/// Adds a line to the record.
pub fn note(line: &str) {
    let line = format!("{:8.3} {line}\n", elapsed());
    RECORD.lock().unwrap().push_str(&line);
}

/// Adds a line to the record and shows it.
pub fn say(line: &str) {
    println!("{line}");
    note(line);
}

/// Writes the record to the file that `RECORD` names.
pub fn save_record() {
    if let Ok(path) = std::env::var("RECORD") {
        let _ = std::fs::write(path, &*RECORD.lock().unwrap());
    }
}

/// Head and body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.get(1).and_then(|status| status.parse().ok());
        status.unwrap_or(0)
    }

    /// Path of a request, with its query.
    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }
}

/// Reads the head of a message. Returns `None` if the connection ends before it does.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
    let first = line.split_whitespace().map(str::to_owned).collect();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Some(Message {
        first,
        headers,
        body: Vec::new(),
    })
}

/// Reads a message whose body has a stated length.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    let len = message.header("content-length");
    let len = len.and_then(|len| len.parse().ok()).unwrap_or(0);
    message.body = vec![0; len];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes a response.
pub fn respond(out: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let len = body.len();
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {len}\r\n{headers}\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes).is_ok()
}

/// Starts a thread with a small stack.
pub fn spawn(run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(256 << 10);
    // The system's limit on threads would show in missing answers.
    let _ = thread.spawn(run);
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let number = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let value = number >> (18 - 6 * digit) & 63;
            text.push(match digit > chunk.len() {
                true => '=',
                false => char::from(DIGITS[value as usize]),
            });
        }
    }
    text
}

/// Next number of a simple random sequence.
pub fn random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// Slots of a server: it works on so many requests at a time, and the others wait.
pub struct Slots(Mutex<usize>, Condvar);

impl Slots {
    pub const fn new(count: usize) -> Self {
        Self(Mutex::new(count), Condvar::new())
    }

    /// Works for this long in a slot.
    pub fn work(&self, time: Duration) {
        let free = self.0.lock().unwrap();
        let mut free = self.1.wait_while(free, |free| *free == 0).unwrap();
        *free -= 1;
        drop(free);
        thread::sleep(time);
        *self.0.lock().unwrap() += 1;
        self.1.notify_one();
    }
}
