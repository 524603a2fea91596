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
pub const STEP_PER_SEQUENCE: u64 = 550;
/// Requests that a decode engine holds.
pub const SLOTS: u32 = 20;
/// Pieces of memory of a decode engine.
pub const PIECES: u32 = 80;
/// Tokens of one piece.
pub const PIECE_TOKENS: u32 = 2_000;
/// Tokens that one endpoint's link carries in a second.
const LINK_RATE: f64 = 150_000.0;
/// How long exported KV cache lives, in microseconds.
const EXPORT_TTL: u64 = 800_000;
/// Prompt prefixes that a prefill engine caches.
const CACHED_PREFIXES: usize = 6;
/// Tokens of one message of a stream.
const CHUNK_TOKENS: u32 = 8;
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
    output: u32,
    offset: u32,
}

#[derive(Debug)]
struct Sequence {
    next: u32,
    until: u32,
    running: bool,
    streamed: bool,
    expires: u64,
}

/// What the prefills of one engine came to.
#[derive(Debug, Default, Clone, Copy)]
pub struct PrefillCounts {
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
    pub counts: PrefillCounts,
    index: usize,
    waiting: [VecDeque<Job>; 2],
    busy: Option<Job>,
    cache: VecDeque<u32>,
    sequences: BTreeMap<RequestId, Sequence>,
}

/// What an engine says now, and what it does later.
#[derive(Default)]
pub struct Emitted {
    pub inputs: Vec<EngineInput>,
    pub ticks: Vec<(u64, Tick)>,
}

/// Writes what the engine must know of a call into its prompt.
pub fn prompt(prefix: u32, prefix_tokens: u32, output: u32, tokens: u32) -> String {
    let mut text = format!("{prefix:08} {prefix_tokens:08} ");
    text.push_str(&"lesson plan ".repeat(20));
    text.push_str(&format!("#{output:08} "));
    let padding = (tokens as usize * 4).saturating_sub(text.len());
    text.push_str(&"x".repeat(padding));
    text
}

/// The least tokens of a prompt made by [`prompt`].
pub const MIN_PROMPT_TOKENS: u32 = 72;

fn step_time(batch: usize) -> u64 {
    STEP_BASE + STEP_PER_SEQUENCE * batch as u64
}

impl Engine {
    pub fn new(index: usize, kind: EndpointKind) -> Engine {
        Engine {
            kind,
            url: format!("http://{index}").into(),
            alive: true,
            epoch: 0,
            counts: PrefillCounts::default(),
            index,
            waiting: Default::default(),
            busy: None,
            cache: VecDeque::new(),
            sequences: BTreeMap::new(),
        }
    }

    /// Starts work; the links are those of all endpoints.
    pub fn start(
        &mut self,
        now: u64,
        request: RequestId,
        work: Work,
        links: &mut [Link],
    ) -> Emitted {
        let mut emitted = Emitted::default();
        if !self.alive {
            let detail = "connection refused".into();
            emitted.inputs.push(EngineInput::Failed { request, ran: Ran::No, detail });
            return emitted;
        }
        match work {
            Work::Prefill { class, prompt, prefix, .. } => {
                let number = |from: usize| prompt[from..from + 8].parse().unwrap_or(0);
                let job = Job {
                    request,
                    tokens: prompt_tokens(&prompt) + prefix.len() as u32,
                    prefix: (number(0), number(9)),
                    output: number(prompt.find('#').unwrap_or(0) + 1),
                    offset: prefix.len() as u32,
                };
                self.waiting[usize::from(class != Class::Interactive)].push_back(job);
                self.next_prefill(now, &mut emitted);
            }
            Work::Decode { export, from, until, .. } => {
                let mut fields = export.name.split(':').map(|f| f.parse::<u64>().unwrap_or(0));
                let created = fields.next().unwrap_or(0);
                let output = fields.next().unwrap_or(0) as u32;
                let source = export.url.trim_start_matches("http://").parse().unwrap_or(0);
                let duration = (f64::from(export.tokens) / LINK_RATE * 1e6) as u64;
                let begin = now.max(links[source].free).max(links[self.index].free);
                links[source].free = links[source].free.max(now) + duration;
                links[self.index].free = begin + duration;
                let expires = created + EXPORT_TTL;
                let until = until.min(output);
                let sequence =
                    Sequence { next: from, until, running: false, streamed: false, expires };
                self.sequences.insert(request, sequence);
                emitted
                    .ticks
                    .push(((begin + duration).min(expires.max(now)), Tick::Imported(request)));
            }
            Work::Call { .. } => emitted.ticks.push((now + SERVICE_TIME, Tick::Served(request))),
        }
        emitted
    }

