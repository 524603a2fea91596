//! A small engine and service at the agent's interface, in virtual time.

use std::collections::{BTreeMap, VecDeque};

use dotterelpin::agent::engine::{EngineInput, Work};
use dotterelpin::link::message::{Answer, Export};
use dotterelpin::model::call::prompt_tokens;
use dotterelpin::model::{Class, EndpointKind, Ran, RequestId};

/// Prompt tokens that a prefill engine handles in a second.
pub const PREFILL_RATE: f64 = 30_000.0;
/// The fixed cost of a prefill in microseconds.
pub const PREFILL_BASE: u64 = 8_000;
/// The time of one decode step in microseconds, without and for each sequence in the batch.
pub const STEP_BASE: u64 = 12_000;
/// See [`STEP_BASE`].
pub const STEP_EACH: u64 = 550;
/// Requests that a decode engine holds.
pub const SLOTS: u32 = 20;
/// Pieces of memory of a decode engine.
pub const PIECES: u32 = 80;
/// Tokens of one piece.
pub const PIECE_TOKENS: u32 = 2_000;
/// Tokens that one endpoint's link carries in a second.
const LINK_RATE: f64 = 150_000.0;
/// How long exported KV cache lives, in microseconds.
const EXPORT_LIFE: u64 = 800_000;
/// Prompt prefixes that a prefill engine caches.
const CACHED_PREFIXES: usize = 6;
/// Tokens of one message of a stream.
const CHUNK: u32 = 8;
/// The time that a plain service needs, in microseconds.
const SERVICE_TIME: u64 = 6_000;

/// What an engine does later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tick {
    Prefilled(RequestId),
    Imported(RequestId),
    Chunk(RequestId),
    Served(RequestId),
}

/// A link of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Link {
    free: u64,
}

#[derive(Debug)]
struct Job {
    request: RequestId,
    tokens: u32,
    prefix: (u32, u32),
    length: u32,
    offset: u32,
}

#[derive(Debug)]
struct Sequence {
    next: u32,
    until: u32,
    running: bool,
    told: bool,
    expires: u64,
}

/// What the prefills of one engine came to.
#[derive(Debug, Default, Clone, Copy)]
pub struct Spent {
    pub started: u64,
    pub cached: u64,
    /// Imports at a decode engine that brought a token.
    pub used: u64,
}

/// One engine or service.
#[derive(Debug)]
pub struct Engine {
    pub kind: EndpointKind,
    pub url: Box<str>,
    pub alive: bool,
    pub epoch: u32,
    pub spent: Spent,
    index: usize,
    waiting: [VecDeque<Job>; 2],
    busy: Option<Job>,
    cache: VecDeque<u32>,
    sequences: BTreeMap<RequestId, Sequence>,
}

/// What an engine says now, and what it does later.
#[derive(Default)]
pub struct Said {
    pub inputs: Vec<EngineInput>,
    pub ticks: Vec<(u64, Tick)>,
}

/// Writes what the engine must know of a call into its prompt.
pub fn prompt(prefix: u32, prefix_tokens: u32, length: u32, tokens: u32) -> String {
    let mut text = format!("{prefix:08} {prefix_tokens:08} ");
    text.push_str(&"lesson plan ".repeat(20));
    text.push_str(&format!("#{length:08} "));
    let left = (tokens as usize * 4).saturating_sub(text.len());
    text.push_str(&"x".repeat(left));
    text
}

/// The least tokens of a prompt made by [`prompt`].
pub const LEAST_PROMPT: u32 = 72;

fn step_time(batch: usize) -> u64 {
    STEP_BASE + STEP_EACH * batch as u64
}

impl Engine {
    pub fn new(index: usize, kind: EndpointKind) -> Engine {
        Engine {
            kind,
            url: format!("http://{index}").into(),
            alive: true,
            epoch: 0,
            spent: Spent::default(),
            index,
            waiting: Default::default(),
            busy: None,
            cache: VecDeque::new(),
            sequences: BTreeMap::new(),
        }
    }

    /// Starts work; the links are those of all endpoints.
    pub fn start(&mut self, now: u64, request: RequestId, work: Work, links: &mut [Link]) -> Said {
        let mut said = Said::default();
        if !self.alive {
            let detail = "connection refused".into();
            said.inputs.push(EngineInput::Failed { request, ran: Ran::No, detail });
            return said;
        }
        match work {
            Work::Prefill { class, prompt, prefix, .. } => {
                let number = |from: usize| prompt[from..from + 8].parse().unwrap_or(0);
                let job = Job {
                    request,
                    tokens: prompt_tokens(&prompt) + prefix.len() as u32,
                    prefix: (number(0), number(9)),
                    length: number(prompt.find('#').unwrap_or(0) + 1),
                    offset: prefix.len() as u32,
                };
                self.waiting[usize::from(class != Class::Interactive)].push_back(job);
                self.next_prefill(now, &mut said);
            }
            Work::Decode { export, from, until, .. } => {
                let mut fields = export.name.split(':').map(|f| f.parse::<u64>().unwrap_or(0));
                let made = fields.next().unwrap_or(0);
                let length = fields.next().unwrap_or(0) as u32;
                let source = export.url.trim_start_matches("http://").parse().unwrap_or(0);
                let span = (f64::from(export.tokens) / LINK_RATE * 1e6) as u64;
                let begin = now.max(links[source].free).max(links[self.index].free);
                links[source].free = links[source].free.max(now) + span;
                links[self.index].free = begin + span;
                let expires = made + EXPORT_LIFE;
                let until = until.min(length);
                let sequence = Sequence { next: from, until, running: false, told: false, expires };
                self.sequences.insert(request, sequence);
                said.ticks.push(((begin + span).min(expires.max(now)), Tick::Imported(request)));
            }
            Work::Call { .. } => said.ticks.push((now + SERVICE_TIME, Tick::Served(request))),
        }
        said
    }

