//! Fake model engines with slots, exports, token streams, cancels and a list of running work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelpin::agent::engine::{EngineEffect, EngineInput, Work};
use dotterelpin::link::message::Export;
use dotterelpin::model::{
    Announcement, BootId, CallId, Capacity, EndpointKind, Ran, RequestId, Timestamp,
};

use super::World;

const SLOTS: usize = 4;
const EXPORT_TTL: Duration = Duration::from_millis(800);
/// The number of tokens after which the answer to a prompt that ends in "stop" ends.
pub const STOP_TOKENS: u32 = 5;

pub fn announcement(kind: EndpointKind) -> Announcement {
    Announcement {
        url: "http://127.0.0.1:9".into(),
        kind,
        pool: "cs-summary".into(),
        capacity: Capacity { slots: SLOTS as u32, pieces: 60, piece_tokens: 2_000 },
        fenced: false,
        artifact: None,
        boot: BootId(1),
        software: "".into(),
    }
}

/// Returns the token at an offset of the answer that a software version gives to a prompt.
pub fn token(prompt: &str, software: &str, offset: u32) -> Box<str> {
    format!("{prompt}{software}.{offset} ").into()
}

/// Returns which software the tokens show: that of the endpoint, with that of the KV cache if it is
/// another one.
fn shown_software(endpoint: &str, cache: &str) -> Box<str> {
    if endpoint == cache { endpoint.into() } else { format!("{endpoint}+{cache}").into() }
}

/// Work that an agent has sent to its engine, started or not.
#[derive(Debug)]
pub struct Job {
    pub endpoint: usize,
    agent: BootId,
    request: RequestId,
    work: Work,
    /// Whether the engine has started it; it then occupies a slot.
    pub started: bool,
    cancelled: bool,
    /// Whether the engine confirmed a cancel of it before it was started; its agent does not track
    /// it then.
    after_cancel: bool,
    /// Whether the connection to its agent is open.
    connected: bool,
    /// The prompt, once the KV cache is imported.
    prompt: Option<Box<str>>,
    /// The software that its tokens show, once the KV cache is imported.
    software: Box<str>,
    /// The offset of the next token.
    offset: u32,
    /// The number of prefix tokens in the imported KV cache.
    length: u32,
}

/// The tokens that a job sent last, for [`Engines::distort`].
#[derive(Debug, Clone)]
struct Part {
    endpoint: usize,
    agent: BootId,
    request: RequestId,
    offset: u32,
    tokens: Vec<Box<str>>,
}

/// A request of an agent to its engine, other than to start work.
#[derive(Debug)]
enum EngineRequest {
    Cancel(RequestId),
    CancelUnknown(Box<str>),
    List,
}

/// KV cache that an engine has exported.
#[derive(Debug, Clone)]
struct Cache {
    prompt: Box<str>,
    /// The software of the engine.
    software: Box<str>,
    /// The number of prefix tokens.
    length: u32,
    expiry: Timestamp,
}

/// All engines of a fuzz test.
#[derive(Default)]
pub struct Engines {
    pub jobs: Vec<Job>,
    requests: Vec<(usize, BootId, EngineRequest)>,
    exports: BTreeMap<Box<str>, Cache>,
    /// Replies that have not been delivered to their agent.
    replies: Vec<(usize, BootId, EngineInput)>,
    last_part: Option<Part>,
    /// The calls of which any work has been started.
    pub ran: BTreeSet<(BootId, CallId)>,
}

impl Engines {
    /// Collects the effects that agents have requested.
    pub fn collect_effects(&mut self, world: &mut World) {
        for (endpoint, agent, effect) in std::mem::take(&mut world.engine_effects) {
            let engine_request = match effect {
                EngineEffect::Start { request, work } => {
                    self.jobs.push(Job {
                        endpoint,
                        agent,
                        request,
                        work,
                        started: false,
                        cancelled: false,
                        after_cancel: false,
                        connected: true,
                        prompt: None,
                        software: "".into(),
                        offset: 0,
                        length: 0,
                    });
                    continue;
                }
                EngineEffect::Cancel(request) => EngineRequest::Cancel(request),
                EngineEffect::CancelUnknown(name) => EngineRequest::CancelUnknown(name),
                EngineEffect::List => EngineRequest::List,
                EngineEffect::Order { .. } => continue,
            };
            self.requests.push((endpoint, agent, engine_request));
        }
    }

