//! Seeded fuzz of roles that stop over real sockets, under callers that pipeline, send slowly, read
//! slowly or never, and come late.

mod loopback;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use loopback::stopper::{Pace, Received, Server, Terms, read_all};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The number of seeds without `DOTTERELPIN_FUZZ_SEEDS`.
const SEEDS: u64 = 6;
/// How many seeds are played at a time.
const AT_A_TIME: usize = 3;
/// How long after the stop the connections are closed at the latest.
const LIMIT: Duration = Duration::from_millis(3_000);
/// By how much the end of the thread may come later, after a step of the role that takes 300 ms.
const SLACK: Duration = Duration::from_millis(800);

/// What one caller got, unless it got no connection or never read.
#[derive(Debug)]
struct Outcome {
    got: Received,
    /// When all its bytes were sent, if they were.
    sent: Option<Instant>,
}

/// What one caller does.
#[derive(Debug)]
struct Plan {
    /// How long after the start it connects.
    start: Duration,
    /// The target, the size of the answer and the bytes of each request.
    requests: Vec<(String, usize, Vec<u8>)>,
    /// Pieces of how many bytes are sent, with how long a pause after each.
    piece: usize,
    pause: Duration,
    /// `None`: never reads.
    pace: Option<Pace>,
}

impl Plan {
    fn draw(caller: u64, below: &mut impl FnMut(u64) -> u64) -> Plan {
        let requests: Vec<_> = (0..1 + below(4))
            .map(|number| {
                let size = if below(4) == 0 { below(3_000_000) } else { below(2_000) };
                let target = format!("/size/{size}?{caller}.{number}");
                let body = if below(2) == 0 { 0 } else { below(20_000) };
                let head = format!("POST {target} HTTP/1.1\r\nContent-Length: {body}\r\n\r\n");
                let bytes = [head.into_bytes(), vec![b'b'; body as usize]].concat();
                (target, size as usize, bytes)
            })
            .collect();
        let all: usize = requests.iter().map(|(_, _, bytes)| bytes.len()).sum();
        let pieces = 1 + below(12) as usize;
        let pace = Pace {
            delay: Duration::from_millis(below(3) * below(150)),
            pause: Duration::from_millis(below(4)),
        };
        Plan {
            start: Duration::from_millis(below(600)),
            requests,
            piece: all.div_ceil(pieces),
            pause: Duration::from_millis(below(40)),
            pace: (below(16) > 0).then_some(pace),
        }
    }

    /// Plays the caller; returns `None` if it got no connection or never read.
    fn play(&self, address: SocketAddr, begin: Instant) -> Option<Outcome> {
        std::thread::sleep(self.start.saturating_sub(begin.elapsed()));
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let mut writer = stream.try_clone().unwrap();
        let bytes: Vec<u8> = self.requests.iter().flat_map(|(_, _, b)| b.clone()).collect();
        std::thread::scope(|scope| {
            let sender = scope.spawn(move || {
                for piece in bytes.chunks(self.piece) {
                    if writer.write_all(piece).is_err() {
                        return None;
                    }
                    std::thread::sleep(self.pause);
                }
                Some(Instant::now())
            });
            let Some(pace) = self.pace else {
                std::thread::sleep(LIMIT);
                return None;
            };
            let got = read_all(&mut stream, pace);
            Some(Outcome { got, sent: sender.join().unwrap() })
        })
    }

    /// Returns what is wrong with what the caller got, given what the role has seen.
    fn check(&self, outcome: &Outcome, stopped: Instant, seen: &[String]) -> Option<String> {
        let got = &outcome.got;
        let mut expected = Vec::new();
        for (target, size, _) in &self.requests {
            if seen.contains(target) {
                expected.push((200, *size));
            } else if seen.contains(&format!("late {target}")) {
                expected.push((503, "not run\n".len()));
            }
        }
        let whole = got.rest == 0 && got.answers.starts_with(&expected);
        let more = got.answers.get(expected.len()..).unwrap_or_default();
        // One more request may have been refused by the driver, since it was received in part.
        let refused = more.is_empty() || matches!(more, [(503, _)]);
        let in_time = outcome.sent.is_some_and(|at| at < stopped);
        let closed = matches!(got.answers.last(), Some((503, _)));
        let lost = in_time && !closed && got.answers.len() < self.requests.len();
        (!whole || !refused || lost || got.error.is_some())
            .then(|| format!("{expected:?} expected, got {got:?}: {self:?}"))
    }
}

fn fuzz(seed: u64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut below = |bound: u64| rng.next_u64() % bound;
    let plans: Vec<Plan> = (0..1 + below(40)).map(|id| Plan::draw(id, &mut below)).collect();
    let stop = Duration::from_millis(below(700));
    let idle = (below(2) == 0).then(|| Duration::from_millis(below(700)).min(stop));
    let busy = below(2) == 0;
    let server = Server::start(Terms { limit: Some(LIMIT), ..Terms::default() });
    let address = server.address;
    let begin = Instant::now();
    std::thread::scope(|scope| {
        let play = |plan| scope.spawn(move || Plan::play(plan, address, begin));
        let playing: Vec<_> = plans.iter().map(play).collect();
        if let Some(idle) = idle {
            std::thread::sleep(idle.saturating_sub(begin.elapsed()));
            server.close_idle();
        }
        std::thread::sleep(stop.saturating_sub(begin.elapsed()));
        let stopped = Instant::now();
        if busy {
            server.start_busy();
        }
        server.stop();
        let ended = server.ended_within(LIMIT + SLACK);
        let got: Vec<_> = playing.into_iter().map(|p| p.join().unwrap()).collect();
        let seen = match ended {
            Ok(seen) => seen,
            Err(error) => return vec![format!("seed {seed}: {error}")],
        };
        let mut problems = Vec::new();
        for (plan, got) in plans.iter().zip(&got) {
            let problem = got.as_ref().and_then(|got| plan.check(got, stopped, &seen));
            problems.extend(problem.map(|p| format!("seed {seed}: {p:.600}")));
        }
        let mut once: Vec<&str> = seen.iter().map(|e| e.trim_start_matches("late ")).collect();
        once.retain(|e| e.starts_with("/size/"));
        once.sort_unstable();
        let twice = once.windows(2).find(|w| w[0] == w[1]);
        problems.extend(twice.map(|w| format!("seed {seed}: {} was seen twice", w[0])));
        problems
    })
}

#[test]
fn fuzz_of_stops_cuts_no_answer_and_ends_in_time() {
    let seeds = std::env::var("DOTTERELPIN_FUZZ_SEEDS").ok().and_then(|n| n.parse().ok());
    let seeds = Mutex::new(0..seeds.unwrap_or(SEEDS));
    let next = || seeds.lock().unwrap().next();
    let problems = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..AT_A_TIME {
            scope.spawn(|| {
                while let Some(seed) = next() {
                    let found = fuzz(seed);
                    problems.lock().unwrap().extend(found);
                }
            });
        }
    });
    let problems = problems.into_inner().unwrap();
    assert!(problems.is_empty(), "{} problems:\n{}", problems.len(), problems.join("\n"));
}