    fn next_prefill(&mut self, now: u64, said: &mut Said) {
        if self.busy.is_some() {
            return;
        }
        let [first, second] = &mut self.waiting;
        let Some(job) = first.pop_front().or_else(|| second.pop_front()) else { return };
        let (prefix, length) = job.prefix;
        let hit = self.cache.contains(&prefix);
        self.cache.retain(|p| *p != prefix);
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        self.spent.started += 1;
        self.spent.cached += u64::from(hit);
        let tokens = if hit { job.tokens.saturating_sub(length) } else { job.tokens };
        let span = PREFILL_BASE + (f64::from(tokens) / PREFILL_RATE * 1e6) as u64;
        said.ticks.push((now + span, Tick::Prefilled(job.request)));
        self.busy = Some(job);
    }

    /// Takes a tick.
    pub fn tick(&mut self, now: u64, tick: Tick) -> Said {
        let mut said = Said::default();
        match tick {
            Tick::Prefilled(request) => {
                let Some(job) = self.busy.take_if(|j| j.request == request) else { return said };
                let name = format!("{now}:{}:{}", job.length, job.offset).into();
                let export = Export { url: self.url.clone(), name, tokens: job.tokens };
                said.inputs.push(EngineInput::Exported { request, export });
                self.next_prefill(now, &mut said);
            }
            Tick::Imported(request) => {
                let running = self.sequences.values().filter(|s| s.running).count();
                let Some(sequence) = self.sequences.get_mut(&request) else { return said };
                if now >= sequence.expires {
                    self.sequences.remove(&request);
                    let detail = "the export has lapsed".into();
                    said.inputs.push(EngineInput::Failed { request, ran: Ran::No, detail });
                    return said;
                }
                sequence.running = true;
                said.ticks.push((now + step_time(running + 1), Tick::Chunk(request)));
            }
            Tick::Chunk(request) => self.chunk(now, request, &mut said),
            Tick::Served(request) => {
                let answer = Answer { status: 200, media: "text/plain".into(), content: vec![] };
                said.inputs.push(EngineInput::Answered { request, answer });
            }
        }
        said
    }

    fn chunk(&mut self, now: u64, request: RequestId, said: &mut Said) {
        let running = self.sequences.values().filter(|s| s.running).count();
        let Some(sequence) = self.sequences.get_mut(&request) else { return };
        self.spent.used += u64::from(!std::mem::replace(&mut sequence.told, true));
        let offset = sequence.next;
        let count = if offset == 0 { 1 } else { CHUNK }.min(sequence.until.saturating_sub(offset));
        sequence.next += count;
        let next = sequence.next;
        let tokens = vec!["t".into(); count as usize];
        said.inputs.push(EngineInput::Part { request, offset, tokens });
        if next >= sequence.until {
            self.sequences.remove(&request);
            said.inputs.push(EngineInput::End { request, offset: next, finish: "stop".into() });
        } else {
            let count = CHUNK.min(sequence.until - next);
            let span = step_time(running) * u64::from(count);
            said.ticks.push((now + span, Tick::Chunk(request)));
        }
    }

    /// Frees what a request holds.
    pub fn cancel(&mut self, now: u64, request: RequestId) -> Said {
        let mut said = Said::default();
        self.sequences.remove(&request);
        for queue in &mut self.waiting {
            queue.retain(|j| j.request != request);
        }
        self.busy.take_if(|j| j.request == request);
        if self.alive {
            self.next_prefill(now, &mut said);
        }
        said.inputs.push(EngineInput::Cancelled { request, gone: true });
        said
    }

    /// Loses all that it holds; returns the failures that its agent sees.
    pub fn crash(&mut self) -> Vec<EngineInput> {
        self.alive = false;
        self.epoch += 1;
        self.cache.clear();
        let mut lost: Vec<_> = std::mem::take(&mut self.sequences).into_keys().collect();
        lost.extend(self.busy.take().map(|j| j.request));
        for queue in &mut self.waiting {
            lost.extend(queue.drain(..).map(|j| j.request));
        }
        let failed = |request| {
            let detail = "the connection broke".into();
            EngineInput::Failed { request, ran: Ran::Maybe, detail }
        };
        lost.into_iter().map(failed).collect()
    }
}

/// Stalls the link of an endpoint until a time.
pub fn stall(link: &mut Link, until: u64) {
    link.free = link.free.max(until);
}
