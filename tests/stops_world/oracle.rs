//! What must hold for the callers and the endpoints of a gateway that stops.

use std::time::Duration;

use dotterelpin::model::Timestamp;
use dotterelpin::role::Input;

use super::{Caller, NOTICE, REFUSE, World};
use crate::gateway_fixture::{CallerAnswer, Sent};

/// How many streams of a route the gateway remembers.
const REMEMBERED: usize = 128;

impl World {
    /// Checks that a request to an endpoint may be sent when it was.
    pub(super) fn check_send(&mut self, sent: &Sent) {
        let Some(since) = self.signalled else { return };
        let end = since + REFUSE;
        let side = &*sent.head.method == "DELETE";
        let Some(id) = sent.field("Call-Id") else {
            let open = self.open.iter().map(|key| (*key, &self.callers[key]));
            let mut streams = open.filter(|(_, c)| c.is_stream());
            let fits = streams.any(|(key, c)| sent.at + self.rest(key, c, sent) <= end);
            if !side && !fits {
                self.problem("a reservation was requested for no stream that can end".into());
            }
            return;
        };
        let key: u64 = id["call-".len()..].parse().unwrap();
        let rest = self.rest(key, &self.callers[&key], sent);
        if sent.at + rest > end {
            self.problem(format!("call-{key} needs {rest:?}, but {} began", sent.head.target));
        }
    }

    /// Returns how much longer a call may take.
    fn rest(&self, key: u64, caller: &Caller, sent: &Sent) -> Duration {
        let passed = (sent.at - caller.arrived).as_millis() as u64;
        let left = caller.patience.saturating_sub(passed);
        let left = sent.field("Patience-Ms").map_or(left, |ms| ms.parse().unwrap());
        let left = Duration::from_millis(left);
        // A stream that came after the signal was taken because its caller waits no longer.
        let taken_late = self.signalled.is_some_and(|at| caller.arrived > at);
        // A plain call that comes while callers are still sent here is tried in any case.
        let is_noticed = self.signalled.is_none_or(|at| sent.at >= at + NOTICE);
        if !caller.is_stream() && caller.ran == 0 && !is_noticed {
            return Duration::ZERO;
        }
        if !caller.is_stream() || taken_late {
            return left;
        }
        let begun = self.f.answers.get(&key).is_some_and(|a| a.status == 200);
        let progress = match sent.field("Source").and(caller.prefill) {
            _ if begun => sent.at - caller.arrived,
            Some(prefill) => sent.at - prefill,
            None => Duration::ZERO,
        };
        let all = self.lasted.get(caller.path).map_or(&[][..], |all| all);
        let last = &all[all.len().saturating_sub(REMEMBERED)..];
        let mut longer: Vec<Duration> = last.iter().copied().filter(|d| *d > progress).collect();
        longer.sort();
        let index = (longer.len() * 9).div_ceil(10);
        let estimate = index.checked_sub(1).map(|at| longer[at] - progress);
        estimate.map_or(left, |rest| rest.min(left))
    }

    /// Judges the answers that have ended since the last time.
    pub(super) fn judge_answers(&mut self) {
        for key in self.open.clone() {
            let Some(answer) = self.f.answers.get(&key) else { continue };
            if !answer.complete && !answer.aborted {
                continue;
            }
            let answer = answer.clone();
            let now = self.f.now;
            let caller = &self.callers[&key];
            self.open.remove(&key);
            if let Some(fault) = fault(key, caller, &answer) {
                self.problem(format!("call-{key}: {fault}"));
            } else if caller.is_stream() && answer.complete && answer.status == 200 {
                let (path, lasted) = (caller.path, now - caller.arrived);
                if caller.after == 0 {
                    self.lasted.entry(path).or_default().push(lasted);
                }
            }
        }
    }

    /// Checks what must hold once the role has stopped.
    pub(super) fn check_end(&mut self) {
        if !self.f.stopped {
            self.problem("it has not stopped".into());
            return;
        }
        let end = self.signalled.unwrap() + REFUSE;
        if self.f.now > end.max(self.stalled) + Duration::from_millis(super::TICK_MS) {
            self.problem("it stopped too late".into());
        }
        if !self.open.is_empty() {
            self.problem(format!("calls {:?} have no end", self.open));
        }
        let working = self.jobs.iter().filter(|j| !j.done && &*j.sent.head.method != "DELETE");
        let working = working.filter(|j| !self.closed.contains(&j.sent.peer));
        let working: Vec<String> = working.map(|j| format!("{:?} {:?}", j.caller, j.act)).collect();
        if !working.is_empty() {
            self.problem(format!("still worked on: {working:?}"));
        }
        let now: Timestamp = self.f.now;
        let kept = self.memory.iter().filter(|(_, m)| !m.freed && m.until > now);
        let kept: Vec<String> = kept.map(|(name, _)| name.clone()).collect();
        if !kept.is_empty() {
            self.problem(format!("engine memory is kept: {kept:?}"));
        }
    }

    /// Lets requests come after the end, within the same poll and later.
    pub(super) fn after_end(&mut self) {
        for _ in 0..8 {
            self.new_call();
        }
        let since = self.f.now;
        self.act(|f| f.step(Input::Wake));
        self.act(|f| f.step(Input::Shutdown { since }));
        self.act(|f| f.advance(3_000));
        let last = self.callers.len() as u64;
        for key in last - 7..=last {
            let status = self.f.answers.get(&key).map_or(0, |a| a.status);
            if status != 503 {
                self.problem(format!("call-{key} after the end: status {status}"));
            }
        }
        let (stops, late, closes) = (self.f.stops, self.f.late_sends, self.f.closed_all.len());
        if (stops, late, closes) != (1, 0, 1) {
            self.problem(format!("{stops} ends, {late} sends after it, {closes} times closed"));
        }
    }
}

/// Returns what is wrong with an answer.
fn fault(key: u64, caller: &Caller, answer: &CallerAnswer) -> Option<String> {
    let text = String::from_utf8_lossy(&answer.content);
    if answer.aborted && (answer.complete || !caller.is_stream() || answer.status != 200) {
        return Some(format!("an answer that was no begun stream was broken off: {answer:?}"));
    }
    let ids: Vec<u64> = text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect();
    let last = if answer.aborted { caller.after + ids.len() as u64 } else { caller.total };
    let whole = ids == (caller.after + 1..=last).collect::<Vec<u64>>();
    match (answer.status, caller.is_stream()) {
        (200, true) if !whole => Some(format!("events {ids:?} of {}", caller.total)),
        (200, false) if text != format!("ok call-{key}") => Some(format!("answer {text}")),
        (200 | 500 | 502 | 504, _) => None,
        (503, _) if caller.ran > 0 => Some(format!("not run, but {} attempts ran", caller.ran)),
        (503, _) => None,
        (status, _) => Some(format!("status {status}")),
    }
}