    /// Returns the names of the requests that run at an endpoint.
    pub fn running(&self, endpoint: usize) -> Vec<String> {
        let here = self.jobs.iter().filter(|j| j.endpoint == endpoint && j.started);
        here.map(|j| j.request.to_string()).collect()
    }

    /// Advances one job by one step.
    pub fn advance_job(&mut self, world: &mut World, pick: usize) {
        let index = pick % self.jobs.len().max(1);
        let Some(job) = self.jobs.get(index) else { return };
        if !job.started {
            let full = self.running(job.endpoint).len() >= SLOTS;
            // The work starts even if its agent was killed, since the request may be under way.
            match full {
                true => self.fail(world, index, Ran::No),
                false => {
                    let job = &mut self.jobs[index];
                    job.started = true;
                    self.ran.insert((job.request.owner, job.request.call));
                }
            }
        } else if job.cancelled {
            self.fail(world, index, Ran::Maybe);
        } else {
            match job.work {
                Work::Prefill { .. } => self.prefill(world, index),
                Work::Decode { .. } => self.decode(world, index),
                Work::Call { .. } => {}
            }
        }
    }

    fn prefill(&mut self, world: &mut World, index: usize) {
        let job = self.jobs.remove(index);
        let Work::Prefill { prompt, prefix, .. } = job.work else { return };
        let name: Box<str> = format!("{}-{}", job.endpoint, job.request).into();
        let length = prefix.len() as u32;
        let software = world.software(job.endpoint).into();
        let cache = Cache { prompt, software, length, expiry: world.now + EXPORT_TTL };
        self.exports.insert(name.clone(), cache);
        let export = Export { url: "http://127.0.0.1:9".into(), name, tokens: length };
        if job.connected {
            let request = job.request;
            world.engine_input(job.endpoint, job.agent, EngineInput::Exported { request, export });
        }
    }

    fn decode(&mut self, world: &mut World, index: usize) {
        let job = &mut self.jobs[index];
        let Work::Decode { export, from, until } = &job.work else { return };
        let (from, until) = (*from, *until);
        let Some(prompt) = job.prompt.clone() else {
            let found = self.exports.get(&export.name).filter(|e| e.expiry > world.now);
            match found {
                Some(cache) => {
                    job.prompt = Some(cache.prompt.clone());
                    job.software = shown_software(world.software(job.endpoint), &cache.software);
                    job.offset = from;
                    job.length = cache.length;
                }
                None => self.fail(world, index, Ran::Maybe),
            }
            return;
        };
        let (endpoint, agent, request) = (job.endpoint, job.agent, job.request);
        let last = if prompt.ends_with("stop") { until.min(STOP_TOKENS) } else { until };
        let offset = job.offset;
        let input = if offset >= last {
            let finish = if last < until { "stop" } else { "length" };
            EngineInput::End { request, offset, finish: finish.into() }
        } else {
            let end = last.min(offset + 1 + offset % 2);
            job.offset = end;
            // An engine continues from the end of the KV cache that it has imported.
            let text = |o: u32| token(&prompt, &job.software, job.length + o - from);
            let tokens: Vec<_> = (offset..end).map(text).collect();
            self.last_part =
                Some(Part { endpoint, agent, request, offset, tokens: tokens.clone() });
            EngineInput::Part { request, offset, tokens }
        };
        let connected = job.connected;
        if matches!(input, EngineInput::End { .. }) {
            self.jobs.remove(index);
        }
        if connected {
            world.engine_input(endpoint, agent, input);
        }
    }

    /// Ends a job with a failure, which its agent receives if it is connected.
    fn fail(&mut self, world: &mut World, index: usize, ran: Ran) {
        let job = self.jobs.remove(index);
        if job.connected {
            let (request, detail) = (job.request, "failed".into());
            world.engine_input(
                job.endpoint,
                job.agent,
                EngineInput::Failed { request, ran, detail },
            );
        }
    }

