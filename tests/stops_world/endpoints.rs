//! What the endpoints of the world do with the requests that they get.

use std::time::Duration;

use super::{Act, HOLD_TTL, RETENTION, World};
use crate::gateway_fixture::Sent;

impl World {
    /// Draws what an endpoint does with a new request, and after how many milliseconds.
    pub(super) fn first_act(
        &mut self,
        sent: &Sent,
        caller: Option<u64>,
        in_prefill: bool,
    ) -> (Act, u64) {
        let fate = self.draw(100);
        if &*sent.head.method == "DELETE" {
            return (Act::Answer, 5);
        }
        let act = match fate {
            0..4 => Act::Nothing,
            4..10 => Act::Break,
            10..13 => Act::Miss,
            13..17 => Act::Fail,
            17..24 => Act::Refuse,
            _ => Act::Answer,
        };
        let Some(caller) = caller.and_then(|key| self.callers.get(&key)) else {
            return (act, 2 + self.draw(30));
        };
        let (stream, slow) = (caller.is_stream(), caller.path == "/slow/a");
        if stream && !in_prefill && act == Act::Answer {
            let after: u64 = sent.field("Last-Event-Id").map_or(0, |id| id.parse().unwrap());
            let act = if after < caller.total { Act::Event(after + 1) } else { Act::End };
            return (act, 20 + self.draw(400));
        }
        (act, 5 + self.draw(if slow { 4_500 } else { 500 }))
    }

    /// Lets the endpoints do what is due.
    pub(super) fn run_jobs(&mut self) {
        for index in 0..self.jobs.len() {
            let job = &self.jobs[index];
            if job.done || job.due > self.f.now || self.closed.contains(&job.sent.peer) {
                continue;
            }
            self.run_job(index);
        }
        let closed = &self.closed;
        self.jobs.retain(|j| !j.done && !closed.contains(&j.sent.peer));
    }

    fn run_job(&mut self, index: usize) {
        let (sent, caller, act) =
            (self.jobs[index].sent.clone(), self.jobs[index].caller, self.jobs[index].act);
        let in_prefill = sent.field("Stage") == Some("prefill");
        self.jobs[index].done = !matches!(act, Act::Nothing | Act::Event(_));
        if matches!(act, Act::Miss | Act::Refuse)
            && !in_prefill
            && let Some(caller) = caller.and_then(|key| self.callers.get_mut(&key))
        {
            caller.ran -= 1;
        }
        match act {
            Act::Nothing => {}
            Act::Break => self.act(|f| f.fail_connection(&sent, true)),
            Act::Miss => self.act(|f| f.fail_connection(&sent, false)),
            Act::Fail => self.act(|f| f.answer(&sent, 500, &[], "failed")),
            Act::Refuse => self.act(|f| f.answer(&sent, 503, &[("Not-Run", "1")], "")),
            Act::Answer => {
                let content = match (caller, in_prefill) {
                    (None, _) if &*sent.head.method == "DELETE" => String::new(),
                    (None, _) => format!("hold {}", self.keep("h", HOLD_TTL)),
                    (Some(_), true) => format!("export {}", self.keep("e", RETENTION)),
                    (Some(key), false) => format!("ok call-{key}"),
                };
                self.act(|f| f.answer(&sent, 200, &[], &content));
            }
            Act::Event(number) => self.send_event(index, &sent, number),
            Act::End => {
                let empty = !self.has_events(index);
                self.act(|f| {
                    if empty {
                        f.head(&sent, 200, &[]);
                    }
                    f.end(&sent);
                });
            }
        }
    }

    fn send_event(&mut self, index: usize, sent: &Sent, number: u64) {
        let total = self.jobs[index].caller.map_or(0, |key| self.callers[&key].total);
        let first = !self.has_head(index);
        let fate = self.draw(200);
        self.jobs[index].act = match (fate, number >= total) {
            (0..5, _) => Act::Break,
            (5..7, _) => Act::Nothing,
            (_, true) => Act::End,
            (_, false) => Act::Event(number + 1),
        };
        self.jobs[index].due = self.f.now + Duration::from_millis(20 + self.draw(600));
        let event = format!("id: {number}\ndata: {number}\n\n");
        self.act(|f| {
            if first {
                f.head(sent, 200, &[]);
            }
            f.data(sent, event.as_bytes());
        });
    }

    /// Returns whether the caller of a job's stream lacked any event when the job began.
    fn has_events(&self, index: usize) -> bool {
        let job = &self.jobs[index];
        let after: u64 = job.sent.field("Last-Event-Id").map_or(0, |id| id.parse().unwrap());
        job.caller.is_some_and(|key| after < self.callers[&key].total)
    }

    /// Returns whether a job's answer has begun: its next event is not the first one.
    fn has_head(&self, index: usize) -> bool {
        let job = &self.jobs[index];
        let after: u64 = job.sent.field("Last-Event-Id").map_or(0, |id| id.parse().unwrap());
        !matches!(job.act, Act::Event(n) if n == after + 1)
    }
}
