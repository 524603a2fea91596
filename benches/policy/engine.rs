//! Simulates a model engine or a plain service behind the agent's interface, in virtual time.

use std::collections::{BTreeMap, VecDeque};

use dotterelpin::agent::engine::{EngineInput, Work};
use dotterelpin::link::message::{Answer, Export};
use dotterelpin::model::call::prompt_tokens;
use dotterelpin::model::{Class, EndpointKind, Ran, RequestId};

/// Prompt tokens that a prefill engine prefills per second.
pub const PREFILL_RATE: f64 = 30_000.0;
/// The fixed cost of a prefill in microseconds.
pub const PREFILL_BASE: u64 = 8_000;
/// Fixed cost of one decode step in microseconds.
pub const STEP_BASE: u64 = 12_000;
/// Cost that each sequence of the batch adds to a decode step, in microseconds.
pub const STEP_PER_SEQUENCE: u64 = 550;
/// Slots that a model engine announces.
pub const SLOTS: u32 = 20;
/// Pieces of KV cache that a model engine announces.
pub const PIECES: u32 = 80;
/// Tokens of KV cache in one piece.
pub const PIECE_TOKENS: u32 = 2_000;
/// Tokens of KV cache that one endpoint's link transfers per second.
const LINK_RATE: f64 = 150_000.0;
/// How long a prefill engine retains an export, in microseconds.
const EXPORT_TTL: u64 = 800_000;
/// Prompt prefixes that a prefill engine caches; the least recently used one is evicted.
const CACHED_PREFIXES: usize = 6;
/// Tokens in each message of a stream; the first token of an answer is sent alone.
const CHUNK_TOKENS: u32 = 8;
/// How long a plain service works on a call, in microseconds.
const SERVICE_TIME: u64 = 6_000;

/// A timer event of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tick {
    Prefilled(RequestId),
    Imported(RequestId),
    Chunk(RequestId),
    Served(RequestId),
}

/// The network link of one endpoint; `free` is when its last transfer ends, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Link {
    free: u64,
}

/// A prefill that is queued or running.
#[derive(Debug)]
struct Job {
    request: RequestId,
    tokens: u32,
    /// Number of the shared prefix, and its tokens.
    prefix: (u32, u32),
    /// Tokens to generate.
    output: u32,
    /// Tokens that an earlier attempt has already generated.
    offset: u32,
}

/// A request at a decode engine, from the start of the KV transfer to the last token.
#[derive(Debug)]
struct Sequence {
    next: u32,
    until: u32,
    /// Whether the transfer is complete and decode has begun.
    running: bool,
    /// Whether a token has been generated.
    streamed: bool,
    /// When the export expires, in microseconds.
    expires: u64,
}

/// Counts prefills and the use of their exports.
#[derive(Debug, Default, Clone, Copy)]
pub struct PrefillCounts {
    pub started: u64,
    pub cached: u64,
    /// Imports at a decode engine after which a token was generated.
    pub used: u64,
}

/// A simulated engine or plain service.
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

/// Inputs for the agent, and timer events with their times in microseconds.
#[derive(Default)]
pub struct Emitted {
    pub inputs: Vec<EngineInput>,
    pub ticks: Vec<(u64, Tick)>,
}

/// Returns a prompt that encodes its prefix and the number of output tokens for [`Engine::start`].
pub fn prompt(prefix: u32, prefix_tokens: u32, output: u32, tokens: u32) -> String {
    let mut text = format!("{prefix:08} {prefix_tokens:08} ");
    text.push_str(&"lesson plan ".repeat(20));
    text.push_str(&format!("#{output:08} "));
    let padding = (tokens as usize * 4).saturating_sub(text.len());
    text.push_str(&"x".repeat(padding));
    text
}

/// Minimum tokens of a prompt made by [`prompt`].
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

    /// Starts work; `links` holds the links of all endpoints.
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

    /// Handles a timer event.
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

    /// Removes a request and reports it as cancelled.
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

    /// Stops the engine, drops its work and its cache, and returns the failures for its agent.
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

/// Blocks new transfers on a link until a time in microseconds.
pub fn stall(link: &mut Link, until: u64) {
    link.free = link.free.max(until);
}