    /// Carries out one pending request, or delivers one pending reply to its agent.
    pub fn handle_request(&mut self, world: &mut World, pick: usize) {
        let count = self.requests.len() + self.replies.len();
        let index = pick % count.max(1);
        if index >= self.requests.len() {
            if count > 0 {
                let (endpoint, agent, input) = self.replies.remove(index - self.requests.len());
                world.engine_input(endpoint, agent, input);
            }
            return;
        }
        let (endpoint, agent, engine_request) = self.requests.remove(index);
        let input = match engine_request {
            EngineRequest::Cancel(request) => {
                self.cancel(endpoint, &request.to_string());
                let gone = !self.running(endpoint).contains(&request.to_string());
                let matching = |j: &&mut Job| j.request == request && j.endpoint == endpoint;
                self.jobs.iter_mut().filter(matching).for_each(|j| j.after_cancel |= !j.started);
                EngineInput::Cancelled { request, gone }
            }
            EngineRequest::CancelUnknown(name) => return self.cancel(endpoint, &name),
            EngineRequest::List => {
                let running = self.running(endpoint).into_iter().map(Into::into).collect();
                EngineInput::Listed { running }
            }
        };
        self.replies.push((endpoint, agent, input));
    }

    /// Marks running work as cancelled; it ends with its next step.
    fn cancel(&mut self, endpoint: usize, name: &str) {
        for job in &mut self.jobs {
            job.cancelled |=
                job.endpoint == endpoint && job.started && job.request.to_string() == name;
        }
    }

    /// Breaks the connection of a job, which continues at the engine.
    pub fn disconnect(&mut self, world: &mut World, pick: usize) {
        let index = pick % self.jobs.len().max(1);
        let Some(job) = self.jobs.get_mut(index).filter(|j| j.connected) else { return };
        job.connected = false;
        let (endpoint, agent, request) = (job.endpoint, job.agent, job.request);
        let input = EngineInput::Failed { request, ran: Ran::Maybe, detail: "broken".into() };
        world.engine_input(endpoint, agent, input);
    }

    /// Restarts an engine; its agent receives either only an announcement or only the failures of
    /// broken connections.
    pub fn crash(&mut self, world: &mut World, endpoint: usize, announce: bool) {
        let affected = |j: &Job| j.endpoint == endpoint && j.started;
        while let Some(index) = self.jobs.iter().position(affected) {
            if announce {
                self.jobs.remove(index);
            } else {
                self.fail(world, index, Ran::Maybe);
            }
        }
        self.exports.retain(|name, _| !name.starts_with(&format!("{endpoint}-")));
        if announce {
            world.announce_restart(endpoint);
        }
    }

    /// Repeats the latest part, sends it with a gap, or sends an early end mark after it.
    pub fn distort(&mut self, world: &mut World, how: u8) {
        let Some(Part { endpoint, agent, request, offset, tokens }) = self.last_part.clone() else {
            return;
        };
        let input = match how % 3 {
            0 => EngineInput::Part { request, offset, tokens },
            1 => EngineInput::Part { request, offset: offset + 7, tokens },
            _ => {
                let offset = offset + tokens.len() as u32;
                EngineInput::End { request, offset, finish: "length".into() }
            }
        };
        world.engine_input(endpoint, agent, input);
    }

    /// Closes the connections of an agent that was killed and drops its pending requests.
    pub fn agent_killed(&mut self, endpoint: usize) {
        for job in self.jobs.iter_mut().filter(|j| j.endpoint == endpoint) {
            job.connected = false;
        }
        self.requests.retain(|(e, _, _)| *e != endpoint);
    }

    /// Returns the requests that run at an engine and that its agent must have in its ledger.
    pub fn expected(&self, endpoint: usize, agent: BootId) -> Vec<RequestId> {
        let tracked =
            |j: &&Job| j.endpoint == endpoint && j.agent == agent && j.started && !j.after_cancel;
        self.jobs.iter().filter(tracked).map(|j| j.request).collect()
    }

    /// Returns the number of pending requests and replies.
    pub fn pending_requests(&self) -> usize {
        self.requests.len() + self.replies.len()
    }
}