    fn next_prefill(&mut self, now: u64, emitted: &mut Emitted) {
        if self.busy.is_some() {
            return;
        }
        let [interactive, batch] = &mut self.waiting;
        let Some(job) = interactive.pop_front().or_else(|| batch.pop_front()) else { return };
        let (prefix, prefix_tokens) = job.prefix;
        let hit = self.cache.contains(&prefix);
        self.cache.retain(|p| *p != prefix);
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        self.counts.started += 1;
        self.counts.cached += u64::from(hit);
        let tokens = if hit { job.tokens.saturating_sub(prefix_tokens) } else { job.tokens };
        let duration = PREFILL_BASE + (f64::from(tokens) / PREFILL_RATE * 1e6) as u64;
        emitted.ticks.push((now + duration, Tick::Prefilled(job.request)));
        self.busy = Some(job);
    }

    /// Takes a tick.
    pub fn tick(&mut self, now: u64, tick: Tick) -> Emitted {
        let mut emitted = Emitted::default();
        match tick {
            Tick::Prefilled(request) => {
                let Some(job) = self.busy.take_if(|j| j.request == request) else { return emitted };
                let name = format!("{now}:{}:{}", job.output, job.offset).into();
                let export = Export { url: self.url.clone(), name, tokens: job.tokens };
                emitted.inputs.push(EngineInput::Exported { request, export });
                self.next_prefill(now, &mut emitted);
            }
            Tick::Imported(request) => {
                let running = self.sequences.values().filter(|s| s.running).count();
                let Some(sequence) = self.sequences.get_mut(&request) else { return emitted };
                if now >= sequence.expires {
                    self.sequences.remove(&request);
                    let detail = "the export has lapsed".into();
                    emitted.inputs.push(EngineInput::Failed { request, ran: Ran::No, detail });
                    return emitted;
                }
                sequence.running = true;
                emitted.ticks.push((now + step_time(running + 1), Tick::Chunk(request)));
            }
            Tick::Chunk(request) => self.chunk(now, request, &mut emitted),
            Tick::Served(request) => {
                let answer = Answer { status: 200, media: "text/plain".into(), content: vec![] };
                emitted.inputs.push(EngineInput::Answered { request, answer });
            }
        }
        emitted
    }

    fn chunk(&mut self, now: u64, request: RequestId, emitted: &mut Emitted) {
        let running = self.sequences.values().filter(|s| s.running).count();
        let Some(sequence) = self.sequences.get_mut(&request) else { return };
        self.counts.used += u64::from(!std::mem::replace(&mut sequence.streamed, true));
        let offset = sequence.next;
        let count =
            if offset == 0 { 1 } else { CHUNK_TOKENS }.min(sequence.until.saturating_sub(offset));
        sequence.next += count;
        let next = sequence.next;
        let tokens = vec!["t".into(); count as usize];
        emitted.inputs.push(EngineInput::Part { request, offset, tokens });
        if next >= sequence.until {
            self.sequences.remove(&request);
            emitted.inputs.push(EngineInput::End { request, offset: next, finish: "stop".into() });
        } else {
            let count = CHUNK_TOKENS.min(sequence.until - next);
            let duration = step_time(running) * u64::from(count);
            emitted.ticks.push((now + duration, Tick::Chunk(request)));
        }
    }

    /// Frees what a request holds.
    pub fn cancel(&mut self, now: u64, request: RequestId) -> Emitted {
        let mut emitted = Emitted::default();
        self.sequences.remove(&request);
        for queue in &mut self.waiting {
            queue.retain(|j| j.request != request);
        }
        self.busy.take_if(|j| j.request == request);
        if self.alive {
            self.next_prefill(now, &mut emitted);
        }
        emitted.inputs.push(EngineInput::Cancelled { request, gone: true });
        emitted
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
