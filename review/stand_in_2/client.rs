//! Clients of a streaming route, which take an interrupted stream up as the pages allow it.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::record::Record;

/// The deadline of a stream.
pub const DEADLINE: Duration = Duration::from_millis(14_000);
/// A client leaves a stream after a gap of so long.
const GAP: Duration = Duration::from_millis(3_600);

/// One try at a stream.
#[derive(Debug, Default, Clone)]
pub struct Try {
    pub attempt: String,
    pub status: u16,
    /// The software versions of the runners that wrote the events, without repeats.
    pub versions: Vec<String>,
    pub events: u64,
    /// The last event of the stream that the client has.
    pub last: u64,
    pub complete: bool,
    pub retry_after: Option<f64>,
}

/// Opens a stream, or takes one up after an event; `resumes` is the attempt that brought its first one.
pub fn stream(to: SocketAddr, attempt: &str, resumes: Option<(&str, u64)>, left: Duration) -> Try {
    let mut result = Try { attempt: attempt.into(), ..Try::default() };
    result.last = resumes.map_or(0, |(_, last)| last);
    let _ = read(to, attempt, resumes, left, &mut result);
    result
}

fn read(
    to: SocketAddr,
    attempt: &str,
    resumes: Option<(&str, u64)>,
    left: Duration,
    result: &mut Try,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(GAP))?;
    let body = "p".repeat(3_000);
    let more = resumes.map_or_else(String::new, |(first, last)| {
        format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n")
    });
    let head = format!(
        "POST /sum/x HTTP/1.1\r\nHost: sum.example\r\nDotterelpin-Attempt-Id: {attempt}\r\n\
         Dotterelpin-Model: m\r\nDotterelpin-Token-Usage: 2000,600\r\n\
         Dotterelpin-Prompt-Prefix: 5c1e07a2:200,{attempt}:1800\r\n\
         Dotterelpin-Deadline-Ms: {}\r\n{more}Content-Length: {}\r\n\r\n",
        left.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut reader = Reader::new(stream);
    let Some(head) = reader.head()? else { return Ok(()) };
    result.status = head.status();
    result.retry_after = head.field("retry-after").and_then(|t| t.parse().ok());
    if result.status != 200 || head.field("dotterelpin-server-stamp").is_none() {
        return Ok(());
    }
    loop {
        let chunk = reader.chunk()?;
        if chunk.is_empty() {
            result.complete = true;
            return Ok(());
        }
        let text = String::from_utf8_lossy(&chunk).into_owned();
        for line in text.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                result.last = id.parse().unwrap_or(result.last);
            }
            if let Some(data) = line.strip_prefix("data: ") {
                result.events += 1;
                let version = data.split(' ').next().unwrap_or("").to_string();
                if result.versions.last() != Some(&version) {
                    result.versions.push(version);
                }
            }
        }
    }
}

/// A stream with all its tries.
#[derive(Debug, Default, Clone)]
pub struct Stream {
    pub tries: Vec<Try>,
}

impl Stream {
    /// All versions that wrote events of it, in order.
    pub fn versions(&self) -> Vec<String> {
        let mut all: Vec<String> = Vec::new();
        for version in self.tries.iter().flat_map(|t| &t.versions) {
            if all.last() != Some(version) {
                all.push(version.clone());
            }
        }
        all
    }

    pub fn is_mixed(&self) -> bool {
        self.versions().len() > 1
    }

    /// Whether the first try brought events and was cut.
    pub fn is_cut(&self) -> bool {
        self.tries.first().is_some_and(|t| t.events > 0 && !t.complete)
    }

    /// Whether a later try brought further events.
    pub fn goes_on(&self) -> bool {
        self.tries.iter().skip(1).any(|t| t.events > 0)
    }

    pub fn log(&self, record: &Record) {
        let one = |t: &Try| {
            let end = if t.complete { "complete" } else { "cut" };
            format!(
                "[{} status {} events {} last {} {end} versions {}]",
                t.attempt,
                t.status,
                t.events,
                t.last,
                t.versions.join("+")
            )
        };
        let tries: Vec<String> = self.tries.iter().map(one).collect();
        record.line(&format!("stream {}", tries.join(" ")));
    }
}

/// Plays one stream: at a first machine, and after a cut at the next ones, with `retries` further tries.
pub fn play(machines: &[SocketAddr], name: &str, retries: usize) -> Stream {
    let begin = Instant::now();
    let first = format!("{name}-1");
    let mut played = Stream::default();
    played.tries.push(stream(machines[0], &first, None, DEADLINE));
    for number in 0..retries {
        let Some(before) = played.tries.last().cloned() else { break };
        if before.complete || begin.elapsed() >= DEADLINE {
            break;
        }
        let left = DEADLINE - begin.elapsed();
        if before.status == 503 || before.status == 429 {
            let wait = Duration::from_secs_f64(before.retry_after.unwrap_or(0.1));
            std::thread::sleep(wait.min(left / 3));
        }
        let left = DEADLINE.saturating_sub(begin.elapsed());
        let to = machines[(number + 1) % machines.len()];
        let attempt = format!("{name}-{}", number + 2);
        let resumes = (before.last > 0).then_some((first.as_str(), before.last));
        played.tries.push(stream(to, &attempt, resumes, left));
    }
    played
}
